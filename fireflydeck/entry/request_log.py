"""Log lines and metrics about callers' requests."""

from fireflydeck.core import Failure
from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest, job_id_of_path
from fireflydeck.entry.peer_interfaces import ForwardResult
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.platform.job_documents import decode_refusal_reason
from fireflydeck.policy.admission import JobRefusal
from fireflydeck.workload.specification import JobSpec

__all__ = ["RequestLog"]

_NOT_RUN_STATUSES = (429, 503)
"""Statuses of submissions whose jobs never run."""
_MAX_LOGGED_JOB_ID_CHARS = 32
"""Callers may send a long text in place of a job's id."""
_MAX_LOGGED_PATH_CHARS = 64


class RequestLog:
    """Records what was done with callers' requests in the log and the metrics."""

    def __init__(self, operators: OperatorDocuments, log: EventLog, metrics: Metrics) -> None:
        self._operators = operators
        self._log = log
        self._metrics = metrics

    def record_answer(
        self,
        *,
        method: str,
        path: str,
        answer: CallerAnswer,
        duration_ms: int,
        was_forwarded: bool = False,
    ) -> None:
        """Record the answer to a request.

        Successful GET requests are only counted while the store can be reached.
        """
        status = answer.status
        self._metrics.observe_ms("request_ms", duration_ms, method=method)
        self._metrics.count("requests_total", method=method, status=str(status))
        if method == "POST" and status in _NOT_RUN_STATUSES and not was_forwarded:
            self._metrics.count("jobs_rejected_total", reason=decode_refusal_reason(answer.body))
        if method == "GET" and status == 200 and not self._operators.is_store_unreachable:
            return
        self._log.emit(
            Event.REQUEST_ANSWERED,
            method=method,
            path=path[:_MAX_LOGGED_PATH_CHARS],
            job=_loggable_job_id(path),
            status=status,
            took_ms=duration_ms,
            forwarded=was_forwarded,
            decided_by=answer.configuration_version,
            configuration=self._operators.version,
            configuration_age_ms=self._operators.age_ms,
        )

    def record_forward(self, request: CallerRequest, result: ForwardResult) -> None:
        """Record that a request was forwarded, and what the other processes answered."""
        answer = result.answer
        self._metrics.count("requests_forwarded_total", answered=str(answer is not None).lower())
        self._log.emit(
            Event.REQUEST_FORWARDED,
            method=request.method,
            path=request.path[:_MAX_LOGGED_PATH_CHARS],
            job=_loggable_job_id(request.path),
            peer=result.peer,
            status=answer.status if answer else 0,
            decided_by=answer.configuration_version if answer else None,
            configuration=self._operators.version,
            uncertain=result.is_uncertain,
            store_age_ms=self._operators.age_ms,
        )

    def record_refusal(self, spec: JobSpec, queue: JobQueue, refusal: JobRefusal | None) -> None:
        """Record that a job was refused, and what that was decided by.

        Without a `JobRefusal`, another request for the same job was refused at the same time.
        """
        self._log.emit(
            Event.JOB_REFUSED,
            job=spec.job_id,
            queue=queue.name,
            pool=queue.pool,
            organisation=spec.organisation,
            wait_ms=refusal.wait_ms if refusal else None,
            objective_ms=refusal.objective_ms if refusal else None,
            accepted=refusal.accepted if refusal else None,
            retry_after_s=refusal.retry_after_s if refusal else None,
        )

    def record_store_failure(self, job_id: str, failure: Failure) -> None:
        """Record that a call to the store for a request failed."""
        self._log.emit(
            Event.REQUEST_STORE_FAILED,
            job=job_id,
            step=failure.step,
            reason=failure.reason,
            ran=failure.ran,
            detail=failure.detail,
        )


def _loggable_job_id(path: str) -> str:
    return job_id_of_path(path)[:_MAX_LOGGED_JOB_ID_CHARS]
