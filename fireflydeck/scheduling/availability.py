"""Availability budget: how many long-running tasks of a step may be unavailable at a time."""

from collections.abc import Iterable

from fireflydeck.workload.lifecycle import Attempt, AttemptPhase, Task

__all__ = ["has_task_starting_up", "is_available", "may_disrupt"]


def is_available(task: Task) -> bool:
    """Return whether a long-running task is available.

    It is if one of its runs is running, was last reported as available and is not being stopped.
    """
    return any(
        attempt.reported_available
        and attempt.phase == AttemptPhase.RUNNING
        and not attempt.stop_requested
        for attempt in task.attempts.values()
    )


def has_task_starting_up(attempts: Iterable[Attempt]) -> bool:
    """Return whether a task of a step with an availability budget runs and is not available yet."""
    return any(
        attempt.task.step.max_unavailable is not None
        and attempt.task.step.long_running
        and attempt.phase == AttemptPhase.RUNNING
        and not attempt.reported_available
        and not attempt.stop_requested
        for attempt in attempts
    )


def may_disrupt(attempts: list[Attempt]) -> bool:
    """Return whether stopping all these runs together keeps the budget of each step.

    A task counts as unavailable, for any reason, whenever it is not known to be available: also
    while it is starting up, and from the moment at which its stop is requested. Steps without
    `max_unavailable` have no budget.
    """
    names_by_step: dict[tuple[str, int, int], set[str]] = {}
    for attempt in attempts:
        task = attempt.task
        if task.step.max_unavailable is None:
            continue
        key = (task.key.job_id, task.key.occurrence, task.key.step)
        names_by_step.setdefault(key, set()).add(task.name)
    for attempt in attempts:
        task = attempt.task
        names = names_by_step.get((task.key.job_id, task.key.occurrence, task.key.step))
        if names and _count_unavailable_others(task, names) + len(names) > (
            task.step.max_unavailable or 0
        ):
            return False
    return True


def _count_unavailable_others(task: Task, names: set[str]) -> int:
    return sum(
        other.key.step == task.key.step
        and other.key.occurrence == task.key.occurrence
        and other.name not in names
        and not is_available(other)
        for other in task.job.tasks.values()
    )
