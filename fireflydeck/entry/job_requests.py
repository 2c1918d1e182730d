"""Answers to requests about jobs, by this process's copies and the store."""

from attrs import evolve, frozen
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.entry.admission import Admission
from fireflydeck.entry.caller_answers import refusal, unavailable, unknown_outcome
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.peer_interfaces import JobStateSource
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.routing import QueueIndex
from fireflydeck.entry.shown_states import ShownStates
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.platform.documents import DocumentError
from fireflydeck.platform.job_documents import (
    JOB_ID_PATTERN,
    decode_submission,
    encode_pending,
    encode_state,
)
from fireflydeck.workload.lifecycle import JobOutcome

__all__ = ["JobRequests"]

_MAX_STORE_SILENCE_MS = 3000
"""If the store has not answered for this long, submissions are refused immediately, and unknown
queues and keys may only be missing in an outdated configuration."""

_JOB_METHODS = frozenset({"POST", "GET", "DELETE"})
_QUEUE_METHODS = frozenset({"GET"})


@frozen
class _RoutedRequest:
    """A request that was matched to a queue and passed the check of its key.

    Parameters
    ----------
    organisation
        Name of the key's organisation; empty for a request to a public queue without a known key.
    job_id
        Id from the path; empty for a request that concerns the whole queue.
    deadline_ms
        Time on the process's clock by which the answer must be found, in milliseconds.
    """

    queue: JobQueue
    organisation: str
    job_id: str
    deadline_ms: int


class JobRequests:
    """Submissions, cancellations and queries of jobs, answered by this process itself."""

    def __init__(
        self,
        *,
        operators: OperatorDocuments,
        lease: LeaseKeeper,
        state_source: JobStateSource,
        intake: Intake,
        clock: Clock,
        request_log: RequestLog,
    ) -> None:
        self._operators = operators
        self._lease = lease
        self._state_source = state_source
        self._intake = intake
        self._clock = clock
        self._request_log = request_log
        self._admission = Admission(lease, request_log)
        self._shown_states = ShownStates(clock)
        self._index: QueueIndex | None = None
        self._indexed_configuration: FleetConfiguration | None = None

    async def answer_by(
        self, configuration: FleetConfiguration, request: CallerRequest, deadline_ms: int
    ) -> CallerAnswer:
        """Answer a request as a configuration allows.

        Parameters
        ----------
        deadline_ms
            Time on the process's clock by which the answer must be found, in milliseconds.
        """
        route = self._route(configuration, request, deadline_ms)
        if route.is_error():
            return route.error
        routed = route.ok
        if not routed.job_id:
            return self._count_pending(routed)
        return await self._answer_job_request(request, routed, configuration)

    def refuse_before_body(
        self, configuration: FleetConfiguration, request: CallerRequest
    ) -> CallerAnswer | None:
        """Return the refusal of a request whatever its body is, or `None` if the body matters."""
        route = self._route(configuration, request, deadline_ms=0)
        return route.error if route.is_error() else None

    def _route(
        self, configuration: FleetConfiguration, request: CallerRequest, deadline_ms: int
    ) -> Result[_RoutedRequest, CallerAnswer]:
        """Check queue, key, job id and method of a request; the error is its refusal."""
        queue = self._find_queue(configuration, request)
        if queue is None:
            return Error(self._refuse_by_configuration(404, Reason.UNKNOWN_QUEUE, "no such queue"))
        organisation = ""
        owner = configuration.organisation_of_key(request.key) if request.key else None
        if owner is not None:
            organisation = owner.name
        elif not queue.public:
            return Error(self._refuse_by_configuration(401, Reason.WRONG_KEY, "unknown key"))
        job_id = request.path[len(queue.path_prefix) :]
        if job_id and JOB_ID_PATTERN.match(job_id) is None:
            return Error(refusal(404, Reason.UNKNOWN_JOB, "not a job's id"))
        if request.method not in (_JOB_METHODS if job_id else _QUEUE_METHODS):
            return Error(refusal(405, Reason.BAD_REQUEST, "no such method"))
        return Ok(_RoutedRequest(queue, organisation, job_id, deadline_ms))

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether a recent attempt stored a job or may still do so."""
        return self._intake.attempts.may_be_stored(job_id)

    def record_forwarded_submission(self, job_id: str, *, is_stored: bool | None) -> None:
        """Record that another process stored a job, or, with `None`, may have stored it."""
        self._intake.attempts.record_elsewhere(job_id, is_stored=is_stored)

    def _is_store_silent(self) -> bool:
        """Return whether the store has not answered for so long that documents may be outdated."""
        age_ms = self._operators.age_ms
        return age_ms is None or age_ms > _MAX_STORE_SILENCE_MS

    def _refuse_by_configuration(self, status: int, reason: Reason, detail: str) -> CallerAnswer:
        """Refuse what the configuration does not allow; a newer one that is not read yet may."""
        if self._is_store_silent():
            return unavailable(Reason.STORE_UNAVAILABLE, "the configuration may be outdated")
        return refusal(status, reason, detail)

    def _find_queue(
        self, configuration: FleetConfiguration, request: CallerRequest
    ) -> JobQueue | None:
        if self._index is None or self._indexed_configuration is not configuration:
            self._index = QueueIndex(configuration)
            self._indexed_configuration = configuration
        return self._index.find(request.host, request.path)

    async def _answer_job_request(
        self, request: CallerRequest, routed: _RoutedRequest, configuration: FleetConfiguration
    ) -> CallerAnswer:
        if request.method == "POST":
            return await self._submit(request, routed, configuration)
        if request.method == "GET":
            return await self._read_state(routed)
        return await self._cancel(routed)

    async def _submit(
        self, request: CallerRequest, routed: _RoutedRequest, configuration: FleetConfiguration
    ) -> CallerAnswer:
        limit = configuration.limits.max_body_bytes
        if len(request.body) > limit:
            return refusal(413, Reason.BODY_TOO_LARGE, f"more than {limit} bytes")
        try:
            spec = decode_submission(
                request.body,
                job_id=routed.job_id,
                queue=routed.queue.name,
                organisation=routed.organisation,
                accepted_ms=self._clock.wall_ms(),
            )
        except DocumentError as error:
            return refusal(400, Reason.BAD_REQUEST, str(error))
        if self._is_store_silent():
            return await self._answer_unwritten(routed)
        refused = self._admission.decide(spec, routed.queue)
        result = await self._intake.submit(
            spec,
            deadline_ms=routed.deadline_ms,
            is_refused=refused is not None,
            may_replace=not request.was_forwarded,
        )
        if result.is_error():
            return self._answer_store_failure(routed, result.error)
        if result.ok == SubmissionOutcome.REFUSED:
            return self._admission.answer(spec, routed.queue, refused)
        return CallerAnswer(200, b"{}")

    async def _answer_unwritten(self, routed: _RoutedRequest) -> CallerAnswer:
        """Answer a submission that is not written because the store does not answer."""
        result = await self._intake.outcome_without_store(routed.job_id)
        if result.is_error():
            return self._answer_store_failure(routed, result.error)
        return CallerAnswer(200, b"{}")

    async def _read_state(self, routed: _RoutedRequest) -> CallerAnswer:
        state = await self._state_source.job_state(routed.job_id)
        if state is None:
            found = await self._intake.read_state(routed.job_id, deadline_ms=routed.deadline_ms)
            if found.is_error():
                return self._answer_store_failure(routed, found.error)
            if found.ok is None:
                return refusal(410, Reason.UNKNOWN_JOB, "no such job")
            state = found.ok
        state = self._shown_states.latest(routed.job_id, state)
        self._shown_states.record(routed.job_id, state)
        return CallerAnswer(200, encode_state(state))

    async def _cancel(self, routed: _RoutedRequest) -> CallerAnswer:
        result = await self._intake.cancel(routed.job_id, deadline_ms=routed.deadline_ms)
        if result.is_error():
            return self._answer_store_failure(routed, result.error)
        if not result.ok:
            return refusal(410, Reason.UNKNOWN_JOB, "no such job")
        self._shown_states.record(routed.job_id, JobOutcome.CANCELLED)
        return CallerAnswer(200, b"{}")

    def _count_pending(self, routed: _RoutedRequest) -> CallerAnswer:
        record = self._lease.last_record
        if record is None:
            return unavailable(Reason.NOT_READY, "the lease has no holder")
        pending = record.pending.get(routed.queue.name, 0)
        return CallerAnswer(200, encode_pending(pending))

    def _answer_store_failure(self, routed: _RoutedRequest, failure: Failure) -> CallerAnswer:
        """Return the answer to a request whose call to the store failed.

        Refuse it if it certainly had no effect; otherwise, answer that the outcome is unknown.
        """
        self._request_log.record_store_failure(routed.job_id, failure)
        if failure.ran == Ran.NO:
            answer = unavailable(
                failure.reason, "the store took nothing", retry_after_ms=failure.retry_after_ms
            )
            is_overloaded = failure.reason == Reason.TOO_MANY_REQUESTS
            return evolve(answer, is_store_unavailable=False) if is_overloaded else answer
        return unknown_outcome(failure.reason)
