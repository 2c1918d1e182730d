"""Storage of submissions and cancellations, and reads of job states."""

from enum import StrEnum

from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowKey,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from fireflydeck.entry.peer_interfaces import SubmissionAnnouncer
from fireflydeck.entry.submission_attempts import SubmissionAttempts
from fireflydeck.observation.store_silence import StoreSilence
from fireflydeck.workload.records import (
    cancellation_key,
    decode_ended_row,
    decode_outcome,
    job_key,
    outcome_key,
    progress_key,
)
from fireflydeck.workload.specification import JobSpec, encode_job_spec

__all__ = ["Intake", "SubmissionOutcome"]

_CALL_TIMEOUT_MS = 1200
_MIN_CALL_TIMEOUT_MS = 50
_RETRY_DELAY_MS = 80
_MAX_REFUSED_RETRY_MS = 400
"""How long a call that the store refuses is retried before the caller's request is refused."""
_MAX_UNCERTAIN_RETRY_MS = 800
"""How long a call without an answer is retried; `CallerInterface` then forwards the request."""


_MIN_RETRY_AFTER_MS = 1000
_MAX_RETRY_AFTER_MS = 5000
"""A caller that is refused while the store is silent is told to wait for as long as the silence
has lasted, within these bounds, so that a few retries outlast an outage."""


class SubmissionOutcome(StrEnum):
    """Outcome of a submission whose job is stored.

    `ACCEPTED`: this call stored the job. `KNOWN`: a job with its id was stored already.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"


class Intake:
    """Writes callers' submissions and cancellations to the store, and reads job states.

    Failures have `Ran.NO` if the job is certainly not stored and never will be, as far as this
    process knows: no attempt of its own to store it may have taken effect or may still do so.

    Parameters
    ----------
    silence
        Whether the store is silent; submissions are then not written. `None` if that is not known.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        announcer: SubmissionAnnouncer,
        silence: StoreSilence | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._announcer = announcer
        self._silence = silence or StoreSilence(clock)
        self._attempts = SubmissionAttempts(clock)

    @property
    def attempts(self) -> SubmissionAttempts:
        """Return the recent attempts to store submissions."""
        return self._attempts

    async def submit(
        self, spec: JobSpec, *, deadline_ms: int
    ) -> Result[SubmissionOutcome, Failure]:
        """Store a job.

        A job whose id is stored already yields `SubmissionOutcome.KNOWN`, however it was submitted.

        Parameters
        ----------
        deadline_ms
            Time on the process's clock until which calls are retried, in milliseconds.
        """
        if self._silence.is_silent:
            return self.outcome_without_store(spec.job_id)
        self._attempts.begin(spec.job_id)
        is_stored: bool | None = None
        try:
            result = await self._insert(spec, deadline_ms)
            if result.is_ok():
                is_stored = True
            elif result.error.ran == Ran.NO:
                is_stored = False
        finally:
            self._attempts.end(spec.job_id, is_stored=is_stored)
        if is_stored is False and self._attempts.may_be_stored(spec.job_id):
            return Error(evolve(result.error, ran=Ran.UNKNOWN))
        return result

    def outcome_without_store(self, job_id: str) -> Result[SubmissionOutcome, Failure]:
        """Return the outcome of a submission that is not written because the store is silent.

        The failure suggests when to retry.
        """
        if self._attempts.is_stored(job_id):
            return Ok(SubmissionOutcome.KNOWN)
        silent_ms = self._silence.duration_ms
        return Error(
            Failure(
                Reason.STORE_UNAVAILABLE,
                "store.commit",
                detail=f"not sent, the last answer is {silent_ms} ms old",
                ran=Ran.UNKNOWN if self._attempts.may_be_stored(job_id) else Ran.NO,
                retry_after_ms=min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, silent_ms)),
            )
        )

    async def _insert(self, spec: JobSpec, deadline_ms: int) -> Result[SubmissionOutcome, Failure]:
        key = job_key(spec.job_id)
        content = encode_job_spec(spec)
        transaction = RowTransaction(
            conditions=(RowCondition(key, ABSENT_VERSION),),
            writes=(RowWrite(key, content),),
        )
        result = await self._commit(transaction, deadline_ms)
        if result.is_ok():
            self._announcer.announce(StoredRow(key, content, result.ok))
            return Ok(SubmissionOutcome.ACCEPTED)
        if result.error.reason == Reason.CONFLICT:
            return Ok(SubmissionOutcome.KNOWN)
        return Error(result.error)

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
            result = await self._commit(transaction, deadline_ms)
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
        outcome = await self._read_row(outcome_key(job_id), deadline_ms)
        if outcome.is_error():
            return Error(outcome.error)
        if outcome.ok is not None:
            return Ok(decode_outcome(outcome.ok.value).value)
        if default:
            return Ok(default)
        progress = await self._read_row(progress_key(job_id), deadline_ms)
        return progress.map(lambda row: "queued" if row is None else "running")

    async def _commit(self, transaction: RowTransaction, deadline_ms: int) -> Result[int, Failure]:
        """Commit a transaction, and retry for a limited time until the outcome is known.

        After a call without an answer, the refusal of a retry does not show that nothing is
        stored: the earlier call may still take effect. A conflict then means that it took effect,
        or that another caller's transaction did. While the store is silent, a transaction that is
        certainly not applied is not sent again, which would make its outcome unknown.
        """
        started_ms = self._clock.now_ms()
        uncertain: Failure | None = None
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            result = await self._store.commit(
                transaction,
                timeout_ms=max(_MIN_CALL_TIMEOUT_MS, min(_CALL_TIMEOUT_MS, remaining_ms)),
            )
            if result.is_ok() or result.error.reason == Reason.CONFLICT:
                return result
            if result.error.ran == Ran.UNKNOWN:
                uncertain = result.error
            elapsed_ms = self._clock.now_ms() - started_ms
            limit_ms = _MAX_REFUSED_RETRY_MS if uncertain is None else _MAX_UNCERTAIN_RETRY_MS
            if elapsed_ms > limit_ms or self._clock.now_ms() + _RETRY_DELAY_MS >= deadline_ms:
                return Error(uncertain or result.error)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            if uncertain is None and self._silence.is_silent:
                return Error(result.error)

    async def _read_job_rows(
        self, job_id: str, deadline_ms: int
    ) -> Result[tuple[StoredRow, ...], Failure]:
        """Return the row of a job and that of its cancellation, as far as they exist."""
        key = job_key(job_id)
        before = cancellation_key(job_id).key + "\0"
        return await self._read_range(key.table, key.partition, key.key, before, deadline_ms)

    async def _read_row(self, key: RowKey, deadline_ms: int) -> Result[StoredRow | None, Failure]:
        result = await self._read_range(
            key.table, key.partition, key.key, key.key + "\0", deadline_ms
        )
        return result.map(lambda rows: rows[0] if rows else None)

    async def _read_range(
        self, table: str, partition: str, first: str, before: str, deadline_ms: int
    ) -> Result[tuple[StoredRow, ...], Failure]:
        """Read the rows with ``first <= key < before``, and retry for a limited time."""
        started_ms = self._clock.now_ms()
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            result = await self._store.read(
                table,
                partition,
                first=first,
                before=before,
                timeout_ms=max(_MIN_CALL_TIMEOUT_MS, min(_CALL_TIMEOUT_MS, remaining_ms)),
            )
            if result.is_ok():
                return Ok(result.ok.rows)
            elapsed_ms = self._clock.now_ms() - started_ms
            if (
                elapsed_ms > _MAX_UNCERTAIN_RETRY_MS
                or self._clock.now_ms() + _RETRY_DELAY_MS >= deadline_ms
            ):
                return Error(result.error)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
