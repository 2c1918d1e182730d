"""The stored list of backend servers that may run what the lease's holder started."""

from collections.abc import Callable

import anyio
import msgpack
from attrs import define, field

from fireflydeck.core import Failure
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.core.rows import RowStore, RowWrite
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import ROSTER_ROW
from fireflydeck.scheduling.servers import Server

__all__ = ["Roster"]

_READ_TIMEOUT_MS = 2000


@define(eq=False, kw_only=True)
class Roster:
    """Stores each backend server before any work is given to it.

    Parameters
    ----------
    servers
        Backend servers by id.
    on_stored
        Called after more servers are stored.
    """

    store: RowStore
    lease: LeaseKeeper
    servers: dict[str, Server]
    on_stored: Callable[[], None]
    _wake: anyio.Event = field(factory=anyio.Event, init=False)

    def changed(self) -> None:
        """Store the servers again soon."""
        self._wake.set()

    async def load(self, add: Callable[[Registration], None]) -> Failure | None:
        """Hand over the servers that an earlier holder may have given work to."""
        result = await self.store.read_row(ROSTER_ROW, timeout_ms=_READ_TIMEOUT_MS)
        if result.is_error():
            return result.error
        if result.ok is not None:
            for server_id, pool, address in msgpack.unpackb(result.ok.value):
                add(_placeholder(server_id, pool, address))
        return None

    async def keep(self) -> None:
        """Store the servers whenever they changed, until the lease is lost."""
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
                server.is_listed = True
            self.on_stored()


def _placeholder(server_id: str, pool: str, address: str) -> Registration:
    """Return the entry of a server that an earlier holder knew and that is not registered."""
    return Registration(
        server_id=server_id,
        pool=pool,
        address=address,
        data_centre="",
        state=BackendServerState.DRAINING,
        capacity=Resources(),
        labels=frozenset(),
    )
