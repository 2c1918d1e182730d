"""The lease's rows at the store: reads, renewals, take-overs and fenced commits."""

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

Rows = dict[RowKey, StoredRow]


class LeaseRows:
    """Reads and writes the rows; each write names the versions that it replaces.

    Attributes
    ----------
    lease_version, commit_version
        Versions of the two rows as this process knows them.
    health
        Logs a store that stops to answer and answers again.
    """

    def __init__(self, store: RowStore, log: EventLog) -> None:
        self._store = store
        self._seen_version = 0
        self.lease_version = ABSENT_VERSION
        self.commit_version = ABSENT_VERSION
        self.health = StoreHealth(log, OWNERSHIP_TABLE)

    async def read(self) -> Rows | None:
        """Return all rows; `None` without an answer."""
        result = await self._store.read(
            OWNERSHIP_TABLE, LEASE_ROW.partition, timeout_ms=CALL_TIMEOUT_MS
        )
        if result.is_error():
            self.health.note_failure(result.error)
            return None
        self.health.note_answer()
        self._seen_version = result.ok.version
        return {row.id: row for row in result.ok.rows}

    async def changes(self, wait_ms: int) -> Rows | None:
        """Return what changed since the last answer; `None` without an answer."""
        result = await self._store.changes(
            OWNERSHIP_TABLE, after=self._seen_version, wait_ms=wait_ms
        )
        if result.is_error():
            self.health.note_failure(result.error)
            return None
        self._seen_version = max(self._seen_version, result.ok.version)
        return {row.id: row for row in result.ok.rows}

    async def write_lease(self, record: LeaseRecord, timeout_ms: int) -> Failure | None:
        """Replace the lease's row; returns why it was not."""
        transaction = RowTransaction(
            conditions=(RowCondition(LEASE_ROW, self.lease_version),),
            writes=(RowWrite(LEASE_ROW, record.encode()),),
        )
        result = await self._store.commit(transaction, timeout_ms=timeout_ms)
        if result.is_error():
            return result.error
        self.lease_version = result.ok
        return None

    async def take(self, record: LeaseRecord) -> Result[int, Failure]:
        """Replace both rows by those of a new holder; returns the version."""
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
        """Write rows together with a mark in the commit row; returns why they were not."""
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
