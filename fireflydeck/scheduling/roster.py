"""Stored list of the backend servers on which the lease holder may have started runs."""

from collections.abc import Callable

import anyio
import msgpack
from attrs import define, field

from fireflydeck.core import Failure
from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.core.rows import RowStore, StoredRow
from fireflydeck.kernel import Event, EventLog
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import ROSTER_ROW, ROSTER_WORK_ROW
from fireflydeck.scheduling.roster_rows import (
    NO_WORK,
    PossibleWork,
    RosterEntry,
    decode_entry,
    decode_work,
    roster_writes,
)
from fireflydeck.scheduling.servers import Server

__all__ = ["Roster", "placeholder"]

_READ_TIMEOUT_MS = 2000


@define(eq=False, kw_only=True)
class Roster:
    """Writer of the roster, which contains each backend server before it gets any work.

    Parameters
    ----------
    term
        Term of the current tenure.
    servers
        Backend servers by id.
    on_stored
        Called after the roster was stored.
    """

    term: int
    store: RowStore
    lease: LeaseKeeper
    operators: OperatorDocuments
    servers: dict[str, Server]
    log: EventLog
    on_stored: Callable[[], None]
    _checked_configuration: FleetConfiguration | None = field(default=None, init=False)
    _wake: anyio.Event = field(factory=anyio.Event, init=False)

    def request_store(self) -> None:
        """Request that the roster is stored again soon."""
        self._wake.set()

    async def load(self, add: Callable[[RosterEntry], None]) -> Failure | None:
        """Read the roster and pass each server on it to `add`.

        An earlier holder may have started runs on these servers.
        """
        result = await self.store.read(
            ROSTER_ROW.table, ROSTER_ROW.partition, timeout_ms=_READ_TIMEOUT_MS
        )
        if result.is_error():
            return result.error
        rows = {row.id: row for row in result.ok.rows}
        if ROSTER_ROW in rows:
            work = self._decode_work(rows.get(ROSTER_WORK_ROW))
            self._add_servers(rows[ROSTER_ROW], work, add)
        return None

    def _decode_work(self, row: StoredRow | None) -> dict[str, PossibleWork]:
        if row is None:
            return {}
        try:
            return decode_work(row.value, self.term - 1)
        except ValueError as error:
            self._log_unreadable(row, error)
            return {}

    def _add_servers(
        self, row: StoredRow, work: dict[str, PossibleWork], add: Callable[[RosterEntry], None]
    ) -> None:
        """Pass each readable entry to `add`, and log the others."""
        try:
            entries = list(msgpack.unpackb(row.value))
        except (TypeError, ValueError) as error:
            self._log_unreadable(row, error)
            return
        for fields in entries:
            try:
                entry = decode_entry(fields, work)
            except (TypeError, ValueError) as error:
                self._log_unreadable(row, error)
            else:
                add(entry)

    def _log_unreadable(self, row: StoredRow, error: Exception) -> None:
        self.log.emit(
            Event.DOCUMENT_UNREADABLE,
            document=row.id.key,
            version=row.version,
            detail=type(error).__name__,
        )

    def store_new_queues(self) -> None:
        """Store the roster if a configuration has added a queue to a server's pool."""
        configuration = self.operators.configuration
        if configuration is None or configuration is self._checked_configuration:
            return
        self._checked_configuration = configuration
        if any(
            not configuration.queues_of_pool(server.registration.pool) <= server.stored_queues
            for server in self.servers.values()
            if server.is_registered
        ):
            self.request_store()

    async def store_changes(self) -> None:
        """Store the roster after each request, until the lease is lost."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            servers = list(self.servers.values())
            entries = [self._entry(server) for server in servers]
            if await self.lease.commit(roster_writes(entries, self.term), []) is not None:
                return
            for server, entry in zip(servers, entries, strict=True):
                server.is_in_roster = True
                server.stored_queues = entry.work.queues
            self.on_stored()

    def _entry(self, server: Server) -> RosterEntry:
        registration = server.registration
        configuration = self.operators.configuration
        queues = configuration.queues_of_pool(registration.pool) if configuration else frozenset()
        work = _work_to_store(server, queues)
        return RosterEntry(server.id, registration.pool, registration.address, work)


def _work_to_store(server: Server, queues: frozenset[str]) -> PossibleWork:
    """Return the work that a later holder has to expect on a server, with tasks of `queues`.

    Queues are only added until the server is settled, since runs whose ends are not acknowledged
    yet may belong to any of the earlier ones.
    """
    if server.is_settled():
        server.earlier_work = NO_WORK
    earlier = server.earlier_work
    capacity = server.registration.capacity if server.is_registered else earlier.capacity
    return PossibleWork(
        queues | server.stored_queues | earlier.queues, earlier.may_be_other, capacity
    )


def placeholder(entry: RosterEntry) -> Registration:
    """Return a placeholder registration for a server that an earlier holder knew.

    It is used until a registration of the server is read, which may never happen. Its state and
    capacity allow no starts.
    """
    return Registration(
        server_id=entry.server_id,
        pool=entry.pool,
        address=entry.address,
        data_centre="",
        state=BackendServerState.DRAINING,
        capacity=Resources(),
        labels=frozenset(),
    )
