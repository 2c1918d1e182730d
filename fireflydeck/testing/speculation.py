"""Builders of runs that may get a speculative copy, and of distributions of durations."""

from collections.abc import Iterable
from typing import Any

from fireflydeck.policy.speculation import RunProgress, SurvivalCurve

__all__ = ["build_curve", "build_progress"]

_TAIL = (1.6, 2.6, 3.4, 4.4, 5.6, 7.0)
_BODY_RUNS = 94


def build_curve(tail: Iterable[float] = _TAIL) -> SurvivalCurve:
    """Return a distribution whose runs are within 10% of the expected duration, and its tail."""
    body = [0.9 + 0.2 * number / _BODY_RUNS for number in range(_BODY_RUNS)]
    return SurvivalCurve.of([*body, *tail])


def build_progress(**fields: Any) -> RunProgress:
    """Return a run that has taken twice its expected duration of a second."""
    default = {"task": "task", "elapsed_ms": 2000, "expected_ms": 1000, "curve": build_curve()}
    return RunProgress(**{**default, **fields})
