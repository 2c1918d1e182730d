"""Overload of pools that the holder of the lease publishes, while it is recent enough to act on."""

from typing import Any

from fireflydeck.core import Clock
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.core.typed_values import mistyped_fields

__all__ = ["PublishedOverload", "decode_overload"]

_MAX_AGE_MS = 2000
"""Five renewals: an older record says little about queues whose demand changes within 4 s."""


def decode_overload(document: Any) -> dict[str, PoolOverload]:
    """Decode the overload of pools by name.

    What can't be decoded is left out, so that it never makes a lease record invalid; a pool that
    is missing counts as not overloaded.
    """
    if not isinstance(document, dict):
        return {}
    decoded = {name: _decode_pool(item) for name, item in document.items()}
    return {
        name: overload
        for name, overload in decoded.items()
        if isinstance(name, str) and overload is not None
    }


def _decode_pool(item: Any) -> PoolOverload | None:
    try:
        overload = PoolOverload(item["wait_ms"], item["accepted"])
    except (KeyError, TypeError):
        return None
    return None if mistyped_fields(overload) else overload


class PublishedOverload:
    """Overload in the newest lease record, as far as it changed recently.

    The time of a change counts from the last observation of the record before: a process that was
    cut off from the store can't tell how old the record is that it reads then.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._overload: dict[str, PoolOverload] = {}
        self._record_number: tuple[int, int] | None = None
        self._observed_ms: int | None = None
        self._changed_ms: int | None = None

    def of_pool(self, pool: str) -> PoolOverload | None:
        """Return the overload of a pool; `None` if there is none or it is not known."""
        changed_ms = self._changed_ms
        if changed_ms is None or self._clock.now_ms() - changed_ms > _MAX_AGE_MS:
            return None
        return self._overload.get(pool)

    def observe(
        self, overload: dict[str, PoolOverload], *, term: int, sequence: int, sent_ms: int
    ) -> None:
        """Record what a read of the lease record returned.

        Parameters
        ----------
        term, sequence
            Term and sequence number of the record; they change with each renewal.
        sent_ms
            When the read was sent, in milliseconds.
        """
        if self._record_number != (term, sequence):
            self._overload = overload
            self._record_number = (term, sequence)
            self._changed_ms = self._observed_ms
        self._observed_ms = sent_ms

    def publish(
        self, overload: dict[str, PoolOverload], *, term: int, sequence: int, sent_ms: int
    ) -> None:
        """Record a renewal of this process's own lease; the parameters are those of `observe`."""
        self._overload = overload
        self._record_number = (term, sequence)
        self._observed_ms = self._changed_ms = sent_ms
