"""Finds out which runners' leases have lapsed, by this process's own monotonic clock."""

from collections.abc import Iterable

from attrs import frozen

from fireflydeck.jobs.rows import HolderLease
from fireflydeck.tables import ABSENT

__all__ = ["HolderWatch"]


@frozen
class _Sighting:
    version: int
    since_ms: int


class HolderWatch:
    """Watches the versions of the holders' rows.

    A lease has lapsed when its row did not change for the lease time while this process read the
    rows. A gap of the lease time between two reads (outage of the store, pause of this process)
    starts all over, since holders may not have been able to renew either.

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
        self._sightings: dict[str, _Sighting] = {}
        self._observed_ms: int | None = None

    def observe(self, leases: Iterable[HolderLease], now_ms: int) -> None:
        """Note the rows of all holders as read at a time.

        Parameters
        ----------
        now_ms
            Monotonic time at which the read was answered, or later.
        """
        if self._observed_ms is not None and now_ms - self._observed_ms >= self._lease_ms:
            self._sightings = {}
        self._observed_ms = now_ms
        versions = {lease.holder: lease.version for lease in leases}
        known = self._sightings
        self._sightings = {
            holder: self._sighting(known.get(holder), version, now_ms)
            for holder, version in versions.items()
        }
        for holder, sighting in known.items():
            if holder not in versions:
                self._sightings[holder] = self._sighting(sighting, ABSENT, now_ms)

    def lapsed_version(self, holder: str, now_ms: int) -> int | None:
        """Return the version of the holder's row if its lease has lapsed, else `None`.

        A holder without a row is watched from the first question on.
        """
        sighting = self._sightings.get(holder)
        if sighting is None:
            self._sightings[holder] = _Sighting(ABSENT, now_ms)
            return None
        lapsed = now_ms - sighting.since_ms >= self._lease_ms
        return sighting.version if lapsed else None

    def unchanged_for(self, lease: HolderLease, now_ms: int) -> int:
        """Return for how many milliseconds the holder's row has not changed."""
        sighting = self._sightings.get(lease.holder)
        return now_ms - sighting.since_ms if sighting else 0

    @staticmethod
    def _sighting(known: _Sighting | None, version: int, now_ms: int) -> _Sighting:
        if known is not None and known.version == version:
            return known
        return _Sighting(version, now_ms)
