"""Base class of services that keep a copy of a table of the store."""

import traceback
from abc import ABC, abstractmethod

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.core.rows import RowStore, StoredRow, VersionedRows
from fireflydeck.kernel import Event, EventLog, Registry, Service, StoreHealth, keep_running
from fireflydeck.observation.row_versions import RowVersions

__all__ = ["TableFollower"]

_CHANGES_WAIT_MS = 1000
_READ_TIMEOUT_MS = 2000
_RETRY_DELAY_MS = 100
_MAX_CONCURRENT_READS = 4
"""On a slow link, more concurrent reads would delay the other calls of the process."""


class TableFollower(Service, ABC):
    """Copy of a table's rows; they are read once in full, and then the table's changes are applied.

    If a call fails, or the store has discarded the changes, the whole table is read again. Rows
    that are missing then count as deleted.

    Parameters
    ----------
    partitions
        Partitions of the table.
    pause_ms
        Pause between two calls for changes, in milliseconds.
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
        self._versions = RowVersions(clock)
        self._confirmed_ms: int | None = None
        self._health = StoreHealth(log, table)
        self._loaded = anyio.Event()

    async def wait_loaded(self) -> None:
        """Wait until the whole table has been read once."""
        await self._loaded.wait()

    @property
    def is_loaded(self) -> bool:
        """Return whether the whole table has been read once."""
        return self._loaded.is_set()

    @property
    def age_ms(self) -> int | None:
        """Return the age of the copy in milliseconds, or `None` before the first full read."""
        if self._confirmed_ms is None:
            return None
        return self._clock.now_ms() - self._confirmed_ms

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the last call to the store failed, so that the copy may be outdated."""
        return self._health.is_failing

    @abstractmethod
    def apply(self, row: StoredRow) -> None:
        """Apply a new version of a row, or its deletion, to the copy."""

    def on_batch_applied(self) -> None:
        """Handle the end of a batch of rows; called after each batch, does nothing by default."""

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to follow the table."""
        tasks.start_soon(keep_running, self._clock, self._log, self.name, self.follow)

    def apply_announced(self, row: StoredRow) -> None:
        """Apply a row that another process announced, before the store reports it as a change.

        Does nothing before the first full read.
        """
        if self._loaded.is_set():
            self._apply_if_newer(row)
            self.on_batch_applied()

    async def follow(self) -> None:
        """Follow the table until cancelled."""
        while True:
            version = await self.read_all()
            if version is not None:
                await self._follow_changes(version)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)

    async def read_all(self) -> int | None:
        """Read all partitions; return the oldest of their versions, or `None` after a failure."""
        sent_ms = self._clock.now_ms()
        pages: list[VersionedRows] = []
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_READS)
        async with anyio.create_task_group() as tasks:
            for partition in self._partitions:
                tasks.start_soon(self._read_partition, partition, limiter, pages)
        if len(pages) < len(self._partitions):
            return None
        found = {row.id: row for page in pages for row in page.rows}
        version = min(page.version for page in pages)
        for key in self._versions.keys_up_to(version):
            if key not in found:
                self._apply_if_newer(StoredRow(key, b"", version, deleted=True))
        for row in found.values():
            self._apply_if_newer(row)
        self._confirm(sent_ms)
        self._loaded.set()
        return version

    async def _read_partition(
        self, partition: str, limiter: anyio.CapacityLimiter, pages: list[VersionedRows]
    ) -> None:
        async with limiter:
            result = await self._store.read(self._table, partition, timeout_ms=_READ_TIMEOUT_MS)
        if result.is_error():
            self._health.record_failure(result.error)
            return
        pages.append(result.ok)

    async def _follow_changes(self, version: int) -> None:
        while True:
            sent_ms = self._clock.now_ms()
            result = await self._store.read_changes(
                self._table, after=version, wait_ms=_CHANGES_WAIT_MS
            )
            if result.is_error():
                self._health.record_failure(result.error)
                return
            for row in result.ok.rows:
                self._apply_if_newer(row)
            version = max(version, result.ok.version)
            self._confirm(sent_ms)
            await self._clock.sleep_ms(self._pause_ms)

    def _apply_if_newer(self, row: StoredRow) -> None:
        """Apply a row if it is newer than the known one, or its deletion."""
        if not self._versions.is_newer(row):
            return
        self._versions.record(row)
        try:
            self.apply(row)
        except Exception as error:  # the other rows of the batch must still be applied
            self._log.emit(
                Event.ROW_NOT_APPLIED,
                table=self._table,
                key=row.id.key,
                version=row.version,
                error=type(error).__name__,
                trace=traceback.format_exc(limit=-6),
            )

    def _confirm(self, sent_ms: int) -> None:
        self._confirmed_ms = sent_ms
        self._versions.forget_old_deletions()
        self._health.record_answer()
        self.on_batch_applied()
