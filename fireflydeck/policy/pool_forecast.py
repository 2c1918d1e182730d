"""Cores that pools will need by the time at which a VM could arrive."""

from collections import deque

__all__ = ["PoolForecast"]

_TREND_MS = 1000
"""Span over which the rise of a pool's need is measured."""
_MOST_RISE = 1.0
"""The most by which a need is expected to rise, as a part of itself; one large job looks steep."""


class PoolForecast:
    """Follows the need of each pool and its rise.

    A queue's turn begins with a rise over some seconds; VMs that are ordered by the need of the
    moment arrive when most of its first jobs are late.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[int, float]]] = {}

    def note(self, pool: str, cores: float, now_ms: int) -> None:
        """Take over the need of a pool at this moment."""
        samples = self._samples.setdefault(pool, deque())
        samples.append((now_ms, cores))
        while len(samples) > 2 and samples[1][0] <= now_ms - _TREND_MS:
            samples.popleft()

    def cores_ahead(self, pool: str, ahead_ms: int) -> float:
        """Return the need after `ahead_ms`, by the rise of the last second; a fall counts as none.

        Jobs that came in together before the first sample are no rise.
        """
        samples = self._samples.get(pool)
        if not samples:
            return 0.0
        first_ms, first = samples[0]
        last_ms, last = samples[-1]
        span_ms = last_ms - first_ms
        if span_ms < _TREND_MS // 2:
            return last
        rise = max(0.0, last - first) * ahead_ms / span_ms
        return last + min(rise, last * _MOST_RISE)
