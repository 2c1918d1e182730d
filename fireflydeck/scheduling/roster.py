"""Stored list of the backend servers on which the lease holder may have started runs."""

from collections.abc import Callable

import anyio
import msgpack
from attrs import define, field

from fireflydeck.core import Failure
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.core.rows import RowStore, RowWrite, StoredRow
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import ROSTER_ROW
from fireflydeck.scheduling.servers import Server

__all__ = ["Roster"]

_READ_TIMEOUT_MS = 2000


@define(eq=False, kw_only=True)
class Roster:
    """Writer of the roster, which contains each backend server before it gets any work.

    Parameters
    ----------
    servers
        Backend servers by id.
    on_stored
        Called after the roster was stored.
    """

    store: RowStore
    lease: LeaseKeeper
    servers: dict[str, Server]
    log: EventLog
    on_stored: Callable[[], None]
    _wake: anyio.Event = field(factory=anyio.Event, init=False)

    def request_store(self) -> None:
        """Request that the roster is stored again soon."""
        self._wake.set()

    async def load(self, add: Callable[[Registration], None]) -> Failure | None:
        """Read the roster and pass each server on it to `add`.

        An earlier holder may have started runs on these servers.
        """
        result = await self.store.read_row(ROSTER_ROW, timeout_ms=_READ_TIMEOUT_MS)
        if result.is_error():
            return result.error
        if result.ok is not None:
            self._add_servers(result.ok, add)
        return None

    def _add_servers(self, row: StoredRow, add: Callable[[Registration], None]) -> None:
        """Pass each readable entry to `add`, and log the others."""
        try:
            entries = list(msgpack.unpackb(row.value))
        except (TypeError, ValueError) as error:
            self._log_unreadable(row, error)
            return
        for entry in entries:
            try:
                registration = _decode_entry(entry)
            except (TypeError, ValueError) as error:
                self._log_unreadable(row, error)
            else:
                add(registration)

    def _log_unreadable(self, row: StoredRow, error: Exception) -> None:
        self.log.emit(
            Event.DOCUMENT_UNREADABLE,
            document=row.id.key,
            version=row.version,
            detail=type(error).__name__,
        )

    async def store_changes(self) -> None:
        """Store the roster after each request, until the lease is lost."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            servers = list(self.servers.values())
            rows = [
                [server.id, server.registration.pool, server.registration.address]
                for server in servers
            ]
            writes = [RowWrite(ROSTER_ROW, msgpack.packb(rows))]
            if await self.lease.commit(writes, []) is not None:
                return
            for server in servers:
                server.is_in_roster = True
            self.on_stored()


def _decode_entry(entry: list[str]) -> Registration:
    """Decode an entry of the roster: the server's id, pool and address."""
    server_id, pool, address = entry
    if not all(isinstance(text, str) for text in (server_id, pool, address)):
        raise TypeError("not a roster entry")
    return _placeholder(server_id, pool, address)


def _placeholder(server_id: str, pool: str, address: str) -> Registration:
    """Return a placeholder registration for a server that an earlier holder knew.

    It is used until a registration of the server is read, which may never happen. Its state and
    capacity allow no starts.
    """
    return Registration(
        server_id=server_id,
        pool=pool,
        address=address,
        data_centre="",
        state=BackendServerState.DRAINING,
        capacity=Resources(),
        labels=frozenset(),
    )
