"""Rows of refused jobs that this process wrote, and their removal."""

import msgpack
from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.core import Clock, Reason
from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowStore,
    RowTransaction,
)
from fireflydeck.kernel import EventLog, Metrics, Registry, Service, keep_running
from fireflydeck.workload.records import refusal_key

__all__ = ["MAX_TELLING_MS", "RefusalRows"]

MAX_TELLING_MS = 300
"""A refusal is only told within this time after its write was sent. A job replaces no refusal that
is younger, since the caller may not have been told of it when it sent the job again."""
_RETENTION_MS = 60_000
"""A write without an answer may take effect up to 12 s later, and must then find the row."""
_INTERVAL_MS = 2000
_CALL_TIMEOUT_MS = 1200
_MAX_ROWS = 20_000
"""Bounds the memory at about 6 MB; rows beyond it are left to the retention of the lease holder."""
_MAX_ROWS_PER_COMMIT = 40
"""Each row takes two of the hundred entries of a transaction."""


@frozen
class _KeptRow:
    """Refusal row that this process wrote.

    Parameters
    ----------
    version
        Version of the row; `ABSENT_VERSION` if its write was not answered.
    """

    job_id: str
    value: bytes
    version: int
    written_ms: int


class RefusalRows(Service):
    """Refusal rows that this process wrote in the last minute; it removes them afterwards.

    Only a row of the version that this process wrote is removed: a later refusal of the same job
    has its own minute.
    """

    def __init__(
        self, store: RowStore, clock: Clock, log: EventLog, metrics: Metrics, *, writer: str
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._writer = writer
        self._written = 0
        # By job id; the row that was written first comes first.
        self._rows: dict[str, _KeptRow] = {}

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "refusals"

    def state(self) -> dict[str, object]:
        """Return the state to dump."""
        return {"kept": len(self._rows)}

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to remove old rows."""
        tasks.start_soon(keep_running, self._clock, self._log, self.name, self.run)

    def new_value(self) -> bytes:
        """Return the value of the next row, which differs from that of all others."""
        self._written += 1
        return msgpack.packb([self._writer, self._clock.wall_ms(), self._written])

    def version_of(self, job_id: str) -> int:
        """Return the version of a job's row, or `ABSENT_VERSION` if none is known."""
        found = self._rows.get(job_id)
        return found.version if found is not None else ABSENT_VERSION

    def record(self, job_id: str, value: bytes, version: int) -> None:
        """Record a row that was written; with `ABSENT_VERSION` it is not known to be stored."""
        self._rows.pop(job_id, None)
        while len(self._rows) >= _MAX_ROWS:
            del self._rows[next(iter(self._rows))]
        self._rows[job_id] = _KeptRow(job_id, value, version, self._clock.now_ms())
        self._show_count()

    def forget(self, job_id: str) -> None:
        """Record that a job's row is gone."""
        if self._rows.pop(job_id, None) is not None:
            self._show_count()

    async def run(self) -> None:
        """Remove old rows at regular intervals until cancelled."""
        while True:
            await self._clock.sleep_ms(_INTERVAL_MS)
            await self.remove_old()

    async def remove_old(self) -> None:
        """Remove the rows that were written long ago; those that fail are tried again later."""
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        old = [row for row in self._rows.values() if row.written_ms <= oldest_ms]
        by_partition: dict[str, list[_KeptRow]] = {}
        for row in old:
            by_partition.setdefault(refusal_key(row.job_id).partition, []).append(row)
        for rows in by_partition.values():
            for first in range(0, len(rows), _MAX_ROWS_PER_COMMIT):
                if not await self._remove(rows[first : first + _MAX_ROWS_PER_COMMIT]):
                    return

    async def _remove(self, rows: list[_KeptRow]) -> bool:
        """Remove rows of one partition; return whether the store answered."""
        versions: dict[str, int] = {}
        for row in rows:
            version = row.version or await self._stored_version(row)
            if version is None:
                return False
            if version == ABSENT_VERSION:
                self._forget_row(row)
            else:
                versions[row.job_id] = version
        remaining = [row for row in rows if row.job_id in versions]
        return not remaining or await self._remove_versions(remaining, versions)

    async def _remove_versions(self, rows: list[_KeptRow], versions: dict[str, int]) -> bool:
        """Remove rows of these versions; on a conflict, remove each half on its own."""
        keys = {row.job_id: refusal_key(row.job_id) for row in rows}
        result = await self._store.commit(
            RowTransaction(
                conditions=tuple(
                    RowCondition(key, versions[job_id]) for job_id, key in keys.items()
                ),
                removals=tuple(keys.values()),
            ),
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        if result.is_error() and result.error.reason != Reason.CONFLICT:
            return False
        if result.is_error() and len(rows) > 1:
            middle = len(rows) // 2
            return await self._remove_versions(
                rows[:middle], versions
            ) and await self._remove_versions(rows[middle:], versions)
        for row in rows:
            self._forget_row(row)
        return True

    async def _stored_version(self, row: _KeptRow) -> int | None:
        """Return the version of a row whose write was not answered.

        Returns `ABSENT_VERSION` if it is not stored, and `None` if the store does not answer.
        """
        found = await self._store.read_row(refusal_key(row.job_id), timeout_ms=_CALL_TIMEOUT_MS)
        if found.is_error():
            return None
        is_stored = found.ok is not None and found.ok.value == row.value
        return found.ok.version if is_stored else ABSENT_VERSION

    def _forget_row(self, row: _KeptRow) -> None:
        """Forget a row unless a newer one of the same job was written in the meantime."""
        if self._rows.get(row.job_id) is row:
            self.forget(row.job_id)

    def _show_count(self) -> None:
        self._metrics.set("refusal_rows_kept", len(self._rows))
