"""The budget of long-running tasks that may be away at a time."""

from fireflydeck.workload.life import Attempt, AttemptPhase, Task

__all__ = ["is_at_work", "may_disrupt"]


def is_at_work(task: Task) -> bool:
    """Whether a run of the task is at full work and not being stopped."""
    return any(
        attempt.at_work and attempt.phase == AttemptPhase.RUNNING and not attempt.stop_requested
        for attempt in task.attempts.values()
    )


def may_disrupt(attempts: list[Attempt]) -> bool:
    """Whether stopping all these runs together keeps each step's budget.

    A task counts as away for any cause, from the moment at which it is not known to be at work.
    """
    stopped: dict[tuple[str, int, int], set[str]] = {}
    for attempt in attempts:
        task = attempt.task
        if task.step.max_unavailable is None:
            continue
        key = (task.key.job_id, task.key.occurrence, task.key.step)
        stopped.setdefault(key, set()).add(task.name)
    for attempt in attempts:
        task = attempt.task
        names = stopped.get((task.key.job_id, task.key.occurrence, task.key.step))
        if names and _away_beside(task, names) + len(names) > (task.step.max_unavailable or 0):
            return False
    return True


def _away_beside(task: Task, names: set[str]) -> int:
    return sum(
        other.key.step == task.key.step
        and other.key.occurrence == task.key.occurrence
        and other.name not in names
        and not is_at_work(other)
        for other in task.job.tasks.values()
    )
