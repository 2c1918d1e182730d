"""Token bucket for the rate limits of the stand-ins."""

from fireflydeck.core import Clock

__all__ = ["TokenBucket"]

_MS_PER_S = 1000


class TokenBucket:
    """Token bucket that allows an average rate and bursts of up to one second of that rate.

    Parameters
    ----------
    rate_per_s
        Tokens added each second, and the capacity of the bucket in tokens.
    clock
        Source of time.
    """

    def __init__(self, rate_per_s: int, clock: Clock) -> None:
        self._rate_per_s = rate_per_s
        self._clock = clock
        # In thousandths of a token, so that integer arithmetic is exact.
        self._level_millitokens = rate_per_s * _MS_PER_S
        self._filled_ms = clock.now_ms()

    @property
    def rate_per_s(self) -> int:
        """Tokens added each second."""
        return self._rate_per_s

    def take(self) -> bool:
        """Take one token; return whether one was available."""
        self._fill()
        if self._level_millitokens < _MS_PER_S:
            return False
        self._level_millitokens -= _MS_PER_S
        return True

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        gained_millitokens = (now_ms - self._filled_ms) * self._rate_per_s
        self._level_millitokens = min(
            self._rate_per_s * _MS_PER_S, self._level_millitokens + gained_millitokens
        )
        self._filled_ms = now_ms
