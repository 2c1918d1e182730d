"""Overload of a pool, as the lease holder publishes it."""

from attrs import frozen

__all__ = ["PoolOverload"]


@frozen
class PoolOverload:
    """Overload of a pool, as the holder of the lease publishes it.

    Parameters
    ----------
    wait_ms
        Expected time until a new job beyond its organisation's share could start, in milliseconds.
    accepted
        Fraction of the new jobs to accept, by organisation; 1 for organisations that are missing.
    """

    wait_ms: int
    accepted: dict[str, float]
