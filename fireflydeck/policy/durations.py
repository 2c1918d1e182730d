"""Expected task durations, learned from ended tasks since callers' estimates are inaccurate."""

from math import exp, log, sqrt

from attrs import define

__all__ = ["TaskDurations"]

_MIN_STEPS = 8
"""Minimum number of recorded steps before the durations of a queue are used."""
_MIN_DURATION_MS = 1.0
"""Lower bound of a duration before its logarithm is taken."""
_MIN_SPREAD = 0.15
"""Least spread: also tasks whose estimates were exact so far may take longer."""
_UNLEARNED_SPREAD = 0.4
"""Spread of durations around estimates that are off by a factor of 0.6 to 2.2."""


@define
class _Moments:
    """Running mean and variance of a series of values."""

    count: int = 0
    mean: float = 0.0
    _squared_deviations: float = 0.0

    @property
    def variance(self) -> float:
        return self._squared_deviations / self.count if self.count else 0.0

    def add(self, value: float) -> None:
        self.count += 1
        delta = value - self.mean
        self.mean += delta / self.count
        self._squared_deviations += delta * (value - self.mean)


class TaskDurations:
    """Expected task durations by queue, from the callers' estimates and their errors so far.

    The logarithm of an estimate is treated as the logarithm of the duration plus an error. The
    expected duration lies between the estimate, corrected by the mean error, and the mean duration
    of the queue. The estimate's weight is the variance of the durations divided by the sum of the
    variances of durations and errors.
    """

    def __init__(self) -> None:
        self._durations: dict[str, _Moments] = {}
        self._errors: dict[str, _Moments] = {}

    def record(self, queue: str, *, estimated_ms: float, actual_ms: float) -> None:
        """Record the estimated and the actual duration of the task of a step that ended first."""
        if estimated_ms <= 0:
            return
        actual = log(max(_MIN_DURATION_MS, actual_ms))
        self._durations.setdefault(queue, _Moments()).add(actual)
        error = log(max(_MIN_DURATION_MS, estimated_ms)) - actual
        self._errors.setdefault(queue, _Moments()).add(error)

    def expected_ms(self, queue: str, estimated_ms: float) -> float:
        """Return the expected duration of a task, in milliseconds.

        It is meant for a task whose step has no ended task yet.
        """
        durations, errors = self._durations.get(queue), self._errors.get(queue)
        if durations is None or errors is None or durations.count < _MIN_STEPS:
            return estimated_ms
        if estimated_ms <= 0:
            return exp(durations.mean)
        variance = durations.variance + errors.variance
        weight = durations.variance / variance if variance > 0 else 1.0
        corrected = log(max(_MIN_DURATION_MS, estimated_ms)) - errors.mean
        return exp(weight * corrected + (1 - weight) * durations.mean)

    def spread(self, queue: str) -> float:
        """Return the standard deviation of the logarithm of a duration from the expected one."""
        durations, errors = self._durations.get(queue), self._errors.get(queue)
        if durations is None or errors is None or durations.count < _MIN_STEPS:
            return _UNLEARNED_SPREAD
        variance = durations.variance + errors.variance
        if variance <= 0:
            return _MIN_SPREAD
        return max(_MIN_SPREAD, sqrt(durations.variance * errors.variance / variance))
