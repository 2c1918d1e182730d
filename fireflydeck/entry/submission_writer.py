"""Transactions that store a submitted job or its refusal, never both."""

from collections.abc import Awaitable, Callable

from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from fireflydeck.entry.peer_interfaces import SubmissionAnnouncer
from fireflydeck.entry.refusals import MAX_TELLING_MS, RefusalRows
from fireflydeck.entry.store_calls import StoreCalls, uncertain_if
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.observation.store_silence import StoreSilence
from fireflydeck.workload.records import job_key, refusal_key
from fireflydeck.workload.specification import JobSpec, encode_job_spec

__all__ = ["SubmissionWriter"]

_MAX_SETTLE_ATTEMPTS = 4
"""A submission meets more conflicts only if its job is refused and accepted by turns."""


class SubmissionWriter:
    """Stores jobs and refusals of jobs.

    Parameters
    ----------
    is_known
        Returns whether a job is known to be stored, without a call to the store.
    """

    def __init__(
        self,
        calls: StoreCalls,
        clock: Clock,
        *,
        silence: StoreSilence,
        refusals: RefusalRows,
        announcer: SubmissionAnnouncer,
        is_known: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._silence = silence
        self._refusals = refusals
        self._announcer = announcer
        self._is_known = is_known

    async def settle(
        self, spec: JobSpec, deadline_ms: int, *, is_refused: bool, may_replace: bool
    ) -> Result[SubmissionOutcome, Failure]:
        """Store a job or its refusal in the place of an earlier refusal, if there is one.

        A job replaces only a refusal that was told before its request arrived. Another one answers
        a request for the same job that was in progress at the same time, and whose caller may have
        been told meanwhile that the job never runs: this request is then refused as well.

        Parameters
        ----------
        may_replace
            Whether the job may replace a refusal at all. A forwarded request may not: it reached
            the other process earlier, perhaps before the refusal.

        Notes
        -----
        Each refusal is written, also in the place of an earlier one: another process may be storing
        the job in the place of that one, which only a new version of the row prevents.
        """
        told_version = version = ABSENT_VERSION
        if may_replace:
            told_version = self._silence.version_seen_before(MAX_TELLING_MS)
        if is_refused or may_replace:
            version = self._refusals.version_of(spec.job_id)
        is_uncertain = False
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            write = self._write_refusal if is_refused else self._insert
            result = await write(spec, version, deadline_ms)
            if result.is_ok():
                return result
            is_uncertain = is_uncertain or result.error.ran == Ran.UNKNOWN
            if result.error.reason != Reason.CONFLICT:
                return Error(uncertain_if(result.error, is_uncertain))
            found = await self._find_conflict(spec.job_id, deadline_ms)
            if found.is_error():
                return Error(evolve(found.error, ran=Ran.UNKNOWN))
            if found.ok == SubmissionOutcome.KNOWN:
                return found
            version = found.ok
            is_refused = is_refused or version > told_version
        return Error(_unknown("the job is refused and accepted by turns"))

    async def _insert(
        self, spec: JobSpec, refusal_version: int, deadline_ms: int
    ) -> Result[SubmissionOutcome, Failure]:
        """Store a job; its refusal of a version, which may be absent, is removed."""
        key, refusal = job_key(spec.job_id), refusal_key(spec.job_id)
        content = encode_job_spec(spec)
        transaction = RowTransaction(
            conditions=(RowCondition(key, ABSENT_VERSION), RowCondition(refusal, refusal_version)),
            writes=(RowWrite(key, content),),
            removals=(refusal,) if refusal_version != ABSENT_VERSION else (),
        )
        result = await self._calls.commit(transaction, deadline_ms)
        if result.is_error():
            return Error(result.error)
        self._refusals.forget(spec.job_id)
        self._announcer.announce(StoredRow(key, content, result.ok))
        return Ok(SubmissionOutcome.ACCEPTED)

    async def _write_refusal(
        self, spec: JobSpec, refusal_version: int, deadline_ms: int
    ) -> Result[SubmissionOutcome, Failure]:
        """Store the refusal of a job that is not stored, in the place of one of a version."""
        refusals = self._refusals
        key, value = refusal_key(spec.job_id), refusals.new_value()
        transaction = RowTransaction(
            conditions=(
                RowCondition(job_key(spec.job_id), ABSENT_VERSION),
                RowCondition(key, refusal_version),
            ),
            writes=(RowWrite(key, value),),
        )
        version: int | None = ABSENT_VERSION
        sent_ms = self._clock.now_ms()
        try:
            result = await self._calls.commit(transaction, deadline_ms)
            if result.is_ok():
                version = result.ok
            elif result.error.ran == Ran.NO:
                version = None
        finally:
            if version is not None:
                refusals.record(spec.job_id, value, version)
        if result.is_ok() and self._clock.now_ms() - sent_ms > MAX_TELLING_MS:
            return Error(_unknown("the refusal is stored too late to be told"))
        return result.map(lambda _: SubmissionOutcome.REFUSED)

    async def _find_conflict(
        self, job_id: str, deadline_ms: int
    ) -> Result[int | SubmissionOutcome, Failure]:
        """Return why a submission met a conflict: `KNOWN`, or the version of the job's refusal.

        The version is `ABSENT_VERSION` if neither the job nor a refusal is stored any more. The
        store is only read for a job that neither this process nor the lease holder knows.
        """
        if await self._is_known(job_id):
            return Ok(SubmissionOutcome.KNOWN)
        job = await self._calls.read_row(job_key(job_id), deadline_ms)
        if job.is_error():
            return Error(job.error)
        if job.ok is not None:
            return Ok(SubmissionOutcome.KNOWN)
        refusal = await self._calls.read_row(refusal_key(job_id), deadline_ms)
        return refusal.map(lambda row: ABSENT_VERSION if row is None else row.version)


def _unknown(detail: str) -> Failure:
    return Failure(Reason.STORE_UNAVAILABLE, "store.commit", detail=detail, ran=Ran.UNKNOWN)
