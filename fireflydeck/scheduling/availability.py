"""Availability budget: how many long-running tasks of a step may be unavailable at a time."""

from fireflydeck.workload.lifecycle import Attempt, AttemptPhase, Task

__all__ = ["is_at_full_speed", "may_disrupt"]


def is_at_full_speed(task: Task) -> bool:
    """Return whether a run of a long-running task works at full speed and is not being stopped."""
    return any(
        attempt.runs_at_full_speed
        and attempt.phase == AttemptPhase.RUNNING
        and not attempt.stop_requested
        for attempt in task.attempts.values()
    )


def may_disrupt(attempts: list[Attempt]) -> bool:
    """Return whether stopping all these runs together keeps the budget of each step.

    A task counts as unavailable, for any reason, from the moment at which it is no longer known to
    run at full speed. Steps without `max_unavailable` have no budget.
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
        and not is_at_full_speed(other)
        for other in task.job.tasks.values()
    )
