"""Duties of the lease's holder on VMs: moves between pools and waves of upkeep."""

from collections.abc import Callable

from attrs import define

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.kernel import EventLog, log_store_failure
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.pool_duties import PoolDuties
from fireflydeck.scheduling.vm_fleet import VmFleet
from fireflydeck.scheduling.wave_duties import WaveDuties

__all__ = ["FleetDuties"]

_ROUND_MS = 250


@define(eq=False, kw_only=True)
class FleetDuties:
    """Looks for duties in rounds; waves go before moves.

    Parameters
    ----------
    demand
        Returns the work in sight by pool.
    """

    lease: LeaseKeeper
    fleet: VmFleet
    waves: WaveDuties
    pools: PoolDuties
    operators: OperatorDocuments
    clock: Clock
    log: EventLog
    demand: Callable[[], dict[str, PoolDemand]]

    async def run(self) -> None:
        """Look for duties until cancelled."""
        while True:
            await self.clock.sleep_ms(_ROUND_MS)
            configuration = self.operators.configuration
            if configuration is None:
                continue
            demand = self.demand()
            self.pools.note(demand)
            if self.lease.is_valid():
                await self._round(configuration, demand)

    async def _round(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]
    ) -> None:
        waves = self.waves.open_waves(self.operators.waves)
        if not waves and not self.pools.is_wanted(configuration, demand):
            return
        if not await self.fleet.refresh() or not await self._load_record():
            return
        await self.waves.serve(waves, demand)
        await self.pools.serve(configuration, demand, self.waves.due_vms(waves))

    async def _load_record(self) -> bool:
        """Read what earlier holders stored; returns whether it is known."""
        failure = await self.fleet.record.load()
        if failure is not None:
            log_store_failure(self.log, failure)
        return failure is None
