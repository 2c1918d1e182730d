"""Which processes should hold the fleet's lease."""

__all__ = ["candidate_delay_ms"]

_SUFFICIENT_CORES = 0.9
"""What a take-over of a large fleet needs to end well before its first renewal is due."""
_SUFFICIENT_LINK_MBPS = 50.0
"""A new holder reads the rows of all retained jobs at once."""
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
