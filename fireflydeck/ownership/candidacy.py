"""Suitability of a process for the fleet's lease, and the time from which it may acquire it."""

from fireflydeck.ownership.records import LeaseRecord

__all__ = ["candidate_delay_ms", "lease_free_at_ms"]

_SUFFICIENT_CORES = 0.9
"""With less, taking over a large fleet may not be finished well before the first renewal."""
_SUFFICIENT_LINK_MBPS = 50.0
"""A new holder first reads the rows of all retained jobs, which needs this bandwidth."""
_TAKE_OVER_SLACK_MS = 150
"""Added to the lease's time to live, since the clocks of two processes may differ in rate."""
_HOLDER_GRACE_MS = 300
"""Time for the holder to renew its lease after an outage of the store, which it survives as well as
the candidates. Its last call may still be waiting for an answer."""
_SMALL_VM_DELAY_MS = 500
"""Longer than the difference between the times at which two processes see a lease become free."""


def candidate_delay_ms(cores: float, link_mbps: float) -> int:
    """Return how long a process waits before it acquires a free lease.

    The delay lets processes on larger VMs acquire it first.

    Parameters
    ----------
    cores
        Processor time that the VM provides per second, in seconds.
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
    record: LeaseRecord | None,
    *,
    name: str,
    unchanged_since_ms: int,
    candidate_delay_ms: int,
    regained_ms: int | None = None,
) -> int:
    """Return when a process may acquire the lease, unless its row changes before then.

    A lease under the process's own name was acquired before its restart. It may be acquired
    immediately, since the earlier process has ended. After an outage of the store the lease has
    expired for all processes at once; the holder then gets time to renew it, and processes on
    larger VMs to acquire it first.

    Parameters
    ----------
    record
        The lease record as last seen; `None` if no lease was stored yet.
    name
        Name of the process.
    unchanged_since_ms
        When the process last saw the row change, on its own clock.
    candidate_delay_ms
        How long the process waits before it acquires a free lease.
    regained_ms
        When the store answered the process again after it had not, on the process's own clock;
        `None` if it has always answered.

    Returns
    -------
    int
        Milliseconds on the process's own clock.
    """
    if record is not None and record.holder == name:
        return unchanged_since_ms
    if record is None:
        return unchanged_since_ms + candidate_delay_ms
    delay_ms = max(0, candidate_delay_ms - record.candidate_delay_ms)
    expiry_ms = record.ttl_ms + _TAKE_OVER_SLACK_MS + 1 if record.holder else 0
    free_at_ms = unchanged_since_ms + expiry_ms + delay_ms
    if regained_ms is None:
        return free_at_ms
    return max(free_at_ms, regained_ms + _HOLDER_GRACE_MS + delay_ms)
