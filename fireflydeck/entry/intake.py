"""Storage of submissions and cancellations, and reads of job states."""

from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from fireflydeck.entry.peer_interfaces import JobStateSource, SubmissionAnnouncer
from fireflydeck.entry.refusals import RefusalRows
from fireflydeck.entry.store_calls import StoreCalls, uncertain_if
from fireflydeck.entry.submission_attempts import SubmissionAttempts
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.entry.submission_writer import SubmissionWriter
from fireflydeck.kernel import EventLog, Metrics
from fireflydeck.observation.store_silence import StoreSilence
from fireflydeck.workload.records import (
    cancellation_key,
    decode_ended_row,
    decode_outcome,
    job_key,
    outcome_key,
    progress_key,
)
from fireflydeck.workload.specification import JobSpec

__all__ = ["Intake"]

_MIN_RETRY_AFTER_MS = 1000
_MAX_RETRY_AFTER_MS = 5000
"""A caller that is refused while the store is silent is told to wait for as long as the silence
has lasted, within these bounds, so that a few retries outlast an outage."""


class Intake:
    """Writes callers' submissions and cancellations to the store, and reads job states.

    Failures have `Ran.NO` if the job is certainly not stored and never will be, as far as this
    process knows: no attempt of its own to store it may have taken effect or may still do so.

    Parameters
    ----------
    silence
        Whether the store is silent; submissions are then not written. `None` if that is not known.
    state_source
        Source that may know a stored job when the store can't be asked, or without a read.
    refusals
        Refusal rows of this process; without them, nobody removes the rows that it writes.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        announcer: SubmissionAnnouncer,
        silence: StoreSilence | None = None,
        *,
        state_source: JobStateSource | None = None,
        refusals: RefusalRows | None = None,
    ) -> None:
        self._silence = silence or StoreSilence(clock)
        self._attempts = SubmissionAttempts(clock)
        self._state_source = state_source
        self._calls = StoreCalls(store, clock, self._silence)
        self._writer = SubmissionWriter(
            self._calls,
            clock,
            silence=self._silence,
            refusals=refusals or RefusalRows(store, clock, EventLog(), Metrics(), writer=""),
            announcer=announcer,
            is_known=self._is_known,
        )

    @property
    def attempts(self) -> SubmissionAttempts:
        """Return the recent attempts to store submissions."""
        return self._attempts

    async def submit(
        self,
        spec: JobSpec,
        *,
        deadline_ms: int,
        is_refused: bool = False,
        may_replace: bool = True,
    ) -> Result[SubmissionOutcome, Failure]:
        """Store a job or its refusal.

        A job whose id is stored already yields `SubmissionOutcome.KNOWN`, however it was submitted.

        Parameters
        ----------
        deadline_ms
            Time on the process's clock until which calls are retried, in milliseconds.
        is_refused
            Whether a refusal is to be stored, not the job.
        may_replace
            Whether the job may replace a refusal that was stored before.
        """
        if self._silence.is_silent:
            return await self.outcome_without_store(spec.job_id)
        result = await self._attempt(
            spec, deadline_ms, is_refused=is_refused, may_replace=may_replace
        )
        return result if result.is_ok() else await self._outcome_after(spec.job_id, result.error)

    async def _attempt(
        self, spec: JobSpec, deadline_ms: int, *, is_refused: bool, may_replace: bool
    ) -> Result[SubmissionOutcome, Failure]:
        """Store a job or its refusal, and record what this attempt makes of the job."""
        self._attempts.begin(spec.job_id)
        is_stored: bool | None = None
        try:
            result = await self._writer.settle(
                spec, deadline_ms, is_refused=is_refused, may_replace=may_replace
            )
            if result.is_ok():
                is_stored = result.ok != SubmissionOutcome.REFUSED
            elif result.error.ran == Ran.NO:
                is_stored = False
        finally:
            self._attempts.end(spec.job_id, is_stored=is_stored)
        if result.is_ok() and result.ok == SubmissionOutcome.REFUSED:
            self._attempts.settle(spec.job_id)
        return result

    async def _is_known(self, job_id: str) -> bool:
        """Return whether a job is known to be stored, without a call to the store."""
        return self._attempts.is_stored(job_id) or await self._is_known_to_holder(job_id)

    async def _is_known_to_holder(self, job_id: str) -> bool:
        if self._state_source is None:
            return False
        return await self._state_source.job_state(job_id) is not None

    async def outcome_without_store(self, job_id: str) -> Result[SubmissionOutcome, Failure]:
        """Return the outcome of a submission that is not written because the store is silent.

        The failure suggests when to retry.
        """
        if self._attempts.is_stored(job_id):
            return Ok(SubmissionOutcome.KNOWN)
        silent_ms = self._silence.duration_ms
        failure = Failure(
            Reason.STORE_UNAVAILABLE,
            "store.commit",
            detail=f"not sent, the last answer is {silent_ms} ms old",
            ran=Ran.NO,
            retry_after_ms=min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, silent_ms)),
        )
        return await self._outcome_after(job_id, failure)

    async def _outcome_after(
        self, job_id: str, failure: Failure
    ) -> Result[SubmissionOutcome, Failure]:
        """Return the outcome of a submission that this process failed to store.

        The lease holder may know the job, and earlier attempts may still store it.
        """
        if failure.reason == Reason.STORE_UNAVAILABLE and await self._is_known_to_holder(job_id):
            return Ok(SubmissionOutcome.KNOWN)
        return Error(uncertain_if(failure, self._attempts.may_be_stored(job_id)))

    async def cancel(self, job_id: str, *, deadline_ms: int) -> Result[bool, Failure]:
        """Store the cancellation of a job and return whether there is such a job."""
        key = job_key(job_id)
        while True:
            rows = await self._read_job_rows(job_id, deadline_ms)
            if rows.is_error():
                return Error(rows.error)
            by_key = {row.id: row for row in rows.ok}
            if key not in by_key:
                return Ok(False)
            cancellation = cancellation_key(job_id)
            if cancellation in by_key:
                return Ok(True)
            transaction = RowTransaction(
                conditions=(
                    RowCondition(key, by_key[key].version),
                    RowCondition(cancellation, ABSENT_VERSION),
                ),
                writes=(RowWrite(cancellation, b"\0"),),
            )
            result = await self._calls.commit(transaction, deadline_ms)
            if result.is_ok():
                return Ok(True)
            if result.error.reason != Reason.CONFLICT:
                return Error(result.error)

    async def read_state(self, job_id: str, *, deadline_ms: int) -> Result[str | None, Failure]:
        """Return the state of a job as callers see it, or `None` if there is no such job."""
        rows = await self._read_job_rows(job_id, deadline_ms)
        if rows.is_error():
            return Error(rows.error)
        by_key = {row.id: row for row in rows.ok}
        row = by_key.get(job_key(job_id))
        if row is None:
            return Ok(None)
        ended = decode_ended_row(row.value)
        if ended is not None:
            return Ok(ended.value)
        is_cancelled = cancellation_key(job_id) in by_key
        return await self._outcome_or_progress(
            job_id, "cancelled" if is_cancelled else "", deadline_ms
        )

    async def _outcome_or_progress(
        self, job_id: str, default: str, deadline_ms: int
    ) -> Result[str, Failure]:
        """Return the stored outcome of a job.

        Without a stored outcome, return `default`; if that is empty, return "running" or
        "queued", depending on whether progress is stored.
        """
        outcome = await self._calls.read_row(outcome_key(job_id), deadline_ms)
        if outcome.is_error():
            return Error(outcome.error)
        if outcome.ok is not None:
            return Ok(decode_outcome(outcome.ok.value).value)
        if default:
            return Ok(default)
        progress = await self._calls.read_row(progress_key(job_id), deadline_ms)
        return progress.map(lambda row: "queued" if row is None else "running")

    async def _read_job_rows(
        self, job_id: str, deadline_ms: int
    ) -> Result[tuple[StoredRow, ...], Failure]:
        """Return the row of a job and that of its cancellation, as far as they exist."""
        key = job_key(job_id)
        before = cancellation_key(job_id).key + "\0"
        return await self._calls.read_range(key.table, key.partition, key.key, before, deadline_ms)
