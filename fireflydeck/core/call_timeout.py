"""How long to wait for an answer, from how long answers take."""

__all__ = ["CallTimeout"]

_SMOOTHING = 0.2
_LATENCIES = 6.0
"""Answers that take this many times as long as usual count as lost."""


class CallTimeout:
    """A timeout that follows the latency of a peer.

    A lost answer is noticed soon while the peer is quick; each call that times out doubles the
    timeout until an answer tells how slow the peer is.

    Parameters
    ----------
    least_ms, most_ms
        Bounds of the timeout.
    """

    def __init__(self, least_ms: int, most_ms: int) -> None:
        self._least_ms = least_ms
        self._most_ms = most_ms
        self._latency_ms: float | None = None
        self._timeout_ms = float(most_ms)

    @property
    def timeout_ms(self) -> int:
        """How long to wait for the next answer."""
        return int(self._timeout_ms)

    def note_answer(self, took_ms: float) -> None:
        """Take over how long an answer took."""
        known = self._latency_ms
        self._latency_ms = took_ms if known is None else known + _SMOOTHING * (took_ms - known)
        usual_ms = max(took_ms, self._latency_ms) * _LATENCIES
        self._timeout_ms = min(self._most_ms, max(self._least_ms, usual_ms))

    def note_timeout(self) -> None:
        """Take over that no answer came in time."""
        self._timeout_ms = min(self._most_ms, self._timeout_ms * 2)
