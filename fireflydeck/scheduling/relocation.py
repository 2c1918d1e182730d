"""Which long-running tasks leave VMs that are due for maintenance, one at a time."""

from collections.abc import Sequence

from fireflydeck.scheduling.availability import is_at_work, may_disrupt
from fireflydeck.scheduling.servers import Server
from fireflydeck.workload.life import Attempt

__all__ = ["relocate_long_running"]


def relocate_long_running(due: Sequence[Server], servers: Sequence[Server]) -> list[Attempt]:
    """Return the runs to stop now, at most one a pool.

    A run is stopped only if a server of its pool that is not due has room for it, and its step's
    budget allows that one more task is away. The servers with the fewest long-running tasks come
    first, so that whole VMs become free.
    """
    chosen: dict[str, Attempt] = {}
    for server in sorted(due, key=lambda server: (len(_long_running(server)), server.id)):
        pool = server.registration.pool
        if pool in chosen:
            continue
        others = [other for other in servers if _may_receive(other, pool)]
        for attempt in _long_running(server):
            if _may_leave(attempt, others):
                chosen[pool] = attempt
                break
    return list(chosen.values())


def _long_running(server: Server) -> list[Attempt]:
    return [attempt for attempt in server.attempts.values() if attempt.task.step.long_running]


def _may_receive(server: Server, pool: str) -> bool:
    return server.registration.pool == pool and server.can_work() and not server.is_due


def _may_leave(attempt: Attempt, others: list[Server]) -> bool:
    task = attempt.task
    has_room = any(other.fits(task.step) for other in others)
    return has_room and is_at_work(task) and may_disrupt([attempt])
