"""Durations of tasks, learned from those that ended, since callers' estimates are rough."""

from math import exp, log

from attrs import define

__all__ = ["TaskDurations"]

_LEAST_STEPS = 8
"""Steps of a queue that must have ended before its own durations count."""
_LEAST_MS = 1.0


@define
class _Moments:
    """Mean and variance of a series, updated one value at a time."""

    count: int = 0
    mean: float = 0.0
    _squares: float = 0.0

    @property
    def variance(self) -> float:
        return self._squares / self.count if self.count else 0.0

    def add(self, value: float) -> None:
        self.count += 1
        delta = value - self.mean
        self.mean += delta / self.count
        self._squares += delta * (value - self.mean)


class TaskDurations:
    """What a queue's tasks take, from the callers' estimates and from how these compared so far.

    The logarithm of an estimate is taken as that of the duration with an error; what is expected
    lies between the estimate and the queue's mean, by how the variances of both compare.
    """

    def __init__(self) -> None:
        self._durations: dict[str, _Moments] = {}
        self._errors: dict[str, _Moments] = {}

    def note(self, queue: str, *, estimated_ms: float, actual_ms: float) -> None:
        """Take over the duration of a step's first task."""
        if estimated_ms <= 0:
            return
        actual = log(max(_LEAST_MS, actual_ms))
        self._durations.setdefault(queue, _Moments()).add(actual)
        error = log(max(_LEAST_MS, estimated_ms)) - actual
        self._errors.setdefault(queue, _Moments()).add(error)

    def expected_ms(self, queue: str, estimated_ms: float) -> float:
        """Return the expected duration of a task for which nothing of its step is known yet."""
        durations, errors = self._durations.get(queue), self._errors.get(queue)
        if durations is None or errors is None or durations.count < _LEAST_STEPS:
            return estimated_ms
        if estimated_ms <= 0:
            return exp(durations.mean)
        variance = durations.variance + errors.variance
        trust = durations.variance / variance if variance > 0 else 1.0
        corrected = log(max(_LEAST_MS, estimated_ms)) - errors.mean
        return exp(trust * corrected + (1 - trust) * durations.mean)
