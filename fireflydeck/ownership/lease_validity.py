"""Time until which a holder may rely on the lease, as the stored row states it."""

from attrs import frozen

__all__ = ["NOT_VALID", "LeaseValidity"]


@frozen
class LeaseValidity:
    """Validity of a lease by the renewals that are known to be stored.

    Other processes go by the row that is stored now, whichever renewal wrote it and whether or not
    the holder has its answer. A renewal therefore never states an earlier end than the rows before
    it, and a holder that relies on the last confirmed one relies on no more than any stored row
    grants.

    Parameters
    ----------
    confirmed_ms
        When the last confirmed renewal was sent, in milliseconds on the holder's clock.
    until_ms
        End of the lease, in milliseconds on the holder's clock.

    Examples
    --------
    >>> slow = NOT_VALID.renewed(sent_ms=1000, ttl_ms=3000)
    >>> slow.renewal_ttl_ms(sent_ms=1400, least_ms=1500)
    2600
    >>> slow.renewed(sent_ms=1400, ttl_ms=2600).until_ms
    4000
    """

    confirmed_ms: int
    until_ms: int

    def is_over(self, now_ms: int) -> bool:
        """Return whether the lease has expired."""
        return now_ms >= self.until_ms

    def renewal_ttl_ms(self, *, sent_ms: int, least_ms: int) -> int:
        """Return the time to live that a renewal states, in milliseconds.

        Parameters
        ----------
        sent_ms
            When the renewal is sent.
        least_ms
            Time to live that the speed of the store requires.
        """
        return max(least_ms, self.until_ms - sent_ms)

    def renewed(self, *, sent_ms: int, ttl_ms: int) -> "LeaseValidity":
        """Return the validity after a renewal is known to be stored.

        Parameters
        ----------
        sent_ms
            When it was sent, or the first of several attempts to store it.
        ttl_ms
            Time to live in the stored row.
        """
        return LeaseValidity(sent_ms, max(self.until_ms, sent_ms + ttl_ms))


NOT_VALID = LeaseValidity(0, 0)
"""Validity of a process that does not hold the lease."""
