"""Progress of periodic maintenance by pool; pure functions of a snapshot."""

from collections.abc import Collection, Mapping

from attrs import frozen

from fireflydeck.core import Configuration, Pool, Vm
from fireflydeck.policy.maintenance import MaintenanceLimits, due_ms

__all__ = ["PoolProgress", "maintenance_progress"]


@frozen(kw_only=True)
class PoolProgress:
    """Progress of the periodic maintenance of one pool.

    Parameters
    ----------
    vms
        Number of VMs of the pool.
    due
        Number of VMs whose due time has passed.
    in_maintenance
        Number of VMs that are in periodic maintenance.
    expected_end_ms
        Wall time by which each VM of the pool is expected to have been maintained once more.
    """

    pool: str
    vms: int
    due: int
    in_maintenance: int
    expected_end_ms: int


def maintenance_progress(
    configuration: Configuration,
    limits: MaintenanceLimits,
    wall_ms: int,
    first_seen_ms: Mapping[str, int],
    in_maintenance: Collection[str],
) -> tuple[PoolProgress, ...]:
    """Return the progress of each pool, ordered by the name of the pool.

    The expected end is the last due time of the VMs of the pool. It is later if the VMs whose due
    time has passed need longer, with as many in maintenance at the same time as the availability
    budget of the pool allows.

    Parameters
    ----------
    wall_ms
        Current wall time.
    first_seen_ms
        Wall time at which a VM that was never maintained was first seen, by name of the VM.
    in_maintenance
        Names of the VMs that are in periodic maintenance.
    """
    by_pool: dict[str, list[Vm]] = {pool.name: [] for pool in configuration.all(Pool)}
    for vm in configuration.all(Vm):
        by_pool[vm.pool].append(vm)
    progress = []
    for pool in sorted(configuration.all(Pool), key=lambda pool: pool.name):
        vms = by_pool[pool.name]
        known_due_times_ms = [
            due_ms(vm, limits.interval_ms, first_seen_ms.get(vm.name)) for vm in vms
        ]
        due_times_ms = [
            wall_ms + limits.interval_ms if time is None else time for time in known_due_times_ms
        ]
        due = sum(time <= wall_ms for time in due_times_ms)
        batches = -(-due // max(1, pool.max_unavailable))
        end_ms = max([wall_ms + batches * limits.duration_ms, *due_times_ms])
        progress.append(
            PoolProgress(
                pool=pool.name,
                vms=len(vms),
                due=due,
                in_maintenance=sum(vm.name in in_maintenance for vm in vms),
                expected_end_ms=end_ms,
            )
        )
    return tuple(progress)
