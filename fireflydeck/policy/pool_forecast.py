"""Forecast of the cores that pools need by the time at which a VM could arrive."""

from collections import deque

__all__ = ["PoolForecast"]

_TREND_WINDOW_MS = 1000
"""Time over which the rise of a pool's need is measured."""
_MAX_RISE_RATIO = 1.0
"""Maximum expected rise as a fraction of the need; one large job looks like a steep rise."""


class PoolForecast:
    """Forecast of the need of each pool from its recent rise.

    A burst of demand of a queue begins with a rise over some seconds. VMs ordered by the current
    need would arrive when most of the first jobs of the burst are late.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[int, float]]] = {}

    def note(self, pool: str, cores: float, now_ms: int) -> None:
        """Record the current need of a pool, in cores."""
        samples = self._samples.setdefault(pool, deque())
        samples.append((now_ms, cores))
        while len(samples) > 2 and samples[1][0] <= now_ms - _TREND_WINDOW_MS:
            samples.popleft()

    def cores_ahead(self, pool: str, ahead_ms: int) -> float:
        """Return the cores needed after `ahead_ms`, extrapolated from the rise of the last second.

        A falling need counts as constant. Jobs that arrived before the first sample don't count as
        a rise.
        """
        samples = self._samples.get(pool)
        if not samples:
            return 0.0
        first_ms, first = samples[0]
        last_ms, last = samples[-1]
        span_ms = last_ms - first_ms
        if span_ms < _TREND_WINDOW_MS // 2:
            return last
        rise = max(0.0, last - first) * ahead_ms / span_ms
        return last + min(rise, last * _MAX_RISE_RATIO)
