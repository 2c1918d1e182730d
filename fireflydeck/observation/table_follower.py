"""Follows a table of the store."""

from abc import ABC, abstractmethod

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.core.rows import RowChanges, RowKey, RowStore, StoredRow
from fireflydeck.kernel import EventLog, Registry, Service, StoreHealth, keep_running

__all__ = ["TableFollower"]

_WAIT_MS = 1000
_READ_TIMEOUT_MS = 2000
_RETRY_MS = 100
_PARTITIONS_AT_A_TIME = 4
"""More would keep the process's other calls waiting on a slow link."""


class TableFollower(Service, ABC):
    """Keeps a copy of a table's rows, by a full read and then by its changes.

    After a lost history the table is read again; rows that are missing then count as deleted.

    Parameters
    ----------
    partitions
        Partitions of the table.
    pause_ms
        Pause between two calls for changes.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        log: EventLog,
        *,
        table: str,
        partitions: tuple[str, ...] = ("",),
        pause_ms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._table = table
        self._partitions = partitions
        self._pause_ms = pause_ms
        self._versions: dict[RowKey, int] = {}
        self._confirmed_ms: int | None = None
        self._health = StoreHealth(log, table)
        self._loaded = anyio.Event()

    async def wait_loaded(self) -> None:
        """Wait until the table was read once as a whole."""
        await self._loaded.wait()

    @property
    def age_ms(self) -> int | None:
        """Age of what is known, in milliseconds; `None` before the first read."""
        if self._confirmed_ms is None:
            return None
        return self._clock.now_ms() - self._confirmed_ms

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed; what is known may be old."""
        return self._health.is_lost

    @abstractmethod
    def apply(self, row: StoredRow) -> None:
        """Take over a row that is newer than the one known, or deleted."""

    def applied(self) -> None:
        """React after a batch of rows was taken over."""

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Begin to follow."""
        tasks.start_soon(keep_running, self._clock, self._log, self.name, self.follow)

    def offer(self, row: StoredRow) -> None:
        """Take over a row that another process stored, before the store's changes tell of it."""
        if self._loaded.is_set():
            self._take(row)
            self.applied()

    async def follow(self) -> None:
        """Follow until cancelled."""
        while True:
            version = await self._read_all()
            if version is not None:
                await self._follow_changes(version)
            await self._clock.sleep_ms(_RETRY_MS)

    async def _read_all(self) -> int | None:
        sent_ms = self._clock.now_ms()
        pages: list[RowChanges] = []
        limiter = anyio.CapacityLimiter(_PARTITIONS_AT_A_TIME)
        async with anyio.create_task_group() as tasks:
            for partition in self._partitions:
                tasks.start_soon(self._read_partition, partition, limiter, pages)
        if len(pages) < len(self._partitions):
            return None
        found = {row.id: row for page in pages for row in page.rows}
        version = min(page.version for page in pages)
        missing = [
            key for key, known in self._versions.items() if key not in found and known <= version
        ]
        for key in missing:
            self._take(StoredRow(key, b"", version, deleted=True))
        for row in found.values():
            self._take(row)
        self._confirm(sent_ms)
        self._loaded.set()
        return version

    async def _read_partition(
        self, partition: str, limiter: anyio.CapacityLimiter, pages: list[RowChanges]
    ) -> None:
        async with limiter:
            result = await self._store.read(self._table, partition, timeout_ms=_READ_TIMEOUT_MS)
        if result.is_error():
            self._health.note_failure(result.error)
            return
        pages.append(result.ok)

    async def _follow_changes(self, version: int) -> None:
        while True:
            sent_ms = self._clock.now_ms()
            result = await self._store.changes(self._table, after=version, wait_ms=_WAIT_MS)
            if result.is_error():
                self._health.note_failure(result.error)
                return
            for row in result.ok.rows:
                self._take(row)
            version = max(version, result.ok.version)
            self._confirm(sent_ms)
            await self._clock.sleep_ms(self._pause_ms)

    def _take(self, row: StoredRow) -> None:
        known = self._versions.get(row.id, 0)
        if row.version < known or (row.version == known and not row.deleted):
            return
        if row.deleted:
            self._versions.pop(row.id, None)
        else:
            self._versions[row.id] = row.version
        self.apply(row)

    def _confirm(self, sent_ms: int) -> None:
        self._confirmed_ms = sent_ms
        self._health.note_answer()
        self.applied()
