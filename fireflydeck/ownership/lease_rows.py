"""The lease's rows in the store: reads, renewals, acquisitions and fenced commits."""

from expression import Error, Ok, Result

from fireflydeck.core import Failure
from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowKey,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from fireflydeck.kernel import EventLog, StoreHealth
from fireflydeck.ownership.records import COMMIT_ROW, LEASE_ROW, OWNERSHIP_TABLE, LeaseRecord

__all__ = ["CALL_TIMEOUT_MS", "LeaseRows"]

CALL_TIMEOUT_MS = 1200

_RowsByKey = dict[RowKey, StoredRow]


class LeaseRows:
    """Access to the lease's rows; each write is conditional on the versions that it replaces.

    Attributes
    ----------
    lease_version, commit_version
        Last known versions of the lease's row and the commit row.
    health
        Logs when the store stops answering and when it answers again.
    """

    def __init__(self, store: RowStore, log: EventLog) -> None:
        self._store = store
        self._seen_version = 0
        self.lease_version = ABSENT_VERSION
        self.commit_version = ABSENT_VERSION
        self.health = StoreHealth(log, OWNERSHIP_TABLE)

    async def read(self) -> _RowsByKey | None:
        """Return all rows, or `None` if the store does not answer."""
        result = await self._store.read(
            OWNERSHIP_TABLE, LEASE_ROW.partition, timeout_ms=CALL_TIMEOUT_MS
        )
        if result.is_error():
            self.health.record_failure(result.error)
            return None
        self.health.record_answer()
        self._seen_version = result.ok.version
        return {row.id: row for row in result.ok.rows}

    async def changes(self, wait_ms: int) -> _RowsByKey | None:
        """Return the rows changed since the last answer, or `None` if the store does not answer.

        `wait_ms` is the longest time that the store waits for a change.
        """
        result = await self._store.read_changes(
            OWNERSHIP_TABLE, after=self._seen_version, wait_ms=wait_ms
        )
        if result.is_error():
            self.health.record_failure(result.error)
            return None
        self._seen_version = max(self._seen_version, result.ok.version)
        return {row.id: row for row in result.ok.rows}

    async def write_lease(self, record: LeaseRecord, timeout_ms: int) -> Failure | None:
        """Replace the lease's row.

        Returns `None`, or the failure if the row is not known to be written.
        """
        transaction = RowTransaction(
            conditions=(RowCondition(LEASE_ROW, self.lease_version),),
            writes=(RowWrite(LEASE_ROW, record.encode()),),
        )
        result = await self._store.commit(transaction, timeout_ms=timeout_ms)
        if result.is_error():
            return result.error
        self.lease_version = result.ok
        return None

    async def acquire(self, record: LeaseRecord) -> Result[int, Failure]:
        """Replace both rows with those of a new holder; return their version."""
        transaction = RowTransaction(
            conditions=(
                RowCondition(LEASE_ROW, self.lease_version),
                RowCondition(COMMIT_ROW, self.commit_version),
            ),
            writes=(
                RowWrite(LEASE_ROW, record.encode()),
                RowWrite(COMMIT_ROW, str(record.term).encode()),
            ),
        )
        result = await self._store.commit(transaction, timeout_ms=CALL_TIMEOUT_MS)
        if result.is_error():
            return Error(result.error)
        self.lease_version = self.commit_version = result.ok
        return Ok(result.ok)

    async def commit(
        self, marker: bytes, writes: list[RowWrite], removals: list[RowKey]
    ) -> Failure | None:
        """Write and remove rows, and set the marker in the commit row, in one transaction.

        Returns `None`, or the failure if the rows are not known to be written.
        """
        transaction = RowTransaction(
            conditions=(RowCondition(COMMIT_ROW, self.commit_version),),
            writes=(RowWrite(COMMIT_ROW, marker), *writes),
            removals=tuple(removals),
        )
        result = await self._store.commit(transaction, timeout_ms=CALL_TIMEOUT_MS)
        if result.is_error():
            return result.error
        self.commit_version = result.ok
        return None
