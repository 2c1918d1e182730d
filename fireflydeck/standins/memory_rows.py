"""In-memory rows with the semantics of the platform's store."""

from bisect import bisect_right

from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowKey,
    RowTransaction,
    StoredRow,
    VersionedRows,
)

__all__ = ["MemoryRows"]


class MemoryRows:
    """In-memory rows with versions, conditional transactions and a history of changes.

    Examples
    --------
    >>> from fireflydeck.core.rows import RowWrite
    >>> rows, key = MemoryRows(), RowKey("t", "", "a")
    >>> first = RowTransaction(conditions=(RowCondition(key, 0),), writes=(RowWrite(key, b"1"),))
    >>> rows.commit(first)
    ()
    >>> rows.commit(first)
    (RowCondition(id=RowKey(table='t', partition='', key='a'), version=0),)
    """

    def __init__(self) -> None:
        self._rows: dict[RowKey, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._version = ABSENT_VERSION
        self._history_start = ABSENT_VERSION

    @property
    def version(self) -> int:
        """Version of the last transaction."""
        return self._version

    def get(self, key: RowKey) -> StoredRow | None:
        """Return the row; `None` if it does not exist."""
        return self._rows.get(key)

    def commit(self, transaction: RowTransaction) -> tuple[RowCondition, ...]:
        """Apply the transaction, or return the failed conditions and change nothing."""
        failed = tuple(
            condition
            for condition in transaction.conditions
            if self._version_of(condition.id) != condition.version
        )
        if failed:
            return failed
        self._version += 1
        for write in transaction.writes:
            self._apply(StoredRow(write.id, write.value, self._version))
        for key in transaction.removals:
            if key in self._rows:
                self._apply(StoredRow(key, b"", self._version, deleted=True))
        return ()

    def read(self, table: str, partition: str, first: str, before: str) -> VersionedRows:
        """Return the rows with keys from `first` up to but excluding `before`, in key order.

        An empty `before` sets no upper bound.
        """
        rows = [
            row
            for key, row in self._rows.items()
            if (key.table, key.partition) == (table, partition)
            and key.key >= first
            and (not before or key.key < before)
        ]
        rows.sort(key=lambda row: row.id.key.encode())
        return VersionedRows(tuple(rows), self._version)

    def changes(self, table: str, after: int) -> VersionedRows | None:
        """Return the changes after a version; `None` if that history was discarded."""
        if after < self._history_start:
            return None
        first = bisect_right(self._history, after, key=lambda row: row.version)
        rows = [row for row in self._history[first:] if row.id.table == table]
        return VersionedRows(tuple(rows), self._version)

    def forget_history(self) -> None:
        """Discard the history up to the current version."""
        self._history.clear()
        self._history_start = self._version

    def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table, sorted."""
        return sorted({key.partition for key in self._rows if key.table == table})

    def _version_of(self, key: RowKey) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT_VERSION

    def _apply(self, row: StoredRow) -> None:
        self._history.append(row)
        if row.deleted:
            self._rows.pop(row.id, None)
        else:
            self._rows[row.id] = row
