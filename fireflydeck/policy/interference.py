"""Throttling of best-effort fill tasks that share a server with latency-sensitive serving tasks."""

__all__ = ["FULL_PACE", "next_pace"]

FULL_PACE = 100
"""Pace of a task that is not throttled, in percent of its full speed."""
_MAX_LATENCY_RATIO_TO_RAISE = 0.8
"""The pace is raised while the percentile latency is at most this fraction of its target."""
_RAISE_STEP_PERCENT = 10
"""Percentage points by which the pace is raised in one step."""
_MIN_PACE_PERCENT = 10
"""A pace that would be lowered below this is set to 0."""


def next_pace(pace: int, *, latency_ms: int, target_ms: int) -> int:
    """Return the next pace of fill tasks that share a server with a serving task, in percent.

    The pace is halved while the percentile latency is above its target, which takes effect within a
    second or two. It is raised in small steps, so that the latency converges to a value below the
    target.

    Parameters
    ----------
    pace
        Current pace in percent.
    latency_ms, target_ms
        Percentile latency of the serving task and its target, in milliseconds.
    """
    if latency_ms > target_ms:
        return pace // 2 if pace // 2 >= _MIN_PACE_PERCENT else 0
    if latency_ms > target_ms * _MAX_LATENCY_RATIO_TO_RAISE:
        return pace
    return min(FULL_PACE, pace + _RAISE_STEP_PERCENT)
