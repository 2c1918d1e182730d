"""Removal of the rows of jobs that ended long ago, and of left refusals."""

from attrs import Factory, define, field

from fireflydeck.core import Clock
from fireflydeck.core.rows import RowStore, RowTransaction
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.scheduling.job_tracker import JobTracker
from fireflydeck.scheduling.refusal_retention import RefusalRetention
from fireflydeck.workload.records import cancellation_key, job_key, outcome_key

__all__ = ["Retention"]

_INTERVAL_MS = 10_000
_RETENTION_FACTOR = 2
"""Outcomes are kept for this many times the time for which callers may query them."""
_MAX_JOBS_PER_COMMIT = 40
"""Each job takes at most two of the hundred entries of a transaction."""
_COMMIT_TIMEOUT_MS = 1200


@define(eq=False, kw_only=True)
class Retention:
    """Service that removes ended jobs: first the rows of the job, then its outcome.

    A job whose outcome is missing would be run again, so the outcome is removed only once the
    removal of the job's row is certain.

    Parameters
    ----------
    status_ms
        Time for which callers may query an outcome, in milliseconds.
    """

    store: RowStore
    lease: LeaseKeeper
    job_tracker: JobTracker
    clock: Clock
    log: EventLog
    status_ms: int
    _refusals: RefusalRetention = field(
        default=Factory(lambda self: RefusalRetention(self.store, self.clock), takes_self=True),
        init=False,
    )

    async def run(self) -> None:
        """Remove old jobs at regular intervals until cancelled."""
        while True:
            await self.clock.sleep_ms(_INTERVAL_MS)
            if self.lease.is_valid():
                await self.remove_old()
                await self._refusals.remove_if_due()

    async def remove_old(self) -> int:
        """Remove the jobs that ended long ago and return their number."""
        oldest_ms = self.clock.wall_ms() - self.status_ms * _RETENTION_FACTOR
        removed = 0
        for job_ids in self._batches(self.job_tracker.ended_before(oldest_ms)):
            if not await self._remove(job_ids):
                break
            removed += len(job_ids)
        if removed > 0:
            self.log.emit(Event.JOBS_REMOVED, jobs=removed)
        return removed

    def _batches(self, job_ids: list[str]) -> list[list[str]]:
        """Return the jobs in batches, each from a single partition."""
        by_partition: dict[str, list[str]] = {}
        for job_id in job_ids:
            by_partition.setdefault(job_key(job_id).partition, []).append(job_id)
        return [
            ids[first : first + _MAX_JOBS_PER_COMMIT]
            for ids in by_partition.values()
            for first in range(0, len(ids), _MAX_JOBS_PER_COMMIT)
        ]

    async def _remove(self, job_ids: list[str]) -> bool:
        """Remove jobs of one partition and return whether their removal is certain."""
        keys = [key for job_id in job_ids for key in (job_key(job_id), cancellation_key(job_id))]
        transaction = RowTransaction(removals=tuple(keys))
        result = await self.store.commit(transaction, timeout_ms=_COMMIT_TIMEOUT_MS)
        if result.is_error():
            return False
        outcomes = [outcome_key(job_id) for job_id in job_ids]
        if await self.lease.commit([], outcomes) is not None:
            return False
        self.job_tracker.forget(job_ids)
        return True
