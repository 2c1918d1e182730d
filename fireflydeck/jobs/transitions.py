"""Transitions of a job's state machine: pure functions from a record to the next record.

A transition that the current state does not allow returns a `Failure` with reason `CONFLICT`.
"""

from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import Failure, JobState, Reason, Vm
from fireflydeck.jobs.record import Attempt, AttemptOutcome, JobRecord

__all__ = [
    "MAX_FAILURES",
    "cancel",
    "end_attempt",
    "excluded_vms",
    "fail",
    "finish",
    "hand_over",
    "record_checkpoint",
    "start_attempt",
    "take_over",
]

MAX_FAILURES = 3
"""Number of counted failures after which an idempotent job fails.

Failed attempts count, and lost or lapsed ones without progress. Each retry uses another VM if there
is one.
"""

_MAX_ATTEMPTS_KEPT = 20

TransitionResult = Result[JobRecord, Failure]


def _refuse(record: JobRecord, step: str) -> TransitionResult:
    detail = f"job {record.job_id} is {record.state}"
    return Error(Failure(Reason.CONFLICT, step=f"jobs.{step}", detail=detail))


def start_attempt(
    record: JobRecord, *, holder: str, dispatcher: str, vm: Vm, wall_ms: int
) -> TransitionResult:
    """Record an attempt that is about to start.

    A job that is not idempotent gets no further attempt once one of its attempts may have run.
    """
    if record.state is not JobState.QUEUED or record.cancel_requested:
        return _refuse(record, "start-attempt")
    if record.may_have_run and not record.idempotent:
        return _refuse(record, "start-attempt")
    last = record.last_attempt
    attempt = Attempt(
        number=last.number + 1 if last else 1,
        vm=vm.name,
        address=vm.address,
        dispatcher=dispatcher,
        started_ms=wall_ms,
    )
    return Ok(
        evolve(
            record,
            state=JobState.RUNNING,
            holder=holder,
            lease_sequence=record.lease_sequence + 1,
            attempts=(*record.attempts, attempt)[-_MAX_ATTEMPTS_KEPT:],
        )
    )


def record_checkpoint(record: JobRecord, checkpoint: str) -> TransitionResult:
    """Record the running attempt's newest checkpoint."""
    if record.state is not JobState.RUNNING:
        return _refuse(record, "renew")
    if checkpoint == record.checkpoint:
        return Ok(record)
    last = evolve(record.attempts[-1], progressed=True)
    return Ok(evolve(record, checkpoint=checkpoint, attempts=(*record.attempts[:-1], last)))


def take_over(record: JobRecord, holder: str) -> TransitionResult:
    """Make another runner the holder; the open attempt is unchanged."""
    if record.state is not JobState.RUNNING:
        return _refuse(record, "take-over")
    return Ok(evolve(record, holder=holder, lease_sequence=record.lease_sequence + 1))


def hand_over(record: JobRecord) -> TransitionResult:
    """Clear the holder so that any runner can take the running attempt over."""
    if record.state is not JobState.RUNNING:
        return _refuse(record, "hand-over")
    return Ok(evolve(record, holder=""))


def finish(record: JobRecord, *, status: int, result_key: str) -> TransitionResult:
    """Record the result of the running attempt."""
    if record.state is not JobState.RUNNING:
        return _refuse(record, "finish")
    ended = _close_attempt(record, AttemptOutcome.DONE)
    return Ok(evolve(ended, state=JobState.DONE, status=status, result_key=result_key))


def fail(record: JobRecord, reason: str) -> TransitionResult:
    """Fail a queued job that can never start."""
    if record.state is not JobState.QUEUED:
        return _refuse(record, "fail")
    return Ok(evolve(record, state=JobState.FAILED, reason=reason))


def cancel(record: JobRecord) -> TransitionResult:
    """Cancel a queued job or request cancellation of a running one; a final job is unchanged."""
    if record.is_final:
        return Ok(record)
    if record.state is JobState.QUEUED:
        return Ok(evolve(record, state=JobState.CANCELLED, cancel_requested=True))
    return Ok(evolve(record, cancel_requested=True))


def end_attempt(
    record: JobRecord,
    outcome: AttemptOutcome,
    *,
    detail: str = "",
    status: int = 0,
    result_key: str = "",
) -> TransitionResult:
    """Record that the running attempt ended without success, and set the job's next state.

    Parameters
    ----------
    outcome
        Outcome of the attempt; `DONE` and `OPEN` are refused.
    detail
        One human-readable line on the cause.
    status, result_key
        HTTP status and object key of the answer of a `FAILED` attempt.
    """
    not_an_end = (AttemptOutcome.DONE, AttemptOutcome.OPEN)
    if record.state is not JobState.RUNNING or outcome in not_an_end:
        return _refuse(record, "end-attempt")
    ended = _close_attempt(record, outcome)
    if outcome is AttemptOutcome.CANCELLED or record.cancel_requested:
        return Ok(evolve(ended, state=JobState.CANCELLED, reason="cancelled"))
    if outcome is AttemptOutcome.FAILED:
        return Ok(_after_failure(ended, detail, status, result_key))
    if outcome is AttemptOutcome.NOT_STARTED:
        return Ok(evolve(ended, state=JobState.QUEUED))
    return Ok(_after_interruption(ended, detail))


def excluded_vms(record: JobRecord) -> frozenset[str]:
    """Return the VMs that the next attempt should avoid."""
    failed_outcomes = (AttemptOutcome.FAILED, AttemptOutcome.LOST, AttemptOutcome.LAPSED)
    excluded = {item.vm for item in record.attempts if item.outcome in failed_outcomes}
    last = record.last_attempt
    if last is not None and last.outcome is AttemptOutcome.NOT_STARTED:
        excluded.add(last.vm)
    return frozenset(excluded)


def _close_attempt(record: JobRecord, outcome: AttemptOutcome) -> JobRecord:
    last = evolve(record.attempts[-1], outcome=outcome)
    return evolve(record, attempts=(*record.attempts[:-1], last), holder="")


def _after_interruption(record: JobRecord, detail: str) -> JobRecord:
    attempt = record.attempts[-1]
    if not record.idempotent:
        reason = f"attempt {attempt.number} {attempt.outcome}: {detail}"
        return evolve(record, state=JobState.UNKNOWN, reason=reason)
    if attempt.outcome is AttemptOutcome.MOVED or attempt.progressed:
        return evolve(record, state=JobState.QUEUED)
    return _after_failure(record, detail, 0, "")


def _after_failure(record: JobRecord, detail: str, status: int, result_key: str) -> JobRecord:
    counted = evolve(record, failures=record.failures + 1)
    if record.idempotent and counted.failures < MAX_FAILURES:
        return evolve(counted, state=JobState.QUEUED)
    vms = ", ".join(sorted(excluded_vms(counted)))
    reason = f"{counted.failures} of {MAX_FAILURES} attempts failed (on {vms}); last: {detail}"
    return evolve(
        counted, state=JobState.FAILED, reason=reason, status=status, result_key=result_key
    )
