"""Service that schedules the fleet while its process holds the lease."""

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.core.advisor import PlacementAdvisor
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.core.rows import RowStore
from fireflydeck.core.vm_orders import VmOrders
from fireflydeck.kernel import EventLog, Metrics, Registry, Service, keep_running
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.tenure_scheduler import OrdersFactory, TenureScheduler
from fireflydeck.scheduling.vm_fleet import VmOperationTimes

__all__ = ["Scheduler"]


class Scheduler(Service):
    """Service that runs a `TenureScheduler` for each tenure of this process.

    Parameters
    ----------
    make_orders
        Creates the client of a backend server.
    vm_operation_times
        Times of the platform for VM operations, in milliseconds.
    status_ms
        Time for which callers may query the outcome of a job, in milliseconds.
    reservations
        Number of waiting tasks and gangs of a pool for which capacity is reserved; 0 for none.
    speculative_copies
        Whether slow tasks of speculative steps get copies.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        make_orders: OrdersFactory,
        vm_orders: VmOrders,
        advisor: PlacementAdvisor,
        vm_operation_times: VmOperationTimes,
        status_ms: int,
        reservations: int = 0,
        speculative_copies: bool = False,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._make_orders = make_orders
        self._vm_orders = vm_orders
        self._advisor = advisor
        self._vm_operation_times = vm_operation_times
        self._status_ms = status_ms
        self._reservations = reservations
        self._speculative_copies = speculative_copies
        self._lease: LeaseKeeper | None = None
        self._operators: OperatorDocuments | None = None
        self._changed = anyio.Event()
        self._current: TenureScheduler | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "scheduler"

    @property
    def current(self) -> TenureScheduler | None:
        """Return the scheduler of the current tenure, or `None` without a tenure."""
        return self._current

    def state(self) -> dict[str, object]:
        """Return the content of the state dump."""
        current = self._current
        if current is None:
            return {"leads": False}
        return {
            "leads": True,
            "term": current.term,
            "open_jobs": len(current.job_tracker.jobs),
            "pending": current.pending(),
            "servers": {
                server.id: {
                    "pool": server.registration.pool,
                    "coverage": server.life.coverage.value,
                    "token": server.life.fencing_token,
                    "reachable": server.is_reachable,
                    "attempts": len(server.attempts),
                    "free_cpu": server.free.cpu,
                }
                for server in current.servers.values()
            },
        }

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to schedule whenever this process acquires the lease."""
        self._lease = registry.get("lease", LeaseKeeper)
        self._operators = registry.get("operator-documents", OperatorDocuments)
        self._lease.on_change(self._on_lease_change)
        self._lease.set_pending_source(self._pending)
        self._lease.set_overload_source(self._overload)
        tasks.start_soon(keep_running, self._clock, self._log, self.name, self._run_tenures)

    def _pending(self) -> dict[str, int] | None:
        return self._current.pending() if self._current is not None else None

    def _overload(self) -> dict[str, PoolOverload] | None:
        return self._current.overload() if self._current is not None else None

    def _on_lease_change(self, tenure: Tenure | None) -> None:
        self._changed.set()
        if self._scope is not None:
            self._scope.cancel()

    async def _run_tenures(self) -> None:
        while self._lease is not None:
            await self._changed.wait()
            self._changed = anyio.Event()
            tenure = self._lease.tenure
            if tenure is not None:
                await self._schedule(tenure)

    async def _schedule(self, tenure: Tenure) -> None:
        if self._lease is None or self._operators is None:
            return
        current = TenureScheduler(
            tenure=tenure,
            store=self._store,
            lease=self._lease,
            operators=self._operators,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
            make_orders=self._make_orders,
            vm_orders=self._vm_orders,
            advisor=self._advisor,
            vm_operation_times=self._vm_operation_times,
            status_ms=self._status_ms,
            reservations=self._reservations,
            speculative_copies=self._speculative_copies,
        )
        self._current = current
        try:
            with anyio.CancelScope() as self._scope:
                await current.run()
        finally:
            self._current = None
            self._scope = None
            with anyio.CancelScope(shield=True):
                await current.close()
