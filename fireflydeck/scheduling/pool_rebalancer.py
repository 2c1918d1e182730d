"""Moves of VMs between pools, by the pending work of each pool."""

from functools import partial

from attrs import define, field

from fireflydeck.core import Clock, Ran
from fireflydeck.core.fleet_configuration import FleetConfiguration, ServerPool
from fireflydeck.core.vm_orders import ListedVm, ListedVmState, VmOperationOutcome
from fireflydeck.kernel import EventLog, log_store_failure
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.policy.pool_forecast import PoolForecast
from fireflydeck.policy.pool_rebalancing import MovableVm, PoolLoad, VmMove, choose_moves
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.servers import MILLICORES_PER_CORE, Server, available_cores
from fireflydeck.scheduling.vm_fleet import CALL_TIMEOUT_MS, VmFleet

__all__ = ["PoolRebalancer"]

_ARRIVAL_SLACK_MS = 700
"""Time after a move until the VM is discovered, answers a heartbeat and is given work."""


@define(eq=False, kw_only=True)
class PoolRebalancer:
    """Rebalancer that moves VMs from standby pools to pools that need them, and idle VMs back.

    Parameters
    ----------
    fleet
        VMs as last listed, and the open orders.
    operators
        Documents of the operators: configuration and evacuated data centres.
    """

    fleet: VmFleet
    operators: OperatorDocuments
    clock: Clock
    log: EventLog
    _forecast: PoolForecast = field(factory=PoolForecast, init=False)
    _idle_since_ms: dict[str, int] = field(factory=dict, init=False)
    _rejected_moves: set[tuple[str, str]] = field(factory=set, init=False)

    def record_demand(self, demand: dict[str, PoolDemand]) -> None:
        """Record the needed cores of each pool, and since when each backend server is idle."""
        now_ms = self.clock.now_ms()
        for pool, item in demand.items():
            self._forecast.record(pool, item.needed_cores, now_ms)
        idle_server_ids = {
            server.id
            for server in self.fleet.servers.values()
            if server.is_registered and server.life.has_answered and not server.attempts
        }
        self._idle_since_ms = {
            server_id: self._idle_since_ms.get(server_id, now_ms) for server_id in idle_server_ids
        }

    def may_need_moves(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]
    ) -> bool:
        """Return whether VMs may have to move, so that the list of VMs has to be read."""
        if self.fleet.open_orders or any(item.needed_cores > 0 for item in demand.values()):
            return True
        standby = {pool.name for pool in configuration.pools if pool.standby}
        servers = self.fleet.servers
        return any(
            servers[server_id].registration.pool not in standby
            for server_id in self._idle_since_ms
            if server_id in servers
        )

    async def rebalance(
        self,
        configuration: FleetConfiguration,
        demand: dict[str, PoolDemand],
        pending_maintenance: set[str],
    ) -> None:
        """Order the moves that the loads of the pools require.

        Parameters
        ----------
        demand
            Demand by pool.
        pending_maintenance
            VMs whose maintenance has not begun; these are not moved.
        """
        loads = {
            pool.name: self._pool_load(pool, demand.get(pool.name, PoolDemand()))
            for pool in configuration.pools
        }
        standby = {pool.name for pool in configuration.pools if pool.standby}
        vms = [
            self._movable_vm(vm, configuration)
            for vm in self.fleet.vms.values()
            if vm.name not in pending_maintenance
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
        await self.fleet.send_orders(
            partial(self._order_move, move, loads[move.target]) for move in moves
        )

    def _pool_load(self, pool: ServerPool, demand: PoolDemand) -> PoolLoad:
        servers = [
            server
            for server in self.fleet.servers.values()
            if server.registration.pool == pool.name and self._can_take_work(server)
        ]
        incoming_vms = [
            self.fleet.vms[order.vm]
            for order in self.fleet.open_orders.values()
            if order.target == pool.name and order.vm in self.fleet.vms
        ]
        labels = [server.registration.labels for server in servers]
        labels += [vm.labels for vm in incoming_vms]
        lead_time_ms = self.fleet.times.migration_ms + _ARRIVAL_SLACK_MS
        return PoolLoad(
            name=pool.name,
            needed_cores=max(
                self._forecast.expected_cores(pool.name, lead_time_ms), demand.steady_cores
            ),
            available_cores=sum(map(available_cores, servers)),
            incoming_cores=sum(vm.capacity.cpu for vm in incoming_vms) / MILLICORES_PER_CORE,
            min_vms=demand.min_vms,
            vms=len(servers) + len(incoming_vms),
            required_labels=demand.required_labels,
            missing_labels=demand.required_labels.difference(*labels),
            standby=pool.standby,
        )

    def _can_take_work(self, server: Server) -> bool:
        evacuated = self.operators.evacuated_data_centres
        return server.is_schedulable() and server.registration.data_centre not in evacuated

    def _is_movable(self, vm: ListedVm) -> bool:
        if vm.state != ListedVmState.UP or vm.name in self.fleet.open_orders:
            return False
        if not self.fleet.is_clear_of_predecessor(vm.name):
            return False
        server = self.fleet.server_of(vm)
        if server is None:
            return not vm.server_id
        return server.is_known_idle() and not server.is_cordoned

    def _movable_vm(self, vm: ListedVm, configuration: FleetConfiguration) -> MovableVm:
        idle_since_ms = self._idle_since_ms.get(vm.server_id)
        unsuitable_pools = {pool for name, pool in self._rejected_moves if name == vm.name}
        if vm.data_centre in self.operators.evacuated_data_centres:
            unsuitable_pools |= {pool.name for pool in configuration.pools if not pool.standby}
        return MovableVm(
            name=vm.name,
            pool=vm.pool,
            cores=vm.capacity.cpu / MILLICORES_PER_CORE,
            idle_ms=0 if idle_since_ms is None else self.clock.now_ms() - idle_since_ms,
            labels=vm.labels,
            unsuitable_pools=frozenset(unsuitable_pools),
        )

    async def _order_move(self, move: VmMove, target: PoolLoad) -> None:
        vm = self.fleet.vms[move.vm]
        server = self.fleet.server_of(vm)
        if server is not None:
            if not server.is_known_idle():
                return
            server.is_cordoned = True
        result = await self.fleet.orders.move(
            vm=vm.name,
            pool=move.target,
            fencing_token=self.fleet.tenure.first_token,
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
        if result.is_ok() and result.ok == VmOperationOutcome.INVALID:
            self._rejected_moves.add((vm.name, move.target))
        is_rejected = result.is_ok() and result.ok != VmOperationOutcome.TAKEN
        if is_rejected or (result.is_error() and result.error.ran == Ran.NO):
            self.fleet.uncordon(vm.server_id)
            return
        self.fleet.record_order(vm, move.target, 0, is_accepted=result.is_ok())
