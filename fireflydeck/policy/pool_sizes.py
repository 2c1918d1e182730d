"""Which VMs move between pools, from the backlog in sight."""

from collections.abc import Sequence

from attrs import evolve, frozen

__all__ = ["PoolLoad", "VmLoad", "VmMove", "choose_moves"]

_PRESSED_S = 0.25
"""Backlog that a pool clears by itself in this time needs no VMs from elsewhere."""
_GIVING_MARGIN = 1.5
"""A pool that gives a VM keeps this many times the cores that its open jobs need."""
_IDLE_BEFORE_MOVE_MS = 150
_IDLE_BEFORE_STANDBY_MS = 3000
"""An idle VM costs more than its way to standby and back after about this time."""


@frozen(kw_only=True)
class VmLoad:
    """A VM that is up and may move: one of the standby pool, or taken from there.

    Parameters
    ----------
    idle_ms
        For how long nothing has run on it; 0 if something runs, or if it may not be moved.
    """

    name: str
    pool: str
    cores: float
    idle_ms: int


@frozen(kw_only=True)
class PoolLoad:
    """Load of a pool.

    Parameters
    ----------
    waiting_core_s
        Work in sight that does not run yet, in core-seconds.
    needed_cores
        Cores with which the open jobs would be done in time.
    available_cores
        Cores of the VMs that take work, less what long-running tasks use.
    incoming_cores
        Cores of the VMs on their way here.
    standby
        Whether the pool's VMs are switched off.
    """

    name: str
    waiting_core_s: float
    needed_cores: float
    available_cores: float
    incoming_cores: float
    standby: bool = False


@frozen
class VmMove:
    """A VM that should move to another pool."""

    vm: str
    source: str
    target: str


def choose_moves(
    pools: Sequence[PoolLoad], vms: Sequence[VmLoad], *, move_s: float
) -> list[VmMove]:
    """Return the moves that shorten a backlog or put an idle VM on standby.

    Parameters
    ----------
    move_s
        Time for which a VM that moves is out of work.
    """
    moves: list[VmMove] = []
    by_name = {pool.name: pool for pool in pools}
    spare = _spare_vms(by_name, vms, move_s)
    for pool in sorted(pools, key=lambda pool: -_wanted_cores(pool, move_s)):
        wanted = _wanted_cores(pool, move_s)
        for vm in [vm for vm in spare if vm.pool != pool.name]:
            if wanted <= 0:
                break
            moves.append(VmMove(vm.name, vm.pool, pool.name))
            spare.remove(vm)
            wanted -= vm.cores
    return moves + _to_standby(by_name, spare)


def _wanted_cores(pool: PoolLoad, move_s: float) -> float:
    """Return the cores that a pool lacks, at the earliest time at which a VM could arrive."""
    if pool.standby:
        return 0.0
    cores = pool.available_cores + pool.incoming_cores
    left_core_s = pool.waiting_core_s + (pool.needed_cores - cores) * move_s
    if left_core_s <= cores * _PRESSED_S:
        return 0.0
    return max(0.0, pool.needed_cores - cores)


def _spare_vms(pools: dict[str, PoolLoad], vms: Sequence[VmLoad], move_s: float) -> list[VmLoad]:
    """Return the VMs that their pools can do without, all together; standby comes last."""
    rest = dict(pools)
    spare: list[VmLoad] = []
    for vm in sorted(vms, key=lambda vm: (-vm.idle_ms, vm.name)):
        if _may_give(vm, rest, move_s):
            spare.append(vm)
            pool = rest[vm.pool]
            rest[vm.pool] = evolve(pool, available_cores=pool.available_cores - vm.cores)
    return sorted(spare, key=lambda vm: pools[vm.pool].standby)


def _may_give(vm: VmLoad, pools: dict[str, PoolLoad], move_s: float) -> bool:
    pool = pools.get(vm.pool)
    if pool is None:
        return False
    if pool.standby:
        return True
    if vm.idle_ms < _IDLE_BEFORE_MOVE_MS:
        return False
    rest = evolve(pool, available_cores=pool.available_cores - vm.cores)
    if rest.available_cores < pool.needed_cores * _GIVING_MARGIN:
        return False
    return rest.available_cores > 0 and _wanted_cores(rest, move_s) <= 0


def _to_standby(pools: dict[str, PoolLoad], spare: list[VmLoad]) -> list[VmMove]:
    """Return the moves of VMs that have been idle for long, one a pool and round."""
    standby = [pool.name for pool in pools.values() if pool.standby]
    if not standby:
        return []
    given: set[str] = set()
    moves: list[VmMove] = []
    for vm in spare:
        pool = pools[vm.pool]
        if pool.standby or vm.pool in given or vm.idle_ms < _IDLE_BEFORE_STANDBY_MS:
            continue
        given.add(vm.pool)
        moves.append(VmMove(vm.name, vm.pool, standby[0]))
    return moves
