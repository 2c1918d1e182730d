"""Decision which runs get a speculative copy, from the learned spread of durations."""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Sequence
from functools import cached_property
from operator import neg

from attrs import Factory, define, frozen

__all__ = [
    "CopyDecision",
    "CopyRecord",
    "DurationSpread",
    "RunProgress",
    "SurvivalCurve",
    "choose_copies",
    "copy_budget",
]

_BUDGET_FRACTION = 0.1
"""Part of the running tasks of a pool that may have a copy.

3% of the tasks are about 12% of those that run if they last 4.5 times as long as the others.
"""
_MIN_ENDS = 8
"""Minimum number of ended runs before a spread of durations is used."""
_MIN_LONGER_ENDS = 3
"""Minimum number of longer runs from which the remaining time of a run is estimated."""
_STRAGGLER_QUANTILE = 0.9
_MIN_STRAGGLER_RATIO = 1.3
"""Lower bound of the ratio at which a run is a straggler, if all durations are nearly equal."""
_UNKNOWN_STRAGGLER_RATIO = 2.2
"""Ratio used until a spread is known; the largest error of callers' estimates."""
_MIN_GAIN = 1.2
"""Factor by which the remaining time of a run must exceed the duration of a copy."""
_MAX_OBSERVATIONS = 512
_MIN_ENDED_COPIES = 10
"""Copies of a queue after which their results decide whether there are more."""
_MIN_WON_FRACTION = 0.2


@frozen
class SurvivalCurve:
    """Kaplan-Meier estimate of the distribution of a ratio, from ended and unfinished runs.

    A run that has not ended counts as longer than it has run so far. Leaving such runs out would
    make durations look shorter than they are, since short runs end first.

    Parameters
    ----------
    ends
        Ratios of the ended runs, in ascending order.
    survival
        For each of `ends`, the estimated part of the runs that last longer.
    areas
        For each of `ends`, the integral of the survival from there on.
    """

    ends: tuple[float, ...]
    survival: tuple[float, ...]
    areas: tuple[float, ...]

    @classmethod
    def of(cls, ended: Iterable[float], unfinished: Iterable[float] = ()) -> "SurvivalCurve":
        """Return the estimate from ratios of ended runs, and of others as far as they have run."""
        ends, open_ratios = sorted(ended), sorted(unfinished)
        alive = 1.0
        survival: list[float] = []
        for position, ratio in enumerate(ends):
            longer_open = len(open_ratios) - bisect_left(open_ratios, ratio)
            at_risk = len(ends) - position + longer_open
            alive *= 1 - 1 / at_risk
            survival.append(alive)
        areas = [0.0] * len(ends)
        if ends and alive > 0:
            # The runs that last longer than any that ended exceed the usual ratio by as much again.
            median = ends[bisect_left(survival, -0.5, key=neg)] if alive <= 0.5 else ends[-1]
            areas[-1] = alive * (ends[-1] - median)
        for position in range(len(ends) - 2, -1, -1):
            width = ends[position + 1] - ends[position]
            areas[position] = areas[position + 1] + survival[position] * width
        return cls(tuple(ends), tuple(survival), tuple(areas))

    @cached_property
    def median(self) -> float:
        """Return the usual ratio: the median, or 1 until enough runs have ended."""
        median = self.quantile(0.5) if len(self.ends) >= _MIN_ENDS else None
        return 1.0 if median is None else median

    @cached_property
    def straggler_ratio(self) -> float:
        """Return the ratio from which a run counts as a straggler."""
        quantile = self.quantile(_STRAGGLER_QUANTILE) if len(self.ends) >= _MIN_ENDS else None
        if quantile is None:
            return _UNKNOWN_STRAGGLER_RATIO * self.median
        return max(_MIN_STRAGGLER_RATIO * self.median, quantile)

    def quantile(self, fraction: float) -> float | None:
        """Return the ratio up to which a fraction of the runs end; `None` if too few have ended."""
        position = bisect_left(self.survival, fraction - 1, key=neg)
        return self.ends[position] if position < len(self.ends) else None

    def remaining(self, ratio: float) -> float | None:
        """Return the mean remaining time of a run that has reached a ratio, as a ratio.

        Returns `None` if too few longer runs are known.
        """
        first = bisect_right(self.ends, ratio)
        if len(self.ends) - first < _MIN_LONGER_ENDS:
            return None
        alive = self.survival[first - 1] if first else 1.0
        return self.ends[first] - ratio + self.areas[first] / alive


@define(eq=False)
class DurationSpread:
    """Latest durations of the runs of a queue, relative to what was expected of each.

    Parameters
    ----------
    ended
        Ratios of runs that ended `done`.
    unfinished
        Ratios up to which runs were observed that were stopped or lost.
    """

    ended: deque[float] = Factory(lambda: deque(maxlen=_MAX_OBSERVATIONS))
    unfinished: deque[float] = Factory(lambda: deque(maxlen=_MAX_OBSERVATIONS))

    def curve(self, running: Iterable[float] = ()) -> SurvivalCurve:
        """Return the distribution, also from the ratios that running runs have reached."""
        return SurvivalCurve.of(self.ended, [*self.unfinished, *running])


@frozen(kw_only=True)
class RunProgress:
    """A task's only run, which may get a copy.

    Parameters
    ----------
    task
        Name of the task.
    elapsed_ms
        Time that the run has taken, at least.
    expected_ms
        Duration that was expected of it.
    curve
        Distribution of durations relative to the expected ones.
    """

    task: str
    elapsed_ms: float
    expected_ms: float
    curve: SurvivalCurve

    @property
    def straggler_ms(self) -> float:
        """Return the duration from which the run counts as a straggler."""
        return self.expected_ms * self.curve.straggler_ratio


@frozen(kw_only=True)
class CopyDecision:
    """A run that should get a copy, with the figures that decided so.

    Parameters
    ----------
    remaining_ms
        Expected time until the run ends.
    copy_ms
        Expected duration of a copy.
    """

    run: RunProgress
    remaining_ms: float
    copy_ms: float


@define
class CopyRecord:
    """Copies of a queue's tasks so far, by how they ended.

    Parameters
    ----------
    won
        Copies that ended `done` before the first run.
    lost
        Copies that were stopped because the first run ended `done`.
    """

    won: int = 0
    lost: int = 0

    @property
    def is_promising(self) -> bool:
        """Return whether further copies may gain time.

        Where the slow tasks have more work, and not a slow server, their copies are as slow.
        """
        ended = self.won + self.lost
        return ended < _MIN_ENDED_COPIES or self.won >= ended * _MIN_WON_FRACTION


def copy_budget(running_tasks: int) -> int:
    """Return how many tasks of a pool may have a copy at a time."""
    return max(1, int(running_tasks * _BUDGET_FRACTION))


def choose_copies(runs: Sequence[RunProgress]) -> list[CopyDecision]:
    """Return the stragglers whose copies are expected to end first, the largest gain first."""
    decisions = [decision for run in runs if (decision := _decide(run)) is not None]
    decisions.sort(key=lambda item: (item.copy_ms - item.remaining_ms, item.run.task))
    return decisions


def _decide(run: RunProgress) -> CopyDecision | None:
    if run.expected_ms <= 0 or run.elapsed_ms < run.straggler_ms:
        return None
    ratio = run.elapsed_ms / run.expected_ms
    remaining = run.curve.remaining(ratio)
    if remaining is None:
        # Too few longer runs are known: it is taken to exceed the usual duration by as much again.
        remaining = ratio - run.curve.median
    if remaining < _MIN_GAIN * run.curve.median:
        return None
    return CopyDecision(
        run=run,
        remaining_ms=remaining * run.expected_ms,
        copy_ms=run.curve.median * run.expected_ms,
    )
