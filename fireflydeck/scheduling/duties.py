"""Duties of the lease's holder on VMs: moves between pools and waves of maintenance."""

from collections.abc import Callable

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.core.rows import RowStore
from fireflydeck.kernel import EventLog, log_store_failure
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.pool_duties import PoolDuties
from fireflydeck.scheduling.vm_fleet import VmFleet
from fireflydeck.scheduling.wave_duties import WaveDuties
from fireflydeck.workload.life import Attempt

__all__ = ["FleetDuties"]

_ROUND_MS = 250


@define(eq=False, kw_only=True)
class FleetDuties:
    """Looks for duties in rounds; waves go before moves.

    Parameters
    ----------
    demand
        Returns the work in sight by pool.
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
    _waves: WaveDuties = field(init=False)
    _pools: PoolDuties = field(init=False)

    @_waves.default
    def _make_waves(self) -> WaveDuties:
        return WaveDuties(
            fleet=self.fleet,
            store=self.store,
            clock=self.clock,
            log=self.log,
            request_stop=self.request_stop,
        )

    @_pools.default
    def _make_pools(self) -> PoolDuties:
        return PoolDuties(
            fleet=self.fleet, operators=self.operators, clock=self.clock, log=self.log
        )

    async def run(self) -> None:
        """Look for duties until cancelled."""
        while True:
            await self.clock.sleep_ms(_ROUND_MS)
            configuration = self.operators.configuration
            if configuration is None:
                continue
            demand = self.demand()
            self._pools.note(demand)
            if self.fleet.lease.is_valid():
                await self._round(configuration, demand)

    async def _round(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]
    ) -> None:
        waves = self._waves.open_waves(self.operators.waves)
        if not waves and not self._pools.is_wanted(configuration, demand):
            return
        if not await self.fleet.refresh() or not await self._load_record():
            return
        await self._waves.serve(waves, demand)
        await self._pools.serve(configuration, demand, self._waves.due_vms(waves))

    async def _load_record(self) -> bool:
        """Read what earlier holders stored; returns whether it is known."""
        failure = await self.fleet.record.load()
        if failure is not None:
            log_store_failure(self.log, failure)
        return failure is None
