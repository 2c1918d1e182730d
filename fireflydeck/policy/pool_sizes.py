"""Which VMs move between pools, from the work in sight."""

from collections.abc import Iterable, Sequence

from attrs import evolve, frozen

__all__ = ["PoolLoad", "VmLoad", "VmMove", "choose_moves"]

_MARGIN = 1.1
"""Cores over the need, for tasks that don't fill a VM and for arrivals that gather."""
_IDLE_BEFORE_MOVE_MS = 150
_IDLE_BEFORE_STANDBY_MS = 3500
"""An idle VM costs more than its way to standby and back after about this time."""


@frozen(kw_only=True)
class VmLoad:
    """A VM that is up and may move: one on standby, or taken from there.

    Parameters
    ----------
    idle_ms
        For how long nothing has run on it.
    labels
        Labels that tasks may require.
    unsuitable
        Pools that do not take this VM.
    """

    name: str
    pool: str
    cores: float
    idle_ms: int
    labels: frozenset[str] = frozenset()
    unsuitable: frozenset[str] = frozenset()


@frozen(kw_only=True)
class PoolLoad:
    """Load of a pool.

    Parameters
    ----------
    needed_cores
        Cores with which the jobs are done in time that are open, or come in until a VM arrives.
    available_cores
        Cores of the VMs that take work, less what long-running tasks use.
    incoming_cores
        Cores of the VMs on their way here.
    least_vms
        VMs that open jobs need because they may have only so many tasks on one.
    vms
        VMs that take work or are on their way here.
    required_labels
        Labels that tasks of open jobs require.
    missing_labels
        Those of them that no VM of the pool has.
    standby
        Whether the pool's VMs are switched off.
    """

    name: str
    needed_cores: float
    available_cores: float
    incoming_cores: float = 0.0
    least_vms: int = 0
    vms: int = 0
    required_labels: frozenset[str] = frozenset()
    missing_labels: frozenset[str] = frozenset()
    standby: bool = False

    @property
    def lacking_cores(self) -> float:
        """Cores that should come from elsewhere."""
        return self.needed_cores * _MARGIN - self.available_cores - self.incoming_cores


@frozen
class VmMove:
    """A VM that should move to another pool."""

    vm: str
    source: str
    target: str


def choose_moves(pools: Iterable[PoolLoad], vms: Sequence[VmLoad]) -> list[VmMove]:
    """Return the moves to pools that lack VMs, then those of idle VMs to standby."""
    by_name = {pool.name: pool for pool in pools}
    spare = _spare_vms(by_name, vms)
    moves: list[VmMove] = []
    for pool in sorted(by_name.values(), key=lambda pool: -pool.lacking_cores):
        if not pool.standby:
            moves.extend(_to_pool(pool, spare))
    return moves + _to_standby(by_name, spare)


def _to_pool(pool: PoolLoad, spare: list[VmLoad]) -> list[VmMove]:
    """Return the moves that a pool asks for; the VMs are taken out of `spare`."""
    moves: list[VmMove] = []
    cores, vms = pool.lacking_cores, pool.least_vms - pool.vms
    missing = set(pool.missing_labels)
    for vm in sorted(spare, key=lambda vm: not (vm.labels & missing)):
        if vm.pool == pool.name or pool.name in vm.unsuitable:
            continue
        if cores <= 0 and vms <= 0 and not vm.labels & missing:
            continue
        moves.append(VmMove(vm.name, vm.pool, pool.name))
        spare.remove(vm)
        cores -= vm.cores
        vms -= 1
        missing -= vm.labels
    return moves


def _spare_vms(pools: dict[str, PoolLoad], vms: Sequence[VmLoad]) -> list[VmLoad]:
    """Return the VMs that their pools can do without, all together; standby comes last."""
    rest = dict(pools)
    spare: list[VmLoad] = []
    for vm in sorted(vms, key=lambda vm: (-vm.idle_ms, vm.name)):
        pool = rest.get(vm.pool)
        if pool is None or not _may_give(vm, pool):
            continue
        spare.append(vm)
        left = pool.available_cores - vm.cores
        rest[vm.pool] = evolve(pool, available_cores=left, vms=pool.vms - 1)
    return sorted(spare, key=lambda vm: pools[vm.pool].standby)


def _may_give(vm: VmLoad, pool: PoolLoad) -> bool:
    if pool.standby:
        return True
    if vm.idle_ms < _IDLE_BEFORE_MOVE_MS or vm.labels & pool.required_labels:
        return False
    kept_vms = max(1, pool.least_vms)
    left_cores = pool.available_cores - vm.cores
    return left_cores >= pool.needed_cores * _MARGIN and pool.vms > kept_vms


def _to_standby(pools: dict[str, PoolLoad], spare: list[VmLoad]) -> list[VmMove]:
    """Return the moves of VMs that have been idle for long."""
    standby = [pool.name for pool in pools.values() if pool.standby]
    moves: list[VmMove] = []
    for vm in spare:
        if pools[vm.pool].standby or vm.idle_ms < _IDLE_BEFORE_STANDBY_MS:
            continue
        target = next((name for name in standby if name not in vm.unsuitable), None)
        if target is not None:
            moves.append(VmMove(vm.name, vm.pool, target))
    return moves
