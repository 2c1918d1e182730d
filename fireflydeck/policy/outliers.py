"""Outlier ejection: a VM with a high failure rate gets no work for some seconds.

The pool's availability budget limits how many VMs are ejected at the same time.
"""

from attrs import define

__all__ = ["FailureRate", "may_eject"]

EJECTION_FAILURE_RATE = 0.5
"""Smoothed failure rate above which a VM is ejected."""

EJECTION_MS = 10_000
"""Time after which an ejected VM gets work again."""

_SMOOTHING = 0.2


@define
class FailureRate:
    """Exponentially smoothed failure rate of one VM.

    Examples
    --------
    >>> rate = FailureRate()
    >>> for _ in range(4):
    ...     rate.add(is_failure=True)
    >>> rate.is_high
    True
    """

    value: float = 0.0

    @property
    def is_high(self) -> bool:
        """Return whether the rate is above the ejection threshold."""
        return self.value > EJECTION_FAILURE_RATE

    def add(self, *, is_failure: bool) -> None:
        """Record one outcome."""
        self.value += _SMOOTHING * (float(is_failure) - self.value)


def may_eject(unavailable: int, ejected: int, max_unavailable: int) -> bool:
    """Return whether the availability budget allows the ejection of one more VM.

    Parameters
    ----------
    unavailable
        Number of VMs of the pool that accept no work for another reason.
    ejected
        Number of VMs that are ejected already.
    max_unavailable
        Availability budget of the pool, in VMs.

    Examples
    --------
    >>> may_eject(unavailable=1, ejected=0, max_unavailable=1)
    False
    """
    return unavailable + ejected < max_unavailable
