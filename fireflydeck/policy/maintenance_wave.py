"""Choice of the VMs of a maintenance wave that are drained next."""

from collections.abc import Sequence

from attrs import frozen

__all__ = ["PendingVm", "choose_vms_to_drain"]


@frozen(kw_only=True)
class PendingVm:
    """A VM whose maintenance is pending.

    Parameters
    ----------
    running
        Number of runs on the VM.
    may_stop
        Whether the availability budgets allow all its long-running tasks to be stopped now.
    is_draining
        Whether the VM is already draining, so that it gets no new work.
    pool_has_backlog
        Whether the pool of the VM has a backlog.
    """

    name: str
    pool: str
    running: int
    may_stop: bool
    is_draining: bool
    pool_has_backlog: bool


def choose_vms_to_drain(
    pending: Sequence[PendingVm], *, down: int, max_at_once: int, is_urgent: bool
) -> list[str]:
    """Return the names of the VMs to drain in addition to those that are draining already.

    Idle VMs come first. At most one busy VM of each pool drains at a time. A busy VM of a pool with
    a backlog is chosen only if the remaining time is short.

    Parameters
    ----------
    pending
        VMs of the wave whose maintenance is pending.
    down
        Number of VMs of the wave that are down for maintenance.
    max_at_once
        Maximum number of VMs that are down or draining at the same time.
    is_urgent
        Whether the remaining time is short.
    """
    draining = [vm for vm in pending if vm.is_draining]
    free_places = max_at_once - down - len(draining)
    busy_pools = {vm.pool for vm in draining if vm.running > 0}
    chosen: list[str] = []
    for vm in sorted(pending, key=lambda vm: (vm.running, vm.name)):
        if free_places <= 0:
            break
        if vm.is_draining or not vm.may_stop:
            continue
        if vm.running > 0 and (vm.pool in busy_pools or (vm.pool_has_backlog and not is_urgent)):
            continue
        chosen.append(vm.name)
        free_places -= 1
        if vm.running > 0:
            busy_pools.add(vm.pool)
    return chosen
