"""Forecast of the cores that each pool needs by the time a VM could be moved to it."""

from collections import deque

__all__ = ["PoolForecast"]

_TREND_WINDOW_MS = 1000
"""Time over which the increase of a pool's need is measured."""
_MAX_RISE_RATIO = 1.0
"""Maximum extrapolated increase as a fraction of the current need.

One large job would otherwise be extrapolated as a steep increase.
"""


class PoolForecast:
    """Forecast of the need of each pool from its recent increase.

    In a burst, the demand of a queue increases over some seconds. If VMs were ordered for the
    current need only, they would arrive when most of the first jobs of the burst are already late.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[int, float]]] = {}

    def record(self, pool: str, cores: float, now_ms: int) -> None:
        """Record the current need of a pool, in cores."""
        samples = self._samples.setdefault(pool, deque())
        samples.append((now_ms, cores))
        while len(samples) > 2 and samples[1][0] <= now_ms - _TREND_WINDOW_MS:
            samples.popleft()

    def expected_cores(self, pool: str, horizon_ms: int) -> float:
        """Return the number of cores that the pool is expected to need in `horizon_ms`.

        The increase over the last second is extrapolated. A decreasing need counts as constant.
        Jobs that arrived before the first sample don't count as an increase.
        """
        samples = self._samples.get(pool)
        if not samples:
            return 0.0
        first_ms, first = samples[0]
        last_ms, last = samples[-1]
        span_ms = last_ms - first_ms
        if span_ms < _TREND_WINDOW_MS // 2:
            return last
        rise = max(0.0, last - first) * horizon_ms / span_ms
        return last + min(rise, last * _MAX_RISE_RATIO)
