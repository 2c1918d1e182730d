"""Group commits of the progress of jobs."""

from collections.abc import Callable

import anyio

from fireflydeck.core import Clock, Failure, Reason
from fireflydeck.core.rows import RowKey, RowWrite
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.workload.lifecycle import Job, JobOutcome
from fireflydeck.workload.progress import encode_progress
from fireflydeck.workload.records import (
    encode_outcome,
    outcome_key,
    progress_key,
)

__all__ = ["ProgressJournal"]

_BATCH_DELAY_MS = 15
_REFUSED_RETRY_MS = 1000
"""Pause before an outcome that was refused for good is sent again."""
_MAX_JOBS_PER_COMMIT = 45
"""Each job takes at most two of the hundred entries of a transaction."""


class ProgressJournal:
    """Writer that batches changed jobs and commits them together.

    Parameters
    ----------
    on_commit
        Called with the number of a commit once it and all earlier ones are stored.
    fail_job
        Gives a job the outcome `failed` and stops its runs.
    """

    def __init__(
        self,
        lease: LeaseKeeper,
        clock: Clock,
        log: EventLog,
        on_commit: Callable[[int], None],
        fail_job: Callable[[Job], None],
    ) -> None:
        self._lease = lease
        self._clock = clock
        self._log = log
        self._on_commit = on_commit
        self._fail_job = fail_job
        self._dirty: dict[str, Job] = {}
        # Number of the commit that each job waits for.
        self._commit_numbers: dict[str, int] = {}
        self._next_commit_number = 1
        self._wake = anyio.Event()

    def record(self, job: Job) -> int:
        """Schedule the job's progress for the next commit and return the number of that commit."""
        self._dirty[job.id] = job
        self._wake.set()
        self._commit_numbers[job.id] = self._next_commit_number
        return self._next_commit_number

    def pending_commit(self, job: Job) -> int:
        """Return the number of the commit that stores the job's state, or 0 if it is stored."""
        return self._commit_numbers.get(job.id, 0)

    async def run(self) -> None:
        """Commit until the lease is lost or the task is cancelled."""
        while True:
            await self._wake.wait()
            await self._clock.sleep_ms(_BATCH_DELAY_MS)
            self._wake = anyio.Event()
            jobs = list(self._dirty.values())
            self._dirty = {}
            commit_number = self._next_commit_number
            self._next_commit_number += 1
            for first in range(0, len(jobs), _MAX_JOBS_PER_COMMIT):
                if not await self._commit(jobs[first : first + _MAX_JOBS_PER_COMMIT]):
                    return
            for job in jobs:
                if self._commit_numbers.get(job.id) == commit_number:
                    del self._commit_numbers[job.id]
            self._on_commit(commit_number)

    async def _commit(self, jobs: list[Job]) -> bool:
        """Store the progress or the outcomes of jobs; return whether the lease is still held.

        If the store refuses a commit for good, its jobs are stored in smaller commits. A job whose
        progress is refused alone is failed, since its tasks could run again under a later holder.
        """
        while True:
            failure = await self._store(jobs)
            if failure is None:
                return True
            if failure.reason != Reason.BAD_REQUEST:
                return False
            if len(jobs) > 1:
                middle = len(jobs) // 2
                return await self._commit(jobs[:middle]) and await self._commit(jobs[middle:])
            await self._on_refused(jobs[0], failure)

    async def _on_refused(self, job: Job, failure: Failure) -> None:
        self._log.emit(Event.PROGRESS_REFUSED, job=job.id, detail=failure.detail)
        if job.is_open:
            self._fail_job(job)
        else:
            await self._clock.sleep_ms(_REFUSED_RETRY_MS)

    async def _store(self, jobs: list[Job]) -> Failure | None:
        writes: list[RowWrite] = []
        removals: list[RowKey] = []
        ending: list[tuple[Job, JobOutcome]] = []
        for job in jobs:
            outcome = JobOutcome.CANCELLED if job.cancelled and not job.outcome else job.outcome
            if outcome is None:
                writes.append(RowWrite(progress_key(job.id), encode_progress(job)))
                continue
            content = encode_outcome(outcome, self._clock.wall_ms())
            writes.append(RowWrite(outcome_key(job.id), content))
            removals.append(progress_key(job.id))
            ending.append((job, outcome))
        failure = await self._lease.commit(writes, removals)
        if failure is not None:
            return failure
        for job, outcome in ending:
            self._record_outcome(job, outcome)
        return None

    def _record_outcome(self, job: Job, outcome: JobOutcome) -> None:
        if not job.outcome_stored:
            self._log.emit(Event.JOB_ENDED, job=job.id, outcome=outcome.value)
        job.outcome = outcome
        job.outcome_stored = True
