"""Cancellation of a job in the store."""

from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Reason
from fireflydeck.jobs.record import JobRecord
from fireflydeck.jobs.store import JobStore
from fireflydeck.jobs.transitions import cancel

__all__ = ["cancel_job"]

_MAX_ATTEMPTS = 8
_RETRY_DELAY_MS = 50


async def cancel_job(
    store: JobStore, clock: Clock, queue: str, job_id: str
) -> Result[JobRecord, Failure]:
    """Cancel a queued job, or request cancellation of a running one from its holder.

    A concurrent write (a checkpoint, a start) makes the compare-and-swap fail; the job is then read
    again and the cancellation retried.

    Returns
    -------
    Result
        The job's record after the cancellation; reason `CONFLICT` if a concurrent write made every
        try fail.
    """
    for _ in range(_MAX_ATTEMPTS):
        loaded = await store.load(queue, job_id)
        if loaded.is_error():
            return Error(loaded.error)
        if loaded.ok is None:
            return Error(Failure(Reason.UNKNOWN_JOB, "jobs.cancel", detail="no such job"))
        record = loaded.ok.record
        cancelled = cancel(record)
        if cancelled.is_error() or cancelled.ok == record:
            return cancelled
        updated = await store.update(loaded.ok, cancelled.ok)
        if updated.is_ok():
            return Ok(updated.ok.record)
        if updated.error.reason is not Reason.CONFLICT:
            return Error(updated.error)
        await clock.sleep_ms(_RETRY_DELAY_MS)
    return Error(Failure(Reason.CONFLICT, "jobs.cancel", "store", "other writes came first"))
