"""Choice of the VMs that move between pools, from the needed and available cores."""

from collections.abc import Iterable, Sequence

from attrs import evolve, frozen

__all__ = ["PoolLoad", "MovableVm", "VmMove", "choose_moves"]

_NEED_FACTOR = 1.1
"""Factor on the needed cores, for tasks that don't fill a VM and jobs that arrive in batches."""
_IDLE_BEFORE_MOVE_MS = 150
_IDLE_BEFORE_STANDBY_MS = 3500
"""Idle time after which keeping a VM costs about as much as a move to standby and back."""


@frozen(kw_only=True)
class MovableVm:
    """A VM that is listed as up and may move: it is in a standby pool or was borrowed from one.

    Parameters
    ----------
    idle_ms
        Time for which nothing has run on the VM.
    labels
        Labels of the VM, which tasks may require.
    unsuitable_pools
        Names of the pools to which the VM must not move.
    """

    name: str
    pool: str
    cores: float
    idle_ms: int
    labels: frozenset[str] = frozenset()
    unsuitable_pools: frozenset[str] = frozenset()


@frozen(kw_only=True)
class PoolLoad:
    """Needed and available resources of a pool.

    Parameters
    ----------
    needed_cores
        Cores needed to complete in time all jobs that are open now or arrive before a VM could be
        moved to the pool.
    available_cores
        Cores of the VMs that accept work, without those used by long-running tasks.
    incoming_cores
        Cores of the VMs that are moving to the pool.
    min_vms
        Minimum number of VMs for the open jobs, whose number of tasks per VM may be limited.
    vms
        Number of VMs that accept work or are moving to the pool.
    required_labels
        Labels that tasks of open jobs require.
    missing_labels
        Required labels that no VM of the pool has.
    standby
        Whether the VMs of the pool are switched off.
    """

    name: str
    needed_cores: float
    available_cores: float
    incoming_cores: float = 0.0
    min_vms: int = 0
    vms: int = 0
    required_labels: frozenset[str] = frozenset()
    missing_labels: frozenset[str] = frozenset()
    standby: bool = False

    @property
    def missing_cores(self) -> float:
        """Return the cores that should move to the pool; negative if it has more than needed."""
        return self.needed_cores * _NEED_FACTOR - self.available_cores - self.incoming_cores


@frozen
class VmMove:
    """A VM that should move to another pool."""

    vm: str
    source: str
    target: str


def choose_moves(pools: Iterable[PoolLoad], vms: Sequence[MovableVm]) -> list[VmMove]:
    """Return the moves to pools that lack VMs, followed by the moves of idle VMs to standby."""
    by_name = {pool.name: pool for pool in pools}
    spare = _spare_vms(by_name, vms)
    moves: list[VmMove] = []
    for pool in sorted(by_name.values(), key=lambda pool: -pool.missing_cores):
        if not pool.standby:
            moves.extend(_moves_to_pool(pool, spare))
    return moves + _moves_to_standby(by_name, spare)


def _moves_to_pool(pool: PoolLoad, spare: list[MovableVm]) -> list[VmMove]:
    """Return the moves to a pool that lacks VMs; the moved VMs are removed from `spare`."""
    moves: list[VmMove] = []
    cores, vms = pool.missing_cores, pool.min_vms - pool.vms
    missing = set(pool.missing_labels)
    for vm in sorted(spare, key=lambda vm: not (vm.labels & missing)):
        if vm.pool == pool.name or pool.name in vm.unsuitable_pools:
            continue
        if cores <= 0 and vms <= 0 and not vm.labels & missing:
            continue
        moves.append(VmMove(vm.name, vm.pool, pool.name))
        spare.remove(vm)
        cores -= vm.cores
        vms -= 1
        missing -= vm.labels
    return moves


def _spare_vms(pools: dict[str, PoolLoad], vms: Sequence[MovableVm]) -> list[MovableVm]:
    """Return the VMs that can all leave their pools at the same time; those on standby last."""
    remaining = dict(pools)
    spare: list[MovableVm] = []
    for vm in sorted(vms, key=lambda vm: (-vm.idle_ms, vm.name)):
        pool = remaining.get(vm.pool)
        if pool is None or not _can_leave(vm, pool):
            continue
        spare.append(vm)
        remaining_cores = pool.available_cores - vm.cores
        remaining[vm.pool] = evolve(pool, available_cores=remaining_cores, vms=pool.vms - 1)
    return sorted(spare, key=lambda vm: pools[vm.pool].standby)


def _can_leave(vm: MovableVm, pool: PoolLoad) -> bool:
    """Return whether the VM may leave its pool.

    A VM on standby always may. Any other VM must have been idle for a moment and have none of the
    required labels, and its pool must meet its need without it.
    """
    if pool.standby:
        return True
    if vm.idle_ms < _IDLE_BEFORE_MOVE_MS or vm.labels & pool.required_labels:
        return False
    min_kept_vms = max(1, pool.min_vms)
    cores_without_vm = pool.available_cores - vm.cores
    return cores_without_vm >= pool.needed_cores * _NEED_FACTOR and pool.vms > min_kept_vms


def _moves_to_standby(pools: dict[str, PoolLoad], spare: list[MovableVm]) -> list[VmMove]:
    """Return the moves to standby of the VMs that have been idle for long enough."""
    standby = [pool.name for pool in pools.values() if pool.standby]
    moves: list[VmMove] = []
    for vm in spare:
        if pools[vm.pool].standby or vm.idle_ms < _IDLE_BEFORE_STANDBY_MS:
            continue
        target = next((name for name in standby if name not in vm.unsuitable_pools), None)
        if target is not None:
            moves.append(VmMove(vm.name, vm.pool, target))
    return moves
