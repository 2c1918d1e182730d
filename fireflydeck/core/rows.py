"""Interface of a transactional table store, and its rows."""

from abc import ABC, abstractmethod

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure

__all__ = [
    "ABSENT_VERSION",
    "RowCondition",
    "RowKey",
    "RowStore",
    "RowTransaction",
    "RowWrite",
    "StoredRow",
    "VersionedRows",
]

ABSENT_VERSION = 0
"""Version of a row that does not exist."""


@frozen
class RowKey:
    """Key that identifies a row in the store."""

    table: str
    partition: str
    key: str


@frozen
class StoredRow:
    """A row as read from the store.

    Parameters
    ----------
    version
        Version of the transaction that last wrote the row. Versions increase over the whole
        store.
    deleted
        Whether the row was removed; only `RowStore.read_changes` returns such rows.
    """

    id: RowKey
    value: bytes
    version: int
    deleted: bool = False


@frozen
class RowCondition:
    """A condition that a row has this version; `ABSENT_VERSION` requires that it does not exist."""

    id: RowKey
    version: int


@frozen
class RowWrite:
    """A write that creates or replaces a row."""

    id: RowKey
    value: bytes


@frozen(kw_only=True)
class RowTransaction:
    """Writes and removals that take effect atomically, if all conditions are met."""

    conditions: tuple[RowCondition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    removals: tuple[RowKey, ...] = ()


@frozen
class VersionedRows:
    """Rows as of `version`: those of a range, or those that changed since an older version."""

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(ABC):
    """A linearizable table store.

    Failures: `CONFLICT` (a condition was not met), `TOO_MANY_REQUESTS` and `STORE_UNAVAILABLE`
    with `Ran.NO` (nothing was done), `STORE_UNAVAILABLE` with `Ran.UNKNOWN` (a write may have
    taken effect or may still do so), `NOT_FOUND` (the requested history is no longer stored).
    """

    @abstractmethod
    async def commit(self, transaction: RowTransaction, *, timeout_ms: int) -> Result[int, Failure]:
        """Commit the transaction and return its version."""

    @abstractmethod
    async def read(
        self, table: str, partition: str, *, first: str = "", before: str = "", timeout_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return all rows with ``first <= key < before``.

        An empty `before` means no upper bound. The rows are at least as recent as the returned
        version.
        """

    async def read_row(self, key: RowKey, *, timeout_ms: int) -> Result[StoredRow | None, Failure]:
        """Return one row, or `None` if it does not exist; failures are those of `read`."""
        result = await self.read(
            key.table,
            key.partition,
            first=key.key,
            before=key.key + "\0",
            timeout_ms=timeout_ms,
        )
        return result.map(lambda changes: changes.rows[0] if changes.rows else None)

    @abstractmethod
    async def read_changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return the rows of a table that changed after a version, as soon as there are any.

        Parameters
        ----------
        wait_ms
            How long the store may wait for a change, in milliseconds.
        """
