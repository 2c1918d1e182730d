"""Which processes should hold the fleet's lease, and from when they may take it."""

from fireflydeck.ownership.records import LeaseRecord

__all__ = ["candidate_delay_ms", "lease_free_at_ms"]

_SUFFICIENT_CORES = 0.9
"""What a take-over of a large fleet needs to end well before its first renewal is due."""
_SUFFICIENT_LINK_MBPS = 50.0
"""A new holder reads the rows of all retained jobs at once."""
_TAKE_OVER_SLACK_MS = 150
"""Added to the holder's time to live, for the difference between two clocks' rates."""
_SMALL_VM_DELAY_MS = 500
"""More than the difference between the times at which two processes see that a lease is free."""


def candidate_delay_ms(cores: float, link_mbps: float) -> int:
    """Return how long a process leaves a free lease to processes on larger VMs.

    Parameters
    ----------
    cores
        Processor time that the VM gives in a second, in seconds.
    link_mbps
        Bandwidth of the VM's network link, in Mbit/s.

    Returns
    -------
    int
        Milliseconds.

    Examples
    --------
    >>> candidate_delay_ms(cores=2.1, link_mbps=200.0)
    0
    >>> candidate_delay_ms(cores=2.1, link_mbps=10.0)
    500
    """
    if cores >= _SUFFICIENT_CORES and link_mbps >= _SUFFICIENT_LINK_MBPS:
        return 0
    return _SMALL_VM_DELAY_MS


def lease_free_at_ms(
    record: LeaseRecord | None, *, name: str, standing_since_ms: int, candidate_delay_ms: int
) -> int:
    """Return when a process may take the lease, unless its row changes before.

    A lease under the process's own name belongs to an earlier life of it, which is over.

    Parameters
    ----------
    record
        The lease as last seen; `None` before the first.
    standing_since_ms
        When the process saw the row change last, on its own clock.

    Returns
    -------
    int
        Milliseconds on the process's own clock.
    """
    if record is not None and record.holder == name:
        return standing_since_ms
    if record is None:
        return standing_since_ms + candidate_delay_ms
    delay_ms = max(0, candidate_delay_ms - record.candidate_delay_ms)
    lapse_ms = record.ttl_ms + _TAKE_OVER_SLACK_MS + 1 if record.holder else 0
    return standing_since_ms + lapse_ms + delay_ms
