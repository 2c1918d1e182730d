"""Admission of submissions: which jobs this process refuses, and the answers to their callers."""

from attrs import frozen

from fireflydeck.core import Reason
from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.platform.job_documents import encode_refusal
from fireflydeck.policy.admission import JobRefusal, decide_refusal
from fireflydeck.workload.specification import JobSpec

__all__ = ["Admission"]

_CONCURRENT_RETRY_AFTER_S = 2
"""All processes have seen the version of the refusal by then, so that the job may replace it."""


@frozen
class Admission:
    """Refusal of jobs in overloaded pools."""

    _lease: LeaseKeeper
    _request_log: RequestLog

    def decide(self, spec: JobSpec, queue: JobQueue) -> JobRefusal | None:
        """Return the refusal of a job by the overload that the lease holder published last.

        Returns `None` if the job is accepted.
        """
        return decide_refusal(spec, queue, self._lease.overload_of(queue.pool))

    def answer(self, spec: JobSpec, queue: JobQueue, refusal: JobRefusal | None) -> CallerAnswer:
        """Return the answer to a submission whose refusal is stored, and log it.

        Parameters
        ----------
        refusal
            Why the job is refused; `None` if only a refusal of the same job that was stored
            meanwhile forbids to store it.
        """
        self._request_log.record_refusal(spec, queue, refusal)
        if refusal is None:
            detail = "another request for this job was refused at the same time"
            return _refused(detail, _CONCURRENT_RETRY_AFTER_S)
        detail = (
            f"pool {queue.pool} is full: a new job of {spec.organisation} beyond its share would "
            f"start in {refusal.wait_ms} ms, its objective is {refusal.objective_ms} ms"
        )
        return _refused(detail, refusal.retry_after_s)


def _refused(detail: str, retry_after_s: int) -> CallerAnswer:
    return CallerAnswer(429, encode_refusal(Reason.QUEUE_FULL, detail), retry_after_s)
