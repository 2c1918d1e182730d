"""Versions of the rows that a follower of a table has applied."""

from fireflydeck.core import Clock
from fireflydeck.core.rows import ABSENT_VERSION, RowKey, StoredRow

__all__ = ["RowVersions"]

_DELETION_MEMORY_MS = 60_000
"""A read of the store is never behind by more than this."""


class RowVersions:
    """Versions of the known rows, and for a while those of the deleted ones.

    They tell whether a row that was read is newer than what was applied before; a read that is
    behind may return a row that was deleted since.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._versions: dict[RowKey, int] = {}
        self._deletions: dict[RowKey, tuple[int, int]] = {}

    def is_newer(self, row: StoredRow) -> bool:
        """Return whether a row is newer than the known one, or its deletion not older."""
        known = self._versions.get(row.id, ABSENT_VERSION)
        deleted, _ = self._deletions.get(row.id, (ABSENT_VERSION, 0))
        if row.deleted:
            return row.version >= known and row.version > deleted
        return row.version > max(known, deleted)

    def record(self, row: StoredRow) -> None:
        """Record the version of a row that is applied."""
        self._deletions.pop(row.id, None)
        if row.deleted:
            self._versions.pop(row.id, None)
            self._deletions[row.id] = (row.version, self._clock.now_ms())
        else:
            self._versions[row.id] = row.version

    def keys_up_to(self, version: int) -> list[RowKey]:
        """Return the keys of the known rows that are not newer than a version."""
        return [key for key, known in self._versions.items() if known <= version]

    def forget_old_deletions(self) -> None:
        """Forget the deletions that no read can be behind any more."""
        oldest_ms = self._clock.now_ms() - _DELETION_MEMORY_MS
        while self._deletions:
            key = next(iter(self._deletions))
            if self._deletions[key][1] > oldest_ms:
                return
            del self._deletions[key]
