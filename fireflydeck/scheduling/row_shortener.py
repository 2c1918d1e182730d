"""Shortens the rows of jobs that have ended."""

from attrs import frozen

from fireflydeck.core import Clock, Reason
from fireflydeck.core.rows import RowCondition, RowKey, RowStore, RowTransaction, RowWrite
from fireflydeck.kernel import Event, EventLog
from fireflydeck.workload.life import JobOutcome
from fireflydeck.workload.records import encode_ended_row, job_key

__all__ = ["JobRowShortener"]

_ROUND_MS = 1500
_LEAST_JOBS = 8
"""Jobs of one partition that are worth a transaction."""
_MAX_JOBS = 40
"""Each takes two of a transaction's hundred entries."""
_TIMEOUT_MS = 1200


@frozen
class _LongRow:
    """The row of an ended job, at the version that it was read at."""

    key: RowKey
    version: int
    outcome: JobOutcome


class JobRowShortener:
    """Replaces the rows of ended jobs by their outcomes.

    A process that takes over reads the rows of all retained jobs; what ended jobs consisted of
    would be most of that. A row is replaced only at the version that it had when the job was
    read, so a row that was removed in the meantime does not come back.
    """

    def __init__(self, store: RowStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._rows: dict[str, list[_LongRow]] = {}

    def add(self, job_id: str, version: int, outcome: JobOutcome) -> None:
        """Shorten the row of a job whose outcome is stored.

        Parameters
        ----------
        version
            Version of the row that still has the whole job.
        """
        key = job_key(job_id)
        self._rows.setdefault(key.partition, []).append(_LongRow(key, version, outcome))

    async def run(self) -> None:
        """Shorten rows in rounds until cancelled."""
        while True:
            await self._clock.sleep_ms(_ROUND_MS)
            for rows in list(self._rows.values()):
                while len(rows) >= _LEAST_JOBS and await self._shorten(rows[:_MAX_JOBS]):
                    del rows[:_MAX_JOBS]

    async def _shorten(self, rows: list[_LongRow]) -> bool:
        """Shorten rows of one partition; false if that has to be tried again."""
        transaction = RowTransaction(
            conditions=tuple(RowCondition(row.key, row.version) for row in rows),
            writes=tuple(RowWrite(row.key, encode_ended_row(row.outcome)) for row in rows),
        )
        result = await self._store.commit(transaction, timeout_ms=_TIMEOUT_MS)
        is_settled = result.is_ok() or result.error.reason == Reason.CONFLICT
        if is_settled:
            self._log.emit(Event.ROWS_SHORTENED, jobs=len(rows), stored=result.is_ok())
        return is_settled
