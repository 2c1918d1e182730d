"""Expected durations and deadlines of jobs, from estimates and measured durations of tasks."""

from attrs import define, field

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.policy.durations import TaskDurations
from fireflydeck.policy.job_order import longest_chain_ms, objective_ms
from fireflydeck.workload.lifecycle import Attempt, Job, Task, occurrence_due_ms

__all__ = ["StepKey", "WorkEstimates"]

StepKey = tuple[int, int]
"""Number of the occurrence and number of the step."""

_RUNNING_REMAINING_FRACTION = 0.5
"""Part of the duration of a running task that is left on average."""


@define(eq=False)
class WorkEstimates:
    """Expected durations by step, for all open jobs.

    Measured durations of a step's own tasks take precedence over those learned for its queue.
    """

    _durations: TaskDurations = field(factory=TaskDurations, init=False)
    _measured_ms: dict[str, dict[StepKey, float]] = field(factory=dict, init=False)

    def record_completion(self, attempt: Attempt, now_ms: int) -> None:
        """Record the duration of a run that ended `done`.

        Steps that are long-running or gangs, and tasks that resumed from a checkpoint, are
        ignored. Only the first duration of a step is learned for its queue.
        """
        task = attempt.task
        step = task.step
        if step.long_running or step.gang or (step.checkpointing and task.checkpoint):
            return
        took_ms = float(max(1, now_ms - attempt.changed_ms))
        measured_ms = self._measured_ms.setdefault(task.job.id, {})
        key = (task.key.occurrence, task.key.step)
        if key not in measured_ms:
            measured_ms[key] = took_ms
            self._durations.record(
                task.job.spec.queue, estimated_ms=step.estimated_ms, actual_ms=took_ms
            )
            return
        measured_ms[key] = (measured_ms[key] + took_ms) / 2

    def forget(self, job: Job) -> None:
        """Remove the measured durations of a job."""
        self._measured_ms.pop(job.id, None)

    def task_ms(self, task: Task) -> float:
        """Return the expected duration of a run of the task, from its start."""
        return self.step_ms(task.job, task.key.occurrence, task.key.step)

    def queue_task_ms(self, task: Task) -> float:
        """Return the expected duration of a run from its estimate and the queue's durations."""
        return self._durations.expected_ms(task.job.spec.queue, task.step.estimated_ms)

    def step_ms(self, job: Job, occurrence: int, number: int) -> float:
        """Return the expected duration of a run of a step's tasks, in milliseconds."""
        measured_ms = self._measured_ms.get(job.id, {}).get((occurrence, number))
        if measured_ms is not None:
            return measured_ms
        estimated_ms = job.spec.steps[number].estimated_ms
        return self._durations.expected_ms(job.spec.queue, estimated_ms)

    def spread(self, task: Task) -> float:
        """Return the standard deviation of the logarithm of a run's duration.

        It is that of the queue also for steps whose durations are known, since single tasks of a
        step last several times as long as the others.
        """
        return self._durations.spread(task.job.spec.queue)

    def deadline_ms(self, job: Job, queue: JobQueue) -> float:
        """Return the time at which the first open occurrence of the job should be completed."""
        due_ms = occurrence_due_ms(job, _first_open_occurrence(job))
        return due_ms + self.objective_ms(job, queue)

    def objective_ms(self, job: Job, queue: JobQueue) -> float:
        """Return the time within which an occurrence of the job should be completed."""
        occurrence = _first_open_occurrence(job)
        durations = [self.step_ms(job, occurrence, number) for number in range(len(job.spec.steps))]
        return objective_ms(longest_chain_ms(job.spec.steps, durations), queue)

    def remaining_ms(self, job: Job) -> float:
        """Return the time until the first open occurrence is done if its tasks start now."""
        occurrence = _first_open_occurrence(job)
        durations = [
            self.step_ms(job, occurrence, number) * _remaining_fraction(job, occurrence, number)
            for number in range(len(job.spec.steps))
        ]
        return longest_chain_ms(job.spec.steps, durations)


def _first_open_occurrence(job: Job) -> int:
    open_occurrences = (key[0] for key, count in job.open_tasks.items() if count > 0)
    return min(open_occurrences, default=max(0, job.created_occurrences - 1))


def _remaining_fraction(job: Job, occurrence: int, number: int) -> float:
    """Return the part of the duration of a step that is left."""
    open_count = job.open_tasks.get((occurrence, number), 0)
    if open_count == 0:
        return 0.0
    running = 0
    for index in range(job.spec.steps[number].count):
        task = job.tasks.get(f"{job.id}.{occurrence}.{number}.{index}")
        running += task is not None and bool(task.attempts) and not task.done
    return _RUNNING_REMAINING_FRACTION if running >= open_count else 1.0
