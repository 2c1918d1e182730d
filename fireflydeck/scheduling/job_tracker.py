"""Tracking of the accepted jobs by the lease holder."""

from collections.abc import Callable, Iterable

from fireflydeck.core import Clock, Failure
from fireflydeck.core.rows import RowStore, StoredRow
from fireflydeck.kernel import Event, EventLog
from fireflydeck.observation.table_follower import TableFollower
from fireflydeck.scheduling.row_shortener import JobRowShortener
from fireflydeck.workload.lifecycle import (
    Job,
    JobOutcome,
    create_due_occurrences,
    may_have_copy,
    restore_progress,
)
from fireflydeck.workload.progress import JobProgress, decode_progress
from fireflydeck.workload.records import (
    FLEET_PARTITION,
    JOB_PARTITIONS,
    JOBS_TABLE,
    OUTCOMES_TABLE,
    PROGRESS_TABLE,
    decode_ended_row,
    decode_outcome,
    decode_outcome_time_ms,
    is_cancellation,
    job_id_of,
)
from fireflydeck.workload.specification import decode_job_spec

__all__ = ["JobTracker"]

_POLL_PAUSE_MS = 10
_READ_TIMEOUT_MS = 2000


class JobTracker(TableFollower):
    """Tracker of jobs that follows submissions and cancellations in the store.

    A job is closed once its outcome is stored and no run of it is left. Only its outcome is kept
    then, and its row is shortened. So a job with an outcome and a full row may still have runs that
    are being stopped.

    Parameters
    ----------
    on_submitted, on_cancelled
        Called after a job became known or was cancelled.
    on_applied
        Called after a batch of rows was applied.
    shortener
        Shortens the rows of closed jobs.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        log: EventLog,
        *,
        on_submitted: Callable[[Job], None],
        on_cancelled: Callable[[Job], None],
        on_applied: Callable[[], None],
        shortener: JobRowShortener,
    ) -> None:
        super().__init__(
            store, clock, log, table=JOBS_TABLE, partitions=JOB_PARTITIONS, pause_ms=_POLL_PAUSE_MS
        )
        self._on_submitted = on_submitted
        self._on_cancelled = on_cancelled
        self._on_applied = on_applied
        self._shortener = shortener
        self._jobs: dict[str, Job] = {}
        self._early_cancellations: set[str] = set()
        self._outcomes: dict[str, JobOutcome] = {}
        self._ended_ms: dict[str, int] = {}
        self._progress: dict[str, JobProgress] = {}
        # Jobs whose outcome or progress can't be read: their tasks may have been done.
        self._unreadable: set[str] = set()

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "job-book"

    @property
    def jobs(self) -> dict[str, Job]:
        """Return the jobs that are not closed yet, by id."""
        return self._jobs

    def outcome(self, job_id: str) -> JobOutcome | None:
        """Return the stored outcome of a job, or `None`."""
        return self._outcomes.get(job_id)

    def job(self, job_id: str) -> Job | None:
        """Return a job that is not closed yet, or `None`."""
        return self._jobs.get(job_id)

    def close_job(self, job: Job) -> None:
        """Keep only the outcome of a job, if it is stored; expects that no task of the job runs."""
        if job.outcome is not None and job.outcome_stored:
            self._outcomes[job.id] = job.outcome
            self._ended_ms.setdefault(job.id, self._clock.wall_ms())
            self._jobs.pop(job.id, None)
            self._shortener.add(job.id, job.stored_version, job.outcome)

    def ended_before(self, wall_ms: int) -> list[str]:
        """Return the ids of jobs whose outcome was stored before a time, in Unix milliseconds."""
        return [job_id for job_id, ended_ms in self._ended_ms.items() if ended_ms < wall_ms]

    def forget(self, job_ids: Iterable[str]) -> None:
        """Forget ended jobs whose rows have been removed."""
        for job_id in job_ids:
            self._outcomes.pop(job_id, None)
            self._ended_ms.pop(job_id, None)

    async def load(self) -> Failure | None:
        """Read the outcomes and the progress that earlier holders of the lease stored."""
        outcomes = await self._store.read(
            OUTCOMES_TABLE, FLEET_PARTITION, timeout_ms=_READ_TIMEOUT_MS
        )
        if outcomes.is_error():
            return outcomes.error
        progress = await self._store.read(
            PROGRESS_TABLE, FLEET_PARTITION, timeout_ms=_READ_TIMEOUT_MS
        )
        if progress.is_error():
            return progress.error
        for row in outcomes.ok.rows:
            self._load_row(row, self._load_outcome)
        for row in progress.ok.rows:
            self._load_row(row, self._load_progress)
        return None

    def _load_row(self, row: StoredRow, load: Callable[[str, bytes], None]) -> None:
        """Load the outcome or the progress of a job; without it the job must not be started."""
        job_id = row.id.key
        try:
            load(job_id, row.value)
        except ValueError as error:
            self._unreadable.add(job_id)
            self._log_unreadable(job_id, row, error)

    def _load_outcome(self, job_id: str, content: bytes) -> None:
        self._ended_ms[job_id] = decode_outcome_time_ms(content)
        self._outcomes[job_id] = decode_outcome(content)

    def _load_progress(self, job_id: str, content: bytes) -> None:
        self._progress[job_id] = decode_progress(job_id, content)

    def apply(self, row: StoredRow) -> None:
        """Apply a submission, a cancellation or a removal."""
        job_id = job_id_of(row.id)
        if row.deleted:
            self.forget([job_id])
            return
        outcome = self._outcomes.get(job_id)
        if outcome is not None:
            self._shorten(job_id, row, outcome)
        elif is_cancellation(row.id):
            self._cancel(job_id)
        elif job_id not in self._jobs:
            self._submit(job_id, row)

    def on_batch_applied(self) -> None:
        """Report that a batch of rows was applied."""
        self._on_applied()

    def _shorten(self, job_id: str, row: StoredRow, outcome: JobOutcome) -> None:
        """Shorten the row of an ended job, or keep the job if runs of it may be left."""
        if is_cancellation(row.id) or job_id in self._jobs:
            return
        try:
            is_full_row = decode_ended_row(row.value) is None
        except ValueError as error:
            self._log_unreadable(job_id, row, error)
            return
        if not is_full_row:
            return
        self._keep_ended(job_id, row, outcome)

    def _keep_ended(self, job_id: str, row: StoredRow, outcome: JobOutcome) -> None:
        """Keep an ended job, so that runs which are still being stopped are known as its own.

        A completed job has none, unless a task of it may have had a copy.
        """
        is_completed = outcome == JobOutcome.COMPLETED
        try:
            job = self._decode_job(job_id, row)
        except ValueError as error:
            if is_completed:
                self._shortener.add(job_id, row.version, outcome)
            else:
                self._log_unreadable(job_id, row, error)
            return
        if is_completed and not any(map(may_have_copy, job.spec.steps)):
            self._shortener.add(job_id, row.version, outcome)
            return
        job.outcome = outcome
        job.outcome_stored = True
        self._jobs[job_id] = job

    def _log_unreadable(self, job_id: str, row: StoredRow, error: ValueError) -> None:
        self._log.emit(
            Event.DOCUMENT_UNREADABLE, document=job_id, version=row.version, detail=str(error)
        )

    def _submit(self, job_id: str, row: StoredRow) -> None:
        try:
            ended = decode_ended_row(row.value)
            if ended is not None:
                self._outcomes[job_id] = ended
                return
            if job_id in self._unreadable:
                return
            job = self._decode_job(job_id, row)
        except ValueError as error:
            self._log_unreadable(job_id, row, error)
            return
        progress = self._progress.pop(job_id, None)
        if progress is not None:
            restore_progress(
                job,
                progress.done,
                progress.failed_runs,
                done_occurrences=progress.done_occurrences,
            )
        self._jobs[job_id] = job
        self._on_submitted(job)
        if job_id in self._early_cancellations:
            self._cancel(job_id)

    def _decode_job(self, job_id: str, row: StoredRow) -> Job:
        """Decode a job with the tasks of the occurrences that are due.

        Raises
        ------
        ValueError
            If the row is not the submission of the job.
        """
        spec = decode_job_spec(row.value)
        if spec.job_id != job_id:
            raise ValueError("the row of another job")
        age_ms = max(0, self._clock.wall_ms() - spec.accepted_ms)
        job = Job(spec, row.version, self._clock.now_ms() - age_ms)
        create_due_occurrences(job, self._clock.wall_ms())
        return job

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            self._early_cancellations.add(job_id)
        elif not job.cancelled:
            job.cancelled = True
            self._on_cancelled(job)
