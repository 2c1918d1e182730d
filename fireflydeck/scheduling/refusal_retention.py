"""Removal of refusals whose process ended before it removed them itself."""

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.rows import (
    RowCondition,
    RowKey,
    RowStore,
    RowTransaction,
    StoredRow,
)
from fireflydeck.workload.records import JOB_PARTITIONS, REFUSALS_TABLE

__all__ = ["RefusalRetention"]

_INTERVAL_MS = 60_000
_MIN_AGE_MS = 90_000
"""Longer than the minute after which the process that wrote a row removes it."""
_MAX_ROWS_PER_COMMIT = 40
"""Each row takes two of the hundred entries of a transaction."""
_CALL_TIMEOUT_MS = 1200


@define(eq=False)
class RefusalRetention:
    """Removes refusals that kept their version for longer than their own process keeps them.

    The age counts from when this process first saw that version, on its own clock, so that a wrong
    wall clock of the process that wrote a row never makes it disappear early.
    """

    _store: RowStore
    _clock: Clock
    _next_ms: int = 0
    # Version of each row, and when it was first seen.
    _seen: dict[RowKey, tuple[int, int]] = field(factory=dict, init=False)

    async def remove_if_due(self) -> int:
        """Read the refusals and remove the old ones once a minute; return their number."""
        if self._clock.now_ms() < self._next_ms:
            return 0
        self._next_ms = self._clock.now_ms() + _INTERVAL_MS
        removed = 0
        seen: dict[RowKey, tuple[int, int]] = {}
        for partition in JOB_PARTITIONS:
            result = await self._store.read(REFUSALS_TABLE, partition, timeout_ms=_CALL_TIMEOUT_MS)
            if result.is_error():
                return removed
            old = self._find_old(result.ok.rows, seen)
            for first in range(0, len(old), _MAX_ROWS_PER_COMMIT):
                removed += await self._remove(old[first : first + _MAX_ROWS_PER_COMMIT])
        self._seen = seen
        return removed

    def _find_old(
        self, rows: tuple[StoredRow, ...], seen: dict[RowKey, tuple[int, int]]
    ) -> list[StoredRow]:
        """Return the rows to remove, and add all rows to `seen`."""
        now_ms = self._clock.now_ms()
        old = []
        for row in rows:
            version, seen_ms = self._seen.get(row.id, (row.version, now_ms))
            if version != row.version:
                seen_ms = now_ms
            seen[row.id] = (row.version, seen_ms)
            if now_ms - seen_ms >= _MIN_AGE_MS:
                old.append(row)
        return old

    async def _remove(self, rows: list[StoredRow]) -> int:
        """Remove rows of one partition; return their number.

        If one of them was replaced meanwhile, all of them stay until the next round.
        """
        transaction = RowTransaction(
            conditions=tuple(RowCondition(row.id, row.version) for row in rows),
            removals=tuple(row.id for row in rows),
        )
        result = await self._store.commit(transaction, timeout_ms=_CALL_TIMEOUT_MS)
        return 0 if result.is_error() else len(rows)
