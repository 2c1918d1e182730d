"""Detection of lapsed runner leases, by the monotonic clock of this process."""

from collections.abc import Iterable

from attrs import frozen

from fireflydeck.jobs.rows import HolderLease
from fireflydeck.tables import ABSENT

__all__ = ["HolderWatch"]


@frozen
class _Observation:
    version: int
    since_ms: int


class HolderWatch:
    """Tracks the versions of the holders' rows and reports lapsed leases.

    A lease has lapsed when its row stayed unchanged for the lease time while this process kept
    reading the rows. A gap of at least the lease time between two reads (outage of the store, pause
    of this process) discards all observations, since the holders may not have been able to renew
    their leases either.

    Parameters
    ----------
    lease_ms
        Length of the lease in milliseconds.

    Examples
    --------
    >>> watch = HolderWatch(lease_ms=8000)
    >>> lease = HolderLease(holder="d-1/a", version=3)
    >>> for now_ms in (0, 4000, 8000):
    ...     watch.observe([lease], now_ms)
    >>> watch.lapsed_version("d-1/a", 8000)
    3
    """

    def __init__(self, lease_ms: int) -> None:
        self._lease_ms = lease_ms
        self._observations: dict[str, _Observation] = {}
        self._last_read_ms: int | None = None

    def observe(self, leases: Iterable[HolderLease], now_ms: int) -> None:
        """Record the rows of all holders as read from the store.

        Parameters
        ----------
        now_ms
            Monotonic time at which the read was answered, or later.
        """
        if self._last_read_ms is not None and now_ms - self._last_read_ms >= self._lease_ms:
            self._observations = {}
        self._last_read_ms = now_ms
        versions = {lease.holder: lease.version for lease in leases}
        known = self._observations
        self._observations = {
            holder: self._next_observation(known.get(holder), version, now_ms)
            for holder, version in versions.items()
        }
        for holder, observation in known.items():
            if holder not in versions:
                self._observations[holder] = self._next_observation(observation, ABSENT, now_ms)

    def lapsed_version(self, holder: str, now_ms: int) -> int | None:
        """Return the version of the holder's row if its lease has lapsed, else `None`.

        A holder without a row is tracked from the first call with its name.
        """
        observation = self._observations.get(holder)
        if observation is None:
            self._observations[holder] = _Observation(ABSENT, now_ms)
            return None
        lapsed = now_ms - observation.since_ms >= self._lease_ms
        return observation.version if lapsed else None

    def unchanged_ms(self, lease: HolderLease, now_ms: int) -> int:
        """Return how long, in milliseconds, the holder's row has been unchanged."""
        observation = self._observations.get(lease.holder)
        return now_ms - observation.since_ms if observation else 0

    @staticmethod
    def _next_observation(known: _Observation | None, version: int, now_ms: int) -> _Observation:
        if known is not None and known.version == version:
            return known
        return _Observation(version, now_ms)
