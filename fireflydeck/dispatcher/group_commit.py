"""Group commit: batches conditional inserts of concurrent requests into transactions."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, field
from expression import Result

from fireflydeck.core import Clock, Failure, Reason
from fireflydeck.tables import ABSENT, Check, Put, TableService, Transaction

__all__ = ["GroupCommit"]

_COALESCE_MS = 2
_MAX_ROWS = 50


@define(eq=False)
class _Insert:
    put: Put
    done: anyio.Event = field(factory=anyio.Event)
    result: Result[None, Failure] | None = None

    def complete(self, result: Result[None, Failure]) -> None:
        self.result = result
        self.done.set()


class GroupCommit:
    """Inserts rows on condition that they don't exist yet.

    Inserts that arrive within a few milliseconds share a transaction. If it fails with a conflict,
    each of its inserts is committed in a separate transaction.

    Parameters
    ----------
    tables
        The table service.
    clock
        Source of time.
    count
        Called with the outcome of each transaction, for a metric.
    """

    def __init__(
        self, tables: TableService, clock: Clock, count: Callable[[str], None] = lambda _: None
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._count = count
        self._waiting: list[_Insert] = []
        self._wake = anyio.Event()

    def start(self, tasks: TaskGroup) -> None:
        """Start the task that commits the inserts."""
        tasks.start_soon(self._commit_forever)

    async def insert(self, table: str, key: str, value: Any) -> Result[None, Failure]:
        """Insert a row; fails with `CONFLICT` if the row exists."""
        insert = _Insert(Put(table, key, value))
        self._waiting.append(insert)
        self._wake.set()
        try:
            await insert.done.wait()
        except BaseException:
            if insert in self._waiting:
                self._waiting.remove(insert)
            raise
        assert insert.result is not None
        return insert.result

    async def _commit_forever(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                await self._clock.sleep_ms(_COALESCE_MS)
                batch = self._next_batch()
                if not self._waiting:
                    self._wake = anyio.Event()
                if batch:
                    tasks.start_soon(self._commit, batch)

    def _next_batch(self) -> list[_Insert]:
        """Remove and return waiting inserts, at most one for each row.

        A transaction makes all its checks before its writes, so two inserts of the same row in one
        transaction would both succeed.
        """
        batch: dict[tuple[str, str], _Insert] = {}
        remaining: list[_Insert] = []
        for insert in self._waiting:
            row = (insert.put.table, insert.put.key)
            if row in batch or len(batch) == _MAX_ROWS:
                remaining.append(insert)
            else:
                batch[row] = insert
        self._waiting = remaining
        return list(batch.values())

    async def _commit(self, batch: list[_Insert]) -> None:
        result = await self._tables.commit(_transaction(batch))
        self._count("ok" if result.is_ok() else result.error.reason.value)
        is_conflict = result.is_error() and result.error.reason is Reason.CONFLICT
        if is_conflict and len(batch) > 1:
            for insert in batch:
                await self._commit([insert])
            return
        for insert in batch:
            insert.complete(result)


def _transaction(batch: list[_Insert]) -> Transaction:
    puts = tuple(insert.put for insert in batch)
    return Transaction(checks=tuple(Check(put.table, put.key, ABSENT) for put in puts), puts=puts)
