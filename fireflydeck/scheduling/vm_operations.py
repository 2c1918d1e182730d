"""VM operations of the lease holder: moves between pools and maintenance waves."""

from collections.abc import Callable

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.core.rows import RowStore
from fireflydeck.kernel import EventLog, log_store_failure
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.pool_rebalancer import PoolRebalancer
from fireflydeck.scheduling.vm_fleet import VmFleet
from fireflydeck.scheduling.wave_runner import MaintenanceWaveRunner
from fireflydeck.workload.lifecycle import Attempt

__all__ = ["VmOperationRunner"]

_ROUND_INTERVAL_MS = 250


@define(eq=False, kw_only=True)
class VmOperationRunner:
    """Service that orders VM operations in periodic rounds, maintenance waves before moves.

    Parameters
    ----------
    demand
        Returns the demand of each pool: the work that is queued or expected.
    request_stop
        Stops a run.
    """

    fleet: VmFleet
    store: RowStore
    operators: OperatorDocuments
    clock: Clock
    log: EventLog
    demand: Callable[[], dict[str, PoolDemand]]
    request_stop: Callable[[Attempt], None]
    _waves: MaintenanceWaveRunner = field(init=False)
    _rebalancer: PoolRebalancer = field(init=False)

    @_waves.default
    def _make_waves(self) -> MaintenanceWaveRunner:
        return MaintenanceWaveRunner(
            fleet=self.fleet,
            store=self.store,
            clock=self.clock,
            log=self.log,
            request_stop=self.request_stop,
        )

    @_rebalancer.default
    def _make_rebalancer(self) -> PoolRebalancer:
        return PoolRebalancer(
            fleet=self.fleet, operators=self.operators, clock=self.clock, log=self.log
        )

    async def run(self) -> None:
        """Run rounds until cancelled.

        Demand is recorded also without a valid lease; VM operations need one.
        """
        while True:
            await self.clock.sleep_ms(_ROUND_INTERVAL_MS)
            configuration = self.operators.configuration
            if configuration is None:
                continue
            demand = self.demand()
            self._rebalancer.record_demand(demand)
            if self.fleet.lease.is_valid():
                await self._run_round(configuration, demand)

    async def _run_round(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]
    ) -> None:
        waves = self._waves.incomplete_waves(self.operators.waves)
        if not waves and not self._rebalancer.may_need_moves(configuration, demand):
            return
        if not await self.fleet.refresh() or not await self._load_record():
            return
        await self._waves.advance(waves, demand)
        await self._rebalancer.rebalance(
            configuration, demand, self._waves.vms_pending_maintenance(waves)
        )

    async def _load_record(self) -> bool:
        """Load the record that earlier holders stored, and return whether it is loaded."""
        failure = await self.fleet.record.load()
        if failure is not None:
            log_store_failure(self.log, failure)
        return failure is None
