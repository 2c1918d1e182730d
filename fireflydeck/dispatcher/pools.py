"""Waiting requests and VM loads of each pool, updated from the configuration."""

from collections.abc import Collection

from attrs import define

from fireflydeck.core import Configuration, Organisation, Pool, Vm
from fireflydeck.policy import Demand, FairOrder, PoolPlacement, VmLoad, WaitingRequest

__all__ = ["PoolSet", "PoolState"]


@define(eq=False)
class PoolState:
    """The waiting requests of a pool and the load of its VMs."""

    name: str
    order: FairOrder
    placement: PoolPlacement
    is_spare: bool = False


class PoolSet:
    """The states of all pools in this process.

    Parameters
    ----------
    data_centre
        Data centre of this process.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._states: dict[str, PoolState] = {}
        self._loads: dict[str, VmLoad] = {}
        self._shares: dict[str, int] = {}
        self._spares: list[PoolState] = []

    @property
    def states(self) -> Collection[PoolState]:
        """States of all pools."""
        return self._states.values()

    def get(self, name: str) -> PoolState:
        """Return the state of a pool, and create it if there is none."""
        state = self._states.get(name)
        if state is None:
            order = FairOrder(shares=self._shares)
            state = PoolState(name, order, PoolPlacement(self._data_centre))
            self._states[name] = state
        return state

    def update(self, configuration: Configuration) -> None:
        """Apply the configuration's shares, pools and VMs."""
        self._shares.clear()
        self._shares.update(
            {
                organisation.name: organisation.share
                for organisation in configuration.all(Organisation)
            }
        )
        for pool in configuration.all(Pool):
            state = self.get(pool.name)
            state.is_spare = pool.spare
            state.placement.max_unavailable = pool.max_unavailable
            state.placement.unavailable = 0
        # Cached, because each placement decision in any pool looks for spare pools.
        self._spares = [state for state in self._states.values() if state.is_spare]
        self._update_vms(configuration)
        for state in self._states.values():
            state.order.slots = max(1, state.placement.slots)

    def choose(self, pool: PoolState, entry: WaitingRequest, now_ms: int) -> VmLoad | None:
        """Return a VM with room in the pool, or else in a spare pool without waiting requests."""
        for state in (pool, *self._spares_for(pool)):
            load = state.placement.choose(entry.demand, now_ms, entry.excluded_vms)
            if load is not None:
                return load
        return None

    def has_room(self, pool: PoolState) -> bool:
        """Return whether the pool, or a spare pool without waiting requests, has a free slot."""
        return pool.placement.has_free_slot or any(
            spare.placement.has_free_slot for spare in self._spares_for(pool)
        )

    def record_outcome(self, load: VmLoad, now_ms: int, *, is_failure: bool) -> bool:
        """Record an outcome in the VM's failure rate; return whether this ejects the VM."""
        placement = self.get(load.vm.pool).placement
        return placement.record_outcome(load, now_ms, is_failure=is_failure)

    def _spares_for(self, pool: PoolState) -> list[PoolState]:
        """Return the other pools that are spare and have no waiting requests."""
        return [spare for spare in self._spares if spare is not pool and not len(spare.order)]

    def adjust_load(self, load: VmLoad, demand: Demand, sign: int) -> None:
        """Add (`sign` 1) or remove (-1) the load of one task on the VM."""
        self.get(load.vm.pool).placement.adjust_load(load, demand, sign)

    def _update_vms(self, configuration: Configuration) -> None:
        for name in [name for name in self._loads if configuration.get(Vm, name) is None]:
            load = self._loads.pop(name)
            self.get(load.vm.pool).placement.remove(load)
        for vm in configuration.all(Vm):
            self._update_vm(vm, configuration.accepts_work(vm))

    def _update_vm(self, vm: Vm, accepts_work: bool) -> None:
        load = self._loads.get(vm.name)
        if load is None:
            load = self._loads[vm.name] = VmLoad(vm)
        elif load.vm.pool != vm.pool:
            self.get(load.vm.pool).placement.remove(load)
        placement = self.get(vm.pool).placement
        if load.vm.rack != vm.rack:
            placement.remove(load)
        load.vm = vm
        if accepts_work:
            placement.put(load)
        else:
            placement.unavailable += 1
            placement.remove(load)
