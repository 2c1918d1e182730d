"""What jobs will take: learned durations, what their own tasks took, and their deadlines."""

from attrs import define, field

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.policy.durations import TaskDurations
from fireflydeck.policy.job_order import longest_chain_ms, objective_ms
from fireflydeck.workload.life import Attempt, Job, Task, occurrence_due_ms

__all__ = ["StepKey", "WorkEstimates"]

StepKey = tuple[int, int]
"""Occurrence and number of a step."""

_RUNNING_SHARE = 0.5
"""Part of its time that a running task still takes, on average."""


@define(eq=False)
class WorkEstimates:
    """Expected durations by step, for all open jobs."""

    _durations: TaskDurations = field(factory=TaskDurations, init=False)
    _measured_ms: dict[str, dict[StepKey, float]] = field(factory=dict, init=False)

    def note_done(self, attempt: Attempt, now_ms: int) -> None:
        """Take over how long a run took that ended `done`."""
        task = attempt.task
        step = task.step
        if step.long_running or step.gang or (step.checkpointing and task.checkpoint):
            return
        took_ms = float(max(1, now_ms - attempt.changed_ms))
        measured = self._measured_ms.setdefault(task.job.id, {})
        key = (task.key.occurrence, task.key.step)
        if key not in measured:
            measured[key] = took_ms
            self._durations.note(
                task.job.spec.queue, estimated_ms=step.estimated_ms, actual_ms=took_ms
            )
            return
        measured[key] = (measured[key] + took_ms) / 2

    def forget(self, job: Job) -> None:
        """Forget what was measured of a job."""
        self._measured_ms.pop(job.id, None)

    def task_ms(self, task: Task) -> float:
        """Return what a run of the task takes from its start."""
        return self._step_ms(task.job, task.key.occurrence, task.key.step)

    def deadline_ms(self, job: Job, queue: JobQueue) -> float:
        """Return when the job, or its first occurrence that is not done, should be completed."""
        occurrence = _first_open_occurrence(job)
        durations = [
            self._step_ms(job, occurrence, number) for number in range(len(job.spec.steps))
        ]
        chain_ms = longest_chain_ms(job.spec.steps, durations)
        return occurrence_due_ms(job, occurrence) + objective_ms(chain_ms, queue)

    def remaining_ms(self, job: Job) -> float:
        """Return what the first occurrence that is not done takes if its tasks start at once."""
        occurrence = _first_open_occurrence(job)
        durations = [
            self._step_ms(job, occurrence, number) * _open_share(job, occurrence, number)
            for number in range(len(job.spec.steps))
        ]
        return longest_chain_ms(job.spec.steps, durations)

    def _step_ms(self, job: Job, occurrence: int, number: int) -> float:
        measured = self._measured_ms.get(job.id, {}).get((occurrence, number))
        if measured is not None:
            return measured
        estimated_ms = job.spec.steps[number].estimated_ms
        return self._durations.expected_ms(job.spec.queue, estimated_ms)


def _first_open_occurrence(job: Job) -> int:
    open_occurrences = (key[0] for key, count in job.open_tasks.items() if count > 0)
    return min(open_occurrences, default=max(0, job.created_occurrences - 1))


def _open_share(job: Job, occurrence: int, number: int) -> float:
    """Return which part of a step's time is still to come."""
    open_count = job.open_tasks.get((occurrence, number), 0)
    if open_count == 0:
        return 0.0
    running = 0
    for index in range(job.spec.steps[number].count):
        task = job.tasks.get(f"{job.id}.{occurrence}.{number}.{index}")
        running += task is not None and bool(task.attempts) and not task.done
    return _RUNNING_SHARE if running >= open_count else 1.0
