"""In-memory row store with fault injection."""

from collections.abc import Callable
from enum import StrEnum

import anyio
import anyio.lowlevel
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import RowStore, RowTransaction, VersionedRows
from fireflydeck.standins.memory_rows import MemoryRows

__all__ = ["FakeRowStore", "RowStoreFault"]

_POLL_MS = 20


class RowStoreFault(StrEnum):
    """Fault injected into one commit.

    `REFUSED` fails without effect. The others get no answer: `ANSWER_LOST` takes effect, `LATE`
    takes effect when the test calls `deliver_late`, and `NO_EFFECT` never takes effect.
    """

    REFUSED = "refused"
    ANSWER_LOST = "answer-lost"
    LATE = "late"
    NO_EFFECT = "no-effect"


class FakeRowStore(RowStore):
    """Row store in memory.

    Attributes
    ----------
    outage
        While set, every call fails: `Ran.NO` if refused, `Ran.UNKNOWN` if unanswered.
    unanswered_tables
        Tables to which writes get no answer and have no effect.
    next_commits
        Faults of the next commits, in order.
    answer_delay_ms
        Delay in milliseconds of answers to transactions that reached the store.
    read_delay_ms
        Delay in milliseconds of answers to reads.
    are_changes_hidden
        While set, `read_changes` returns no changes.
    stale_reads
        Versions, by table, that reads of partitions without an upper bound return instead of the
        newest one.
    stale_pages
        Pages, by table, that reads of whole partitions return instead of the current rows.
    commits
        Transactions that took effect, without those applied by `deliver_late`.
    max_value_bytes
        Size of a value above which a transaction is refused for good; `None` for no bound.
    on_commit
        Called before a transaction is applied.
    """

    def __init__(self, clock: Clock, rows: MemoryRows | None = None) -> None:
        self.rows = rows or MemoryRows()
        self.outage: Ran | None = None
        self.unanswered_tables: set[str] = set()
        self.answer_delay_ms = 0
        self.read_delay_ms = 0
        self.are_changes_hidden = False
        self.stale_reads: dict[str, int] = {}
        self.stale_pages: dict[str, VersionedRows] = {}
        self.next_commits: list[RowStoreFault | None] = []
        self.commits: list[RowTransaction] = []
        self.max_value_bytes: int | None = None
        self.on_commit: Callable[[RowTransaction], None] | None = None
        self._late: list[RowTransaction] = []
        self._clock = clock

    def deliver_late(self) -> list[bool]:
        """Apply the late transactions; return for each whether its conditions were met."""
        late, self._late = self._late, []
        return [not self.rows.commit(transaction) for transaction in late]

    async def commit(self, transaction: RowTransaction, *, timeout_ms: int) -> Result[int, Failure]:
        """Apply a transaction."""
        await anyio.lowlevel.checkpoint()
        refusal = self._refusal(transaction)
        if refusal is not None:
            return Error(refusal)
        fault = self.next_commits.pop(0) if self.next_commits else None
        if fault == RowStoreFault.REFUSED:
            return Error(_unavailable("store.commit", Ran.NO))
        if fault == RowStoreFault.LATE:
            self._late.append(transaction)
        if fault in (RowStoreFault.LATE, RowStoreFault.NO_EFFECT):
            return Error(_unavailable("store.commit", Ran.UNKNOWN))
        if self.on_commit is not None:
            self.on_commit(transaction)
        failed = self.rows.commit(transaction)
        version = self.rows.version
        if not failed:
            self.commits.append(transaction)
        if self.answer_delay_ms > 0:
            await self._clock.sleep_ms(self.answer_delay_ms)
        if fault == RowStoreFault.ANSWER_LOST:
            return Error(_unavailable("store.commit", Ran.UNKNOWN))
        if failed:
            return Error(Failure(Reason.CONFLICT, "store.commit", peer="store"))
        return Ok(version)

    def _refusal(self, transaction: RowTransaction) -> Failure | None:
        if self.outage is not None:
            return _unavailable("store.commit", self.outage)
        if any(write.id.table in self.unanswered_tables for write in transaction.writes):
            return _unavailable("store.commit", Ran.UNKNOWN)
        limit = self.max_value_bytes
        if limit is not None and any(len(write.value) > limit for write in transaction.writes):
            return Failure(Reason.BAD_REQUEST, "store.commit", peer="store", ran=Ran.NO)
        return None

    async def read(
        self, table: str, partition: str, *, first: str = "", before: str = "", timeout_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return the rows of a range of keys."""
        await anyio.lowlevel.checkpoint()
        if self.outage is not None:
            return Error(_unavailable("store.read", self.outage))
        if self.read_delay_ms > 0:
            await self._clock.sleep_ms(self.read_delay_ms)
        if table in self.stale_pages and not before:
            return Ok(self.stale_pages[table])
        found = self.rows.read(table, partition, first, before)
        if table not in self.stale_reads or before:
            return Ok(found)
        version = self.stale_reads[table]
        return Ok(
            VersionedRows(tuple(row for row in found.rows if row.version <= version), version)
        )

    async def read_changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return the rows that changed after a version, waiting up to `wait_ms` for one."""
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            await anyio.lowlevel.checkpoint()
            if self.outage is not None:
                return Error(_unavailable("store.changes", self.outage))
            changes = self.rows.changes(table, after)
            if changes is None:
                return Error(Failure(Reason.NOT_FOUND, "store.changes", peer="store"))
            if self.are_changes_hidden:
                changes = VersionedRows((), after)
            if changes.rows or self._clock.now_ms() >= until_ms:
                return Ok(changes)
            await self._clock.sleep_ms(_POLL_MS)


def _unavailable(step: str, ran: Ran) -> Failure:
    return Failure(Reason.STORE_UNAVAILABLE, step, peer="store", ran=ran)
