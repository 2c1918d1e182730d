"""In-memory tables with the semantics of the platform's table service."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from itertools import islice, takewhile

from fireflydeck.tables import ABSENT, Check, Row, Transaction

__all__ = ["MemoryTables"]


class MemoryTables:
    """In-memory tables of versioned rows, with transactions that check versions.

    Examples
    --------
    >>> from fireflydeck.tables import Put
    >>> tables = MemoryTables()
    >>> tables.commit(Transaction(checks=(Check("t", "a", ABSENT),), puts=(Put("t", "a", 1),)))
    ()
    >>> tables.get("t", "a")
    Row(table='t', key='a', version=1, value=1)
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}
        self._sorted_keys: dict[str, list[str]] = {}
        self._version = ABSENT

    def get(self, table: str, key: str) -> Row | None:
        """Return the row; `None` if it does not exist."""
        return self._tables.get(table, {}).get(key)

    def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return up to `limit` rows in key order.

        Their keys begin with `prefix` and are greater than `after`.
        """
        rows = self._tables.get(table, {})
        keys = self._sorted_keys.get(table, [])
        first = max(bisect_left(keys, prefix), bisect_right(keys, after))
        following = (keys[index] for index in range(first, len(keys)))
        matching = takewhile(lambda key: key.startswith(prefix), following)
        return tuple(rows[key] for key in islice(matching, limit))

    def commit(self, transaction: Transaction) -> tuple[Check, ...]:
        """Apply the transaction, or return the failed checks and change nothing."""
        failed = tuple(self._failed_checks(transaction.checks))
        if failed:
            return failed
        self._version += 1
        for put in transaction.puts:
            self._put(Row(put.table, put.key, self._version, put.value))
        for delete in transaction.deletes:
            self._delete(delete.table, delete.key)
        return ()

    def _put(self, row: Row) -> None:
        rows = self._tables.setdefault(row.table, {})
        if row.key not in rows:
            insort(self._sorted_keys.setdefault(row.table, []), row.key)
        rows[row.key] = row

    def _delete(self, table: str, key: str) -> None:
        row = self._tables.get(table, {}).pop(key, None)
        if row is not None:
            keys = self._sorted_keys[table]
            del keys[bisect_left(keys, key)]

    def _failed_checks(self, checks: Iterable[Check]) -> Iterable[Check]:
        for check in checks:
            row = self.get(check.table, check.key)
            if (row.version if row else ABSENT) != check.version:
                yield check
