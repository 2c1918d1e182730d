"""Durations of the runs of steps with speculative copies, and what was expected of them."""

from collections import defaultdict

from attrs import Factory, define, field

from fireflydeck.policy.speculation import DurationSpread, SurvivalCurve
from fireflydeck.scheduling.work_estimates import StepKey, WorkEstimates
from fireflydeck.workload.lifecycle import Attempt, Job, Task

__all__ = ["RunDurations"]

_MIN_STEP_ENDS = 3
"""Minimum number of ended runs of a step before its own durations are used."""
_MAX_STEP_TASKS = 200
"""Number of tasks of a step, the first ones, whose durations are kept to bound the cost."""


@define(eq=False)
class _StepDurations:
    """Durations of runs of a step that ended `done`, and of those that were stopped or lost.

    Parameters
    ----------
    median_ms
        Median duration as last computed; `None` before enough runs have ended.
    """

    ended_ms: list[float] = Factory(list)
    cut_off_ms: list[float] = Factory(list)
    median_ms: float | None = None

    def update_median(self, running_ms: list[float]) -> None:
        """Compute the median; runs in progress last longer than they have so far."""
        if len(self.ended_ms) >= _MIN_STEP_ENDS:
            curve = SurvivalCurve.of(self.ended_ms, [*self.cut_off_ms, *running_ms])
            self.median_ms = curve.quantile(0.5) or self.median_ms


@define(eq=False)
class RunDurations:
    """Durations of runs, compared with those of the same step and with those of the queue.

    The durations of a step's runs are learned together when its job is closed. Learning each at its
    end would compare short runs with an estimate and only the longer ones with the step's median.
    Runs that resumed from a checkpoint are left out, and so is the duration of a run that an
    earlier holder started, since its start is not known.
    """

    estimates: WorkEstimates
    _expected_ms: dict[tuple[str, int], float] = field(factory=dict, init=False)
    _steps: dict[str, dict[StepKey, _StepDurations]] = field(factory=dict, init=False)
    _queue_spreads: dict[str, DurationSpread] = field(
        factory=lambda: defaultdict(DurationSpread), init=False
    )
    _step_spreads: dict[str, DurationSpread] = field(
        factory=lambda: defaultdict(DurationSpread), init=False
    )

    def begin(self, attempt: Attempt) -> None:
        """Record what the durations of its queue say about a run."""
        expected_ms = self.estimates.queue_task_ms(attempt.task)
        self._expected_ms[attempt.task.name, attempt.run] = expected_ms

    def complete(self, attempt: Attempt, now_ms: int) -> None:
        """Record the duration of a run that ended `done`."""
        expected_ms = self._expected_ms.pop((attempt.task.name, attempt.run), None)
        if expected_ms is None or attempt.is_resumed or attempt.started_ms is None:
            return
        took_ms = float(max(1, now_ms - attempt.started_ms))
        if expected_ms > 0:
            spread = self._queue_spreads[attempt.task.job.spec.queue]
            spread.ended.append(took_ms / expected_ms)
        if attempt.task.key.index < _MAX_STEP_TASKS:
            self._step(attempt.task).ended_ms.append(took_ms)

    def cut_off(self, attempt: Attempt, now_ms: int) -> bool:
        """Record a run that was stopped or lost; return whether its duration was not known yet."""
        expected_ms = self._expected_ms.pop((attempt.task.name, attempt.run), None)
        if expected_ms is None:
            return False
        elapsed_ms = float(attempt.min_elapsed_ms(now_ms))
        if attempt.is_resumed:
            return True
        if expected_ms > 0:
            spread = self._queue_spreads[attempt.task.job.spec.queue]
            spread.unfinished.append(elapsed_ms / expected_ms)
        if attempt.task.key.index < _MAX_STEP_TASKS:
            self._step(attempt.task).cut_off_ms.append(elapsed_ms)
        return True

    def forget(self, job: Job) -> None:
        """Learn the durations of a closed job's steps for its queue, and remove them."""
        for step in self._steps.pop(job.id, {}).values():
            step.update_median([])
            if step.median_ms:
                spread = self._step_spreads[job.spec.queue]
                spread.ended.extend(ms / step.median_ms for ms in step.ended_ms)
                spread.unfinished.extend(ms / step.median_ms for ms in step.cut_off_ms)

    def expected_ms(self, attempt: Attempt) -> tuple[float, bool]:
        """Return the expected duration of a run, and whether its own step's durations tell it.

        Until `curves` has seen enough ends of the step, it is what the queue's durations say.
        """
        key = attempt.task.key
        step = self._steps.get(key.job_id, {}).get((key.occurrence, key.step))
        if step is not None and step.median_ms is not None:
            return step.median_ms, True
        return self._expected_ms.get((attempt.task.name, attempt.run), 0.0), False

    def curves(self, tasks: list[Task], now_ms: int) -> dict[tuple[str, bool], SurvivalCurve]:
        """Return the distributions of durations relative to the expected ones.

        They are by queue, and by whether the step's own durations tell what is expected.

        Parameters
        ----------
        tasks
            Tasks with runs, which last longer than so far.
        """
        running_ratios: dict[str, list[float]] = defaultdict(list)
        running_ms: dict[tuple[str, StepKey], list[float]] = defaultdict(list)
        for task in tasks:
            key, ratios = task.key, running_ratios[task.job.spec.queue]
            for attempt in task.attempts.values():
                expected_ms = self._expected_ms.get((task.name, attempt.run), 0.0)
                elapsed_ms = attempt.min_elapsed_ms(now_ms)
                if attempt.is_resumed:
                    continue
                if expected_ms > 0:
                    ratios.append(elapsed_ms / expected_ms)
                if key.index < _MAX_STEP_TASKS:
                    running_ms[key.job_id, (key.occurrence, key.step)].append(elapsed_ms)
        for (job_id, step), elapsed in running_ms.items():
            durations = self._steps.get(job_id, {}).get(step)
            if durations is not None:
                durations.update_median(elapsed)
        curves: dict[tuple[str, bool], SurvivalCurve] = {}
        for queue, ratios in running_ratios.items():
            curves[queue, False] = self._queue_spreads[queue].curve(ratios)
            curves[queue, True] = self._step_spreads[queue].curve()
        return curves

    def _step(self, task: Task) -> _StepDurations:
        steps = self._steps.setdefault(task.job.id, {})
        return steps.setdefault((task.key.occurrence, task.key.step), _StepDurations())
