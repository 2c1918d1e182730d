"""Moves of VMs between pools, by the work in sight."""

from attrs import define, field

from fireflydeck.core import Clock, Ran
from fireflydeck.core.fleet_configuration import FleetConfiguration, ServerPool
from fireflydeck.core.vm_orders import DutyOutcome, ListedVm, VmListState
from fireflydeck.kernel import EventLog, log_store_failure
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.policy.pool_forecast import PoolForecast
from fireflydeck.policy.pool_sizes import PoolLoad, VmLoad, VmMove, choose_moves
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.vm_fleet import CALL_TIMEOUT_MS, VmFleet

__all__ = ["PoolDuties"]

_CORE = 1000
"""Thousandths in a core."""
_ARRIVAL_SLACK_MS = 700
"""Time beyond that of a move until a VM is seen, held and given work."""


@define(eq=False, kw_only=True)
class PoolDuties:
    """Lends VMs of the standby pools to pools that lack them, and takes idle ones back."""

    fleet: VmFleet
    operators: OperatorDocuments
    clock: Clock
    log: EventLog
    _forecast: PoolForecast = field(factory=PoolForecast, init=False)
    _idle_since_ms: dict[str, int] = field(factory=dict, init=False)
    _refused: set[tuple[str, str]] = field(factory=set, init=False)

    def note(self, demand: dict[str, PoolDemand]) -> None:
        """Note the needs of the pools, and since when nothing runs on each backend server."""
        now_ms = self.clock.now_ms()
        for pool, item in demand.items():
            self._forecast.note(pool, item.needed_cores, now_ms)
        idle = {
            server.id
            for server in self.fleet.servers.values()
            if server.is_registered and server.is_held and not server.attempts
        }
        self._idle_since_ms = {
            server_id: self._idle_since_ms.get(server_id, now_ms) for server_id in idle
        }

    def is_wanted(self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]) -> bool:
        """Whether VMs may have to move, so that the list of VMs has to be read."""
        if self.fleet.sent or any(item.needed_cores > 0 for item in demand.values()):
            return True
        standby = {pool.name for pool in configuration.pools if pool.standby}
        servers = self.fleet.servers
        return any(
            servers[server_id].registration.pool not in standby
            for server_id in self._idle_since_ms
            if server_id in servers
        )

    async def serve(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand], due: set[str]
    ) -> None:
        """Order the moves that the loads of the pools ask for.

        Parameters
        ----------
        due
            VMs that wait for their maintenance; these stay where they are.
        """
        loads = {
            pool.name: self._load(pool, demand.get(pool.name, PoolDemand()))
            for pool in configuration.pools
        }
        standby = {pool.name for pool in configuration.pools if pool.standby}
        vms = [
            self._vm_load(vm, configuration)
            for vm in self.fleet.vms.values()
            if vm.name not in due
            and (vm.pool in standby or self.fleet.record.is_borrowed(vm.name))
            and self._is_movable(vm)
        ]
        moves = choose_moves(loads.values(), vms)
        if not moves:
            return
        failure = await self.fleet.record.announce([move.vm for move in moves], borrowed=True)
        if failure is not None:
            log_store_failure(self.log, failure)
            return
        for move in moves:
            if not self.fleet.is_current():
                return
            await self._order(move, loads[move.target])

    def _load(self, pool: ServerPool, demand: PoolDemand) -> PoolLoad:
        servers = [
            server
            for server in self.fleet.servers.values()
            if server.registration.pool == pool.name and self._serves(server)
        ]
        incoming = [
            self.fleet.vms[order.vm]
            for order in self.fleet.sent.values()
            if order.target == pool.name and order.vm in self.fleet.vms
        ]
        labels = [server.registration.labels for server in servers]
        labels += [vm.labels for vm in incoming]
        ahead_ms = self.fleet.times.migration_ms + _ARRIVAL_SLACK_MS
        return PoolLoad(
            name=pool.name,
            needed_cores=self._forecast.cores_ahead(pool.name, ahead_ms),
            available_cores=sum(map(_available_cores, servers)),
            incoming_cores=sum(vm.capacity.cpu for vm in incoming) / _CORE,
            least_vms=demand.least_vms,
            vms=len(servers) + len(incoming),
            required_labels=demand.required_labels,
            missing_labels=demand.required_labels.difference(*labels),
            standby=pool.standby,
        )

    def _serves(self, server: Server) -> bool:
        evacuated = self.operators.evacuated_data_centres
        return server.can_work() and server.registration.data_centre not in evacuated

    def _is_movable(self, vm: ListedVm) -> bool:
        if vm.state != VmListState.UP or vm.name in self.fleet.sent:
            return False
        if not self.fleet.may_order(vm.name):
            return False
        server = self.fleet.server_of(vm)
        if server is None:
            return not vm.server_id
        return server.is_quiet() and not server.is_cordoned

    def _vm_load(self, vm: ListedVm, configuration: FleetConfiguration) -> VmLoad:
        since_ms = self._idle_since_ms.get(vm.server_id)
        unsuitable = {pool for name, pool in self._refused if name == vm.name}
        if vm.data_centre in self.operators.evacuated_data_centres:
            unsuitable |= {pool.name for pool in configuration.pools if not pool.standby}
        return VmLoad(
            name=vm.name,
            pool=vm.pool,
            cores=vm.capacity.cpu / _CORE,
            idle_ms=0 if since_ms is None else self.clock.now_ms() - since_ms,
            labels=vm.labels,
            unsuitable=frozenset(unsuitable),
        )

    async def _order(self, move: VmMove, target: PoolLoad) -> None:
        vm = self.fleet.vms[move.vm]
        server = self.fleet.server_of(vm)
        if server is not None:
            if not server.is_quiet():
                return
            server.is_cordoned = True
        result = await self.fleet.orders.move(
            vm=vm.name,
            pool=move.target,
            fencing_token=self.fleet.tenure.term,
            timeout_ms=CALL_TIMEOUT_MS,
        )
        self.fleet.log_order(
            "move",
            vm,
            move.target,
            result,
            needed_cores=round(target.needed_cores),
            available_cores=round(target.available_cores),
            incoming_cores=round(target.incoming_cores),
        )
        if result.is_ok() and result.ok == DutyOutcome.INVALID:
            self._refused.add((vm.name, move.target))
        refused = result.is_ok() and result.ok != DutyOutcome.TAKEN
        if refused or (result.is_error() and result.error.ran == Ran.NO):
            self.fleet.uncordon(vm.server_id)
            return
        self.fleet.note_order(vm, move.target, 0, is_certain=result.is_ok())


def _available_cores(server: Server) -> float:
    """Return the cores that long-running tasks leave."""
    long_running = sum(
        attempt.task.step.demand.cpu
        for attempt in server.attempts.values()
        if attempt.task.step.long_running and not attempt.task.step.fill
    )
    return (server.registration.capacity.cpu - long_running) / _CORE
