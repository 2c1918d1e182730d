"""Relocation of long-running tasks from VMs with pending maintenance, within their budgets."""

from collections import Counter
from collections.abc import Sequence

from fireflydeck.core.placement import Resources
from fireflydeck.scheduling.availability import is_available, may_disrupt
from fireflydeck.scheduling.servers import Server, reserved_resources
from fireflydeck.workload.lifecycle import Attempt, Task

__all__ = ["choose_relocations"]

_RELOCATION_MS = 2000
"""Time from the stop of a long-running task until it is available elsewhere; a step with a budget
of one task relocates the next one only then."""

_StepKey = tuple[str, int, int]


def choose_relocations(
    sources: Sequence[Server], servers: Sequence[Server], *, left_ms: float
) -> list[Attempt]:
    """Return the runs to stop now, at most one per pool.

    A run is stopped only if the budget of its step allows that one more task is unavailable, and a
    backend server of its pool without pending maintenance has room for it. If the step has so many
    tasks to relocate that they take all the remaining time, the room may be in use by tasks that
    end by themselves: long-running tasks are started before those. The step with the most tasks to
    relocate comes first, then the servers with the fewest long-running tasks, so that whole VMs
    become free.

    Parameters
    ----------
    sources
        Backend servers on VMs with pending maintenance.
    servers
        All backend servers.
    left_ms
        Remaining time of the maintenance wave, in milliseconds.
    """
    candidates = [(server, attempt) for server in sources for attempt in _long_running(server)]
    pending = Counter(_step_key(attempt.task) for _, attempt in candidates)
    candidates.sort(
        key=lambda item: (
            -pending[_step_key(item[1].task)],
            len(_long_running(item[0])),
            item[0].id,
        )
    )
    chosen: dict[str, Attempt] = {}
    for source, attempt in candidates:
        pool, task = source.registration.pool, attempt.task
        if pool in chosen or not (is_available(task) and may_disrupt([attempt])):
            continue
        is_urgent = pending[_step_key(task)] * _RELOCATION_MS >= left_ms
        targets = (server for server in servers if _is_target(server, pool, task))
        if any(_has_room(target, task, is_urgent=is_urgent) for target in targets):
            chosen[pool] = attempt
    return list(chosen.values())


def _step_key(task: Task) -> _StepKey:
    return task.key.job_id, task.key.occurrence, task.key.step


def _long_running(server: Server) -> list[Attempt]:
    return [attempt for attempt in server.attempts.values() if attempt.task.step.long_running]


def _is_target(server: Server, pool: str, task: Task) -> bool:
    return (
        server.registration.pool == pool
        and server.is_schedulable()
        and not server.has_pending_maintenance
        and _allows_another(server, task)
    )


def _allows_another(server: Server, task: Task) -> bool:
    """Return whether the step's limit of tasks on one server allows a further one."""
    limit = task.step.max_per_server
    if limit <= 0:
        return True
    key = _step_key(task)
    return sum(_step_key(other.task) == key for other in server.attempts.values()) < limit


def _has_room(server: Server, task: Task, *, is_urgent: bool) -> bool:
    """Return whether a task fits; an urgent one may use what short tasks still occupy."""
    if server.fits(task.step):
        return True
    if not is_urgent:
        return False
    used = sum(
        (reserved_resources(attempt.task.step) for attempt in _long_running(server)), Resources()
    )
    return (server.registration.capacity - used).covers(reserved_resources(task.step))
