"""Shortening of the rows of ended jobs."""

from attrs import frozen

from fireflydeck.core import Clock, Reason
from fireflydeck.core.rows import RowCondition, RowKey, RowStore, RowTransaction, RowWrite
from fireflydeck.kernel import Event, EventLog
from fireflydeck.workload.lifecycle import JobOutcome
from fireflydeck.workload.records import encode_ended_row, job_key

__all__ = ["JobRowShortener"]

_INTERVAL_MS = 1500
_MIN_JOBS_PER_COMMIT = 8
"""Rows of a partition wait until there are this many; fewer are not worth a transaction."""
_MAX_JOBS_PER_COMMIT = 40
"""Each job takes two of the hundred entries of a transaction."""
_COMMIT_TIMEOUT_MS = 1200


@frozen
class _FullRow:
    """Row of an ended job that still contains the whole job, at the version that was read."""

    key: RowKey
    version: int
    outcome: JobOutcome


class JobRowShortener:
    """Service that replaces the rows of ended jobs by their outcomes.

    A process that takes over the lease reads the rows of all retained jobs; the content of ended
    jobs would be most of that data. A row is replaced only at the version that it had when the
    job was read, so a row that was removed in the meantime is not written again.
    """

    def __init__(self, store: RowStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._rows: dict[str, list[_FullRow]] = {}

    def add(self, job_id: str, version: int, outcome: JobOutcome) -> None:
        """Schedule the row of a job whose outcome is stored for shortening.

        Parameters
        ----------
        version
            Version of the row that still contains the whole job.
        """
        key = job_key(job_id)
        self._rows.setdefault(key.partition, []).append(_FullRow(key, version, outcome))

    async def run(self) -> None:
        """Shorten rows at regular intervals until cancelled."""
        while True:
            await self._clock.sleep_ms(_INTERVAL_MS)
            for rows in list(self._rows.values()):
                while len(rows) >= _MIN_JOBS_PER_COMMIT and await self._shorten(
                    rows[:_MAX_JOBS_PER_COMMIT]
                ):
                    del rows[:_MAX_JOBS_PER_COMMIT]

    async def _shorten(self, rows: list[_FullRow]) -> bool:
        """Shorten rows of one partition and return whether no retry is needed.

        After a conflict the rows stay as they are: at least one has changed since it was read.
        """
        transaction = RowTransaction(
            conditions=tuple(RowCondition(row.key, row.version) for row in rows),
            writes=tuple(RowWrite(row.key, encode_ended_row(row.outcome)) for row in rows),
        )
        result = await self._store.commit(transaction, timeout_ms=_COMMIT_TIMEOUT_MS)
        is_resolved = result.is_ok() or result.error.reason == Reason.CONFLICT
        if is_resolved:
            self._log.emit(Event.ROWS_SHORTENED, jobs=len(rows), stored=result.is_ok())
        return is_resolved
