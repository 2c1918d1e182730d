"""Durations of the runs of steps with speculative copies, and what was expected of them."""

from collections import defaultdict

from attrs import Factory, define, field, frozen

from fireflydeck.policy.speculation import DurationSpread, RunProgress, SurvivalCurve
from fireflydeck.scheduling.work_estimates import StepKey, WorkEstimates
from fireflydeck.workload.lifecycle import Attempt, Job, Task
from fireflydeck.workload.specification import TaskKey

__all__ = ["RunDurations"]

_CURVE_MAX_AGE_MS = 500
"""Time for which a distribution is used; the runs in progress are read again after it."""
_MIN_STEP_ENDS = 3
"""Minimum number of ended runs of a step before its own durations are used."""
_STEP_GROWTH = 1.25
"""Growth of the number of ended runs of a step at which its median is computed again."""
_MAX_STEP_TASKS = 200
"""Number of tasks of a step, the first ones, whose durations are kept to bound the cost."""

_RunKey = tuple[str, int]
"""Name of the task and number of the run."""


@frozen
class _Running:
    """Run in progress, and the duration that its queue's durations let expect."""

    attempt: Attempt
    expected_ms: float


@define(eq=False)
class _StepDurations:
    """Durations of runs of a step that ended `done`, and of those that were stopped or lost.

    Parameters
    ----------
    median_ms
        Median duration as last computed; `None` before enough runs have ended.
    median_ends
        Number of ended runs when it was computed.
    """

    ended_ms: list[float] = Factory(list)
    cut_off_ms: list[float] = Factory(list)
    median_ms: float | None = None
    median_ends: int = 0

    @property
    def is_median_due(self) -> bool:
        """Return whether enough runs have ended to compute the median, or compute it again."""
        return len(self.ended_ms) >= max(_MIN_STEP_ENDS, self.median_ends * _STEP_GROWTH)

    def update_median(self, running_ms: list[float]) -> None:
        """Compute the median; runs in progress last longer than they have so far."""
        curve = SurvivalCurve.of(self.ended_ms, [*self.cut_off_ms, *running_ms])
        self.median_ms = curve.quantile(0.5) or self.median_ms
        self.median_ends = len(self.ended_ms)


@define(eq=False)
class _QueueDurations:
    """What is known of a queue.

    Parameters
    ----------
    running
        Runs in progress.
    spread
        Durations relative to those expected from estimates and the queue's durations.
    step_spread
        Durations relative to the medians of their steps.
    curve, curve_ms
        Distribution of `spread` and `running`, and when it was computed.
    step_curve
        Distribution of `step_spread`; `None` if it has changed.
    """

    running: dict[_RunKey, _Running] = Factory(dict)
    spread: DurationSpread = Factory(DurationSpread)
    step_spread: DurationSpread = Factory(DurationSpread)
    curve: SurvivalCurve | None = None
    curve_ms: int = 0
    step_curve: SurvivalCurve | None = None


@define(eq=False)
class RunDurations:
    """Durations of runs, compared with those of the same step and with those of the queue.

    The durations of a step's runs are learned together when its job is closed. Learning each at its
    end would compare short runs with an estimate and only the longer ones with the step's median.
    Runs that resumed from a checkpoint are left out, and so is the duration of a run that an
    earlier holder started, since its start is not known.
    """

    estimates: WorkEstimates
    _queues: dict[str, _QueueDurations] = field(
        factory=lambda: defaultdict(_QueueDurations), init=False
    )
    _steps: dict[str, dict[StepKey, _StepDurations]] = field(factory=dict, init=False)

    def begin(self, attempt: Attempt) -> None:
        """Record a run that is about to start or was adopted."""
        expected_ms = self.estimates.queue_task_ms(attempt.task)
        running = self._queues[attempt.task.job.spec.queue].running
        running[attempt.task.name, attempt.run] = _Running(attempt, expected_ms)

    def complete(self, attempt: Attempt, now_ms: int) -> None:
        """Record the duration of a run that ended `done`."""
        queue = self._queues[attempt.task.job.spec.queue]
        known = queue.running.pop((attempt.task.name, attempt.run), None)
        if known is None or attempt.is_resumed or attempt.started_ms is None:
            return
        took_ms = float(max(1, now_ms - attempt.started_ms))
        if known.expected_ms > 0:
            queue.spread.ended.append(took_ms / known.expected_ms)
        if attempt.task.key.index < _MAX_STEP_TASKS:
            self._step(attempt.task).ended_ms.append(took_ms)

    def cut_off(self, attempt: Attempt, now_ms: int) -> bool:
        """Record a run that was stopped or lost; return whether its duration was not known yet."""
        queue = self._queues[attempt.task.job.spec.queue]
        known = queue.running.pop((attempt.task.name, attempt.run), None)
        if known is None:
            return False
        if not attempt.is_resumed:
            elapsed_ms = float(attempt.min_elapsed_ms(now_ms))
            if known.expected_ms > 0:
                queue.spread.unfinished.append(elapsed_ms / known.expected_ms)
            if attempt.task.key.index < _MAX_STEP_TASKS:
                self._step(attempt.task).cut_off_ms.append(elapsed_ms)
        return True

    def forget(self, job: Job) -> None:
        """Learn the durations of a closed job's steps for its queue, and remove them."""
        for step in self._steps.pop(job.id, {}).values():
            if len(step.ended_ms) >= _MIN_STEP_ENDS:
                step.update_median([])
            if step.median_ms:
                queue = self._queues[job.spec.queue]
                queue.step_spread.ended.extend(ms / step.median_ms for ms in step.ended_ms)
                queue.step_spread.unfinished.extend(ms / step.median_ms for ms in step.cut_off_ms)
                queue.step_curve = None

    def progress(self, attempt: Attempt, now_ms: int) -> RunProgress:
        """Return how long a run has taken, and what is expected of it.

        The durations of its own step are used once enough of its runs have ended.
        """
        task = attempt.task
        queue = self._queues[task.job.spec.queue]
        step = self._steps.get(task.job.id, {}).get((task.key.occurrence, task.key.step))
        if step is not None and step.is_median_due:
            step.update_median(_running_of_step(task, now_ms))
        if step is not None and step.median_ms:
            expected_ms = step.median_ms
            if queue.step_curve is None:
                queue.step_curve = queue.step_spread.curve()
            curve = queue.step_curve
        else:
            known = queue.running.get((task.name, attempt.run))
            expected_ms = known.expected_ms if known else 0.0
            curve = _queue_curve(queue, now_ms)
        return RunProgress(
            task=task.name,
            elapsed_ms=attempt.min_elapsed_ms(now_ms),
            expected_ms=expected_ms,
            curve=curve,
        )

    def _step(self, task: Task) -> _StepDurations:
        steps = self._steps.setdefault(task.job.id, {})
        return steps.setdefault((task.key.occurrence, task.key.step), _StepDurations())


def _queue_curve(queue: _QueueDurations, now_ms: int) -> SurvivalCurve:
    if queue.curve is None or now_ms - queue.curve_ms >= _CURVE_MAX_AGE_MS:
        queue.curve_ms = now_ms
        queue.curve = queue.spread.curve(
            running.attempt.min_elapsed_ms(now_ms) / running.expected_ms
            for running in queue.running.values()
            if running.expected_ms > 0 and not running.attempt.is_resumed
        )
    return queue.curve


def _running_of_step(task: Task, now_ms: int) -> list[float]:
    """Return how long the runs in progress of a task's step have taken, in milliseconds."""
    key, job = task.key, task.job
    elapsed_ms: list[float] = []
    for index in range(min(task.step.count, _MAX_STEP_TASKS)):
        other = job.tasks[str(TaskKey(job.id, key.occurrence, key.step, index))]
        elapsed_ms.extend(
            attempt.min_elapsed_ms(now_ms)
            for attempt in other.attempts.values()
            if not attempt.is_resumed
        )
    return elapsed_ms
