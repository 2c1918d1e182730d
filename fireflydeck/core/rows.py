"""Rows of a transactional table store, and the store's interface."""

from abc import ABC, abstractmethod

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure

__all__ = [
    "ABSENT_VERSION",
    "RowChanges",
    "RowCondition",
    "RowKey",
    "RowStore",
    "RowTransaction",
    "RowWrite",
    "StoredRow",
]

ABSENT_VERSION = 0
"""Version of a row that does not exist."""


@frozen
class RowKey:
    """Identity of a row."""

    table: str
    partition: str
    key: str


@frozen
class StoredRow:
    """A row as read.

    Parameters
    ----------
    version
        Version of the transaction that wrote the row last; grows over the whole store.
    deleted
        Whether the row was removed; only in changes.
    """

    id: RowKey
    value: bytes
    version: int
    deleted: bool = False


@frozen
class RowCondition:
    """The row must have exactly this version; `ABSENT_VERSION` for none."""

    id: RowKey
    version: int


@frozen
class RowWrite:
    """Create or replace a row."""

    id: RowKey
    value: bytes


@frozen(kw_only=True)
class RowTransaction:
    """Writes that take effect together, if all conditions hold, or not at all."""

    conditions: tuple[RowCondition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    removals: tuple[RowKey, ...] = ()


@frozen
class RowChanges:
    """Rows as of `version`: a range that was read, or what changed since an older version."""

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(ABC):
    """A linearizable table store.

    Failures: `CONFLICT` (a condition did not hold), `TOO_MANY_REQUESTS` and `STORE_UNAVAILABLE`
    with `Ran.NO` (nothing was done), `STORE_UNAVAILABLE` with `Ran.UNKNOWN` (a write may have
    taken effect or may still do so), `NOT_FOUND` (the history asked for is gone).
    """

    @abstractmethod
    async def commit(self, transaction: RowTransaction, *, timeout_ms: int) -> Result[int, Failure]:
        """Apply the transaction and return its version."""

    @abstractmethod
    async def read(
        self, table: str, partition: str, *, first: str = "", before: str = "", timeout_ms: int
    ) -> Result[RowChanges, Failure]:
        """Return all rows with ``first <= key < before``; an empty `before` means no end.

        The version is one that the rows are no older than.
        """

    async def read_row(self, key: RowKey, *, timeout_ms: int) -> Result[StoredRow | None, Failure]:
        """Return one row, or `None` if there is none; failures are those of `read`."""
        result = await self.read(
            key.table,
            key.partition,
            first=key.key,
            before=key.key + "\0",
            timeout_ms=timeout_ms,
        )
        return result.map(lambda changes: changes.rows[0] if changes.rows else None)

    @abstractmethod
    async def changes(self, table: str, *, after: int, wait_ms: int) -> Result[RowChanges, Failure]:
        """Return the rows of a table that changed after a version, as soon as there are any."""
