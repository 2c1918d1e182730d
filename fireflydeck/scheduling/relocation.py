"""Relocation of long-running tasks from VMs with pending maintenance, one at a time."""

from collections.abc import Sequence

from fireflydeck.scheduling.availability import is_available, may_disrupt
from fireflydeck.scheduling.servers import Server
from fireflydeck.workload.lifecycle import Attempt

__all__ = ["choose_relocations"]


def choose_relocations(sources: Sequence[Server], servers: Sequence[Server]) -> list[Attempt]:
    """Return the runs to stop now, at most one per pool.

    A run is stopped only if a backend server of its pool without pending maintenance has room for
    it, and the budget of its step allows that one more task is unavailable. The servers with the
    fewest long-running tasks come first, so that whole VMs become free.

    Parameters
    ----------
    sources
        Backend servers on VMs with pending maintenance.
    servers
        All backend servers.
    """
    chosen: dict[str, Attempt] = {}
    for server in sorted(sources, key=lambda server: (len(_long_running(server)), server.id)):
        pool = server.registration.pool
        if pool in chosen:
            continue
        targets = [target for target in servers if _is_target(target, pool)]
        for attempt in _long_running(server):
            if _may_relocate(attempt, targets):
                chosen[pool] = attempt
                break
    return list(chosen.values())


def _long_running(server: Server) -> list[Attempt]:
    return [attempt for attempt in server.attempts.values() if attempt.task.step.long_running]


def _is_target(server: Server, pool: str) -> bool:
    return (
        server.registration.pool == pool
        and server.is_schedulable()
        and not server.has_pending_maintenance
    )


def _may_relocate(attempt: Attempt, targets: list[Server]) -> bool:
    task = attempt.task
    has_room = any(target.fits(task.step) for target in targets)
    return has_room and is_available(task) and may_disrupt([attempt])
