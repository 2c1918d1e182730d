"""Adaptive timeout for calls, derived from the latency of earlier answers."""

__all__ = ["CallTimeout"]

_SMOOTHING_FACTOR = 0.2
_TIMEOUT_LATENCY_RATIO = 6.0
"""An answer counts as lost after this many times the usual latency."""


class CallTimeout:
    """A timeout that follows the latency of a peer.

    While the peer answers quickly, the timeout is short, so that a lost answer is detected soon.
    Each call that times out doubles the timeout until an answer shows the peer's current latency.

    Parameters
    ----------
    min_ms, max_ms
        Bounds of the timeout, in milliseconds; before the first answer it is `max_ms`.
    """

    def __init__(self, min_ms: int, max_ms: int) -> None:
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._mean_latency_ms: float | None = None
        self._timeout_ms = float(max_ms)

    @property
    def timeout_ms(self) -> int:
        """Return how long to wait for the next answer, in milliseconds."""
        return int(self._timeout_ms)

    def record_answer(self, latency_ms: float) -> None:
        """Record the latency of an answer and derive the timeout from it."""
        mean_ms = self._mean_latency_ms
        self._mean_latency_ms = (
            latency_ms if mean_ms is None else mean_ms + _SMOOTHING_FACTOR * (latency_ms - mean_ms)
        )
        target_ms = max(latency_ms, self._mean_latency_ms) * _TIMEOUT_LATENCY_RATIO
        self._timeout_ms = min(self._max_ms, max(self._min_ms, target_ms))

    def record_timeout(self) -> None:
        """Record that no answer arrived in time, and double the timeout."""
        self._timeout_ms = min(self._max_ms, self._timeout_ms * 2)
