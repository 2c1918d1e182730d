"""Which VMs of a wave are emptied next for their maintenance."""

from collections.abc import Sequence

from attrs import frozen

__all__ = ["DueVm", "choose_vms_to_empty"]


@frozen(kw_only=True)
class DueVm:
    """A VM whose maintenance is due and has not begun.

    Parameters
    ----------
    running
        Runs on it.
    may_stop
        Whether all its long-running tasks may be stopped now within their budgets.
    is_emptying
        Whether it gets no new work already.
    is_pressed
        Whether its pool has a backlog.
    """

    name: str
    pool: str
    running: int
    may_stop: bool
    is_emptying: bool
    is_pressed: bool


def choose_vms_to_empty(
    due: Sequence[DueVm], *, down: int, max_at_once: int, is_urgent: bool
) -> list[str]:
    """Return the VMs to empty beside those that are emptied already.

    Idle VMs go first; of the others one a pool, and none of a pool with a backlog unless the time
    left is short. VMs that are down or being emptied count against `max_at_once`.
    """
    emptying = [vm for vm in due if vm.is_emptying]
    room = max_at_once - down - len(emptying)
    busy_pools = {vm.pool for vm in emptying if vm.running > 0}
    chosen: list[str] = []
    for vm in sorted(due, key=lambda vm: (vm.running, vm.name)):
        if room <= 0:
            break
        if vm.is_emptying or not vm.may_stop:
            continue
        if vm.running > 0 and (vm.pool in busy_pools or (vm.is_pressed and not is_urgent)):
            continue
        chosen.append(vm.name)
        room -= 1
        if vm.running > 0:
            busy_pools.add(vm.pool)
    return chosen
