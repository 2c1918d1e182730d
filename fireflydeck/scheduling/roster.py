"""Stored list of the backend servers on which the lease holder may have started runs."""

from collections.abc import Callable, Mapping

import anyio
import msgpack
from attrs import define, field

from fireflydeck.core import Failure, Reason
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.core.rows import RowStore, StoredRow
from fireflydeck.kernel import Event, EventLog
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import ROSTER_ROW, ROSTER_WORK_ROW
from fireflydeck.scheduling.roster_rows import (
    ANY_WORK,
    NO_WORK,
    PossibleWork,
    RosterEntry,
    decode_entry,
    decode_work,
    servers_write,
    work_write,
)
from fireflydeck.scheduling.servers import RunCoverage, Server
from fireflydeck.workload.lifecycle import Job

__all__ = ["Roster", "placeholder"]

_READ_TIMEOUT_MS = 2000


@define(eq=False, kw_only=True)
class Roster:
    """Writer of the roster, which contains each backend server before it gets any work.

    It also names the pools in which tasks of each queue may be running, before one is started
    there: the pool of a queue can change while its tasks run.

    Parameters
    ----------
    term
        Term of the current tenure.
    servers, jobs
        Backend servers and jobs that are not closed, by id.
    on_stored
        Called after the roster was stored.
    """

    term: int
    earlier_term: int
    store: RowStore
    lease: LeaseKeeper
    operators: OperatorDocuments
    servers: Mapping[str, Server]
    jobs: Mapping[str, Job]
    log: EventLog
    on_stored: Callable[[], None]
    _earlier: dict[str, PossibleWork] | None = field(default=None, init=False)
    _stored: dict[str, frozenset[str]] = field(factory=dict, init=False)
    _is_work_stored: bool = field(default=True, init=False)
    _is_any_work_stored: bool = field(default=False, init=False)
    _checked_configuration: FleetConfiguration | None = field(default=None, init=False)
    _wake: anyio.Event = field(factory=anyio.Event, init=False)

    def request_store(self) -> None:
        """Request that the roster is stored again soon."""
        self._wake.set()

    def may_start(self, queue: JobQueue) -> bool:
        """Return whether a later holder would look for tasks of the queue in its present pool."""
        return not self._is_work_stored or queue.name in self._stored.get(queue.pool, ())

    async def load(self, add: Callable[[RosterEntry, PossibleWork], None]) -> Failure | None:
        """Read the roster and pass each server on it to `add`, with the work it may have.

        An earlier holder may have started runs on these servers.
        """
        result = await self.store.read(
            ROSTER_ROW.table, ROSTER_ROW.partition, timeout_ms=_READ_TIMEOUT_MS
        )
        if result.is_error():
            return result.error
        rows = {row.id: row for row in result.ok.rows}
        self._earlier = self._decode_work(rows.get(ROSTER_WORK_ROW))
        if ROSTER_ROW in rows:
            self._add_servers(rows[ROSTER_ROW], add)
        return None

    def _decode_work(self, row: StoredRow | None) -> dict[str, PossibleWork] | None:
        if row is None:
            return None
        try:
            return decode_work(row.value, self.earlier_term)
        except ValueError as error:
            self._log_unreadable(row, error)
            return None

    def _add_servers(
        self, row: StoredRow, add: Callable[[RosterEntry, PossibleWork], None]
    ) -> None:
        """Pass each readable entry to `add`, and log the others."""
        try:
            entries = list(msgpack.unpackb(row.value))
        except (TypeError, ValueError) as error:
            self._log_unreadable(row, error)
            return
        for fields in entries:
            try:
                entry = decode_entry(fields)
            except (TypeError, ValueError) as error:
                self._log_unreadable(row, error)
            else:
                add(entry, self._earlier_work(entry.pool))

    def _earlier_work(self, pool: str) -> PossibleWork:
        return ANY_WORK if self._earlier is None else self._earlier.get(pool, NO_WORK)

    def _log_unreadable(self, row: StoredRow, error: Exception) -> None:
        self.log.emit(
            Event.DOCUMENT_UNREADABLE,
            document=row.id.key,
            version=row.version,
            detail=type(error).__name__,
        )

    def store_changed_work(self) -> None:
        """Store the roster if the work that may be on the servers is not what it says.

        That is so if a configuration has a new queue or sends one to another pool, and once all
        work of earlier holders is known if the roster says that it may be any.
        """
        if self._is_any_work_stored and not self._is_any_work_possible():
            self._is_any_work_stored = False
            self.request_store()
        configuration = self.operators.configuration
        if configuration is None or configuration is self._checked_configuration:
            return
        self._checked_configuration = configuration
        is_stored = self._is_work_stored
        if not is_stored or not all(self.may_start(queue) for queue in configuration.queues):
            self.request_store()

    async def store_changes(self) -> None:
        """Store the roster after each request, until the lease is lost."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            servers = list(self.servers.values())
            if await self._store(servers) is not None:
                return
            for server in servers:
                server.is_in_roster = True
            self.on_stored()

    async def _store(self, servers: list[Server]) -> Failure | None:
        entries = [
            RosterEntry(server.id, server.registration.pool, server.registration.address)
            for server in servers
        ]
        work = self._work_by_pool(servers)
        # What the new row lacks is not started from now on, even if it is needed again.
        self._stored = {
            pool: queues & work[pool].queues
            for pool, queues in self._stored.items()
            if pool in work
        }
        self._is_work_stored = True
        failure = await self.lease.commit([servers_write(entries), work_write(work, self.term)], [])
        is_work_refused = failure is not None and failure.reason == Reason.BAD_REQUEST
        if is_work_refused:
            # Without the row of the work, the next holder expects any task on any server.
            failure = await self.lease.commit([servers_write(entries)], [ROSTER_WORK_ROW])
        if failure is None:
            self._is_work_stored = not is_work_refused
            self._stored = {pool: item.queues for pool, item in work.items()}
            self._is_any_work_stored = any(item.may_be_other for item in work.values())
        return failure

    def _work_by_pool(self, servers: list[Server]) -> dict[str, PossibleWork]:
        """Return what a later holder has to expect on the servers of each pool.

        These are tasks of the queues that run there now, and of those that did and still have jobs.
        """
        configuration = self.operators.configuration
        earlier = self._earlier or {}
        pools = {server.registration.pool for server in servers}
        pools |= self._stored.keys() | earlier.keys()
        if configuration is not None:
            pools |= {queue.pool for queue in configuration.queues}
        queues_with_jobs = {job.spec.queue for job in self.jobs.values()}
        capacity = _largest_capacity(servers)
        work: dict[str, PossibleWork] = {}
        for pool in pools:
            before = self._stored.get(pool, frozenset()) | self._earlier_work(pool).queues
            present = configuration.queues_of_pool(pool) if configuration else frozenset()
            work[pool] = PossibleWork(
                queues=present | (before & queues_with_jobs),
                may_be_other=self._is_any_work_possible(),
                capacity=capacity,
            )
        return work

    def _is_any_work_possible(self) -> bool:
        """Return whether an earlier holder may have left any work, on servers not heard of yet."""
        return any(
            server.earlier_work.may_be_other and server.life.coverage != RunCoverage.COMPLETE
            for server in self.servers.values()
        )


def _largest_capacity(servers: list[Server]) -> Resources | None:
    """Return an upper bound of the capacity of each server, or `None` if none is known."""
    known = [server.registration.capacity for server in servers if server.is_registered]
    known += [
        server.earlier_work.capacity
        for server in servers
        if server.earlier_work.capacity is not None
    ]
    if not known:
        return None
    return Resources(
        max(item.cpu for item in known),
        max(item.memory_mb for item in known),
        max(item.accelerators for item in known),
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
