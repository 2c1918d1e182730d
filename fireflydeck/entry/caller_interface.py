"""The callers' interface to jobs: submissions, states, cancellations and pending counts."""

from attrs import evolve, frozen

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.peer_interfaces import ForwardResult, JobStateSource, RequestForwarder
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.routing import QueueIndex
from fireflydeck.entry.shown_configuration import ShownConfiguration
from fireflydeck.entry.shown_states import ShownStates
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.platform.documents import DocumentError
from fireflydeck.platform.job_documents import (
    JOB_ID_PATTERN,
    decode_submission,
    encode_pending,
    encode_refusal,
    encode_state,
)
from fireflydeck.workload.lifecycle import JobOutcome

__all__ = ["CallerInterface"]

_TIMEOUT_FRACTION = 0.8
"""Fraction of the caller's timeout within which an answer must be found."""
_MAX_STORE_SILENCE_MS = 3000
"""If the store has not answered for this long, submissions are refused immediately, and unknown
queues and keys may only be missing in an outdated configuration."""
_RETRY_AFTER_S = 1
_MIN_FORWARD_MS = 100
"""A request is not forwarded if less time than this is left."""


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


class CallerInterface:
    """Answers callers' requests.

    A request that this process can't serve because the store is unavailable is forwarded to
    another entry process.
    """

    def __init__(
        self,
        *,
        operators: OperatorDocuments,
        lease: LeaseKeeper,
        state_source: JobStateSource,
        forwarder: RequestForwarder,
        intake: Intake,
        clock: Clock,
        request_log: RequestLog,
    ) -> None:
        self._operators = operators
        self._lease = lease
        self._state_source = state_source
        self._forwarder = forwarder
        self._intake = intake
        self._clock = clock
        self._request_log = request_log
        self._shown = ShownConfiguration(operators, clock)
        self._shown_states = ShownStates(clock)
        self._index: QueueIndex | None = None
        self._indexed_configuration: FleetConfiguration | None = None

    async def answer(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request, and record the answer."""
        started_ms = self._clock.now_ms()
        answer = await self._answer_or_forward(request, started_ms)
        self._shown.record(answer)
        self._request_log.record_answer(
            method=request.method,
            path=request.path,
            answer=answer,
            duration_ms=self._clock.now_ms() - started_ms,
            was_forwarded=request.was_forwarded,
        )
        return answer

    def refuse(self, refusal: CallerAnswer) -> CallerAnswer:
        """Return the answer to a request that could not be received within the configured limits.

        Newer limits may allow it.
        """
        if self._shown.is_newer_than_copy():
            return _outdated()
        return refusal

    async def _answer_or_forward(self, request: CallerRequest, started_ms: int) -> CallerAnswer:
        """Answer the request here, or forward it if the store is unavailable."""
        if request.was_forwarded:
            if self._operators.is_store_unreachable:
                return _unavailable(
                    Reason.STORE_UNAVAILABLE, "the store does not answer here either"
                )
            return await self._answer_locally(request, started_ms)
        if self._operators.is_store_unreachable:
            result = await self._forward(request, started_ms)
            answer = result.answer or await self._answer_locally(request, started_ms)
        else:
            answer = await self._answer_locally(request, started_ms)
            if not answer.is_store_unavailable:
                return answer
            result = await self._forward(request, started_ms)
            answer = _choose_answer(answer, result)
        return _replace_uncertain_refusal(request, answer, is_uncertain=result.is_uncertain)

    async def _forward(self, request: CallerRequest, started_ms: int) -> ForwardResult:
        """Forward the request to another process unless too little time is left."""
        remaining_ms = (
            started_ms + int(request.timeout_ms * _TIMEOUT_FRACTION) - self._clock.now_ms()
        )
        if remaining_ms < _MIN_FORWARD_MS:
            return ForwardResult()
        result = await self._forwarder.forward(
            evolve(request, min_configuration_version=self._shown.version),
            timeout_ms=remaining_ms,
        )
        self._request_log.record_forward(request, result)
        return result

    async def _answer_locally(self, request: CallerRequest, started_ms: int) -> CallerAnswer:
        """Answer the request in this process."""
        configuration = self._operators.configuration
        if configuration is None:
            return _unavailable(Reason.NOT_READY, "no configuration yet")
        if self._is_outdated(configuration, request):
            return _outdated()
        answer = await self._answer_by(configuration, request, started_ms)
        return evolve(answer, configuration_version=configuration.version)

    def _is_outdated(self, configuration: FleetConfiguration, request: CallerRequest) -> bool:
        """Return whether callers have been shown a newer configuration, here or elsewhere."""
        return (
            configuration.version < request.min_configuration_version
            or self._shown.is_newer_than_copy()
        )

    async def _answer_by(
        self, configuration: FleetConfiguration, request: CallerRequest, started_ms: int
    ) -> CallerAnswer:
        """Answer the request as a configuration allows."""
        queue = self._find_queue(configuration, request)
        if queue is None:
            return self._refuse_by_configuration(404, Reason.UNKNOWN_QUEUE, "no such queue")
        organisation = ""
        owner = configuration.organisation_of_key(request.key) if request.key else None
        if owner is not None:
            organisation = owner.name
        elif not queue.public:
            return self._refuse_by_configuration(401, Reason.WRONG_KEY, "unknown key")
        job_id = request.path[len(queue.path_prefix) :]
        deadline_ms = started_ms + int(request.timeout_ms * _TIMEOUT_FRACTION)
        routed = _RoutedRequest(queue, organisation, job_id, deadline_ms)
        if not job_id:
            return self._count_pending(request, routed)
        if JOB_ID_PATTERN.match(job_id) is None:
            return _refusal(404, Reason.UNKNOWN_JOB, "not a job's id")
        return await self._answer_job_request(request, routed, configuration)

    def _is_store_silent(self) -> bool:
        """Return whether the store has not answered for so long that documents may be outdated."""
        age_ms = self._operators.age_ms
        return age_ms is None or age_ms > _MAX_STORE_SILENCE_MS

    def _refuse_by_configuration(self, status: int, reason: Reason, detail: str) -> CallerAnswer:
        """Refuse what the configuration does not allow; a newer one that is not read yet may."""
        if self._is_store_silent():
            return _unavailable(Reason.STORE_UNAVAILABLE, "the configuration may be outdated")
        return _refusal(status, reason, detail)

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
        if request.method == "DELETE":
            return await self._cancel(routed)
        return _refusal(405, Reason.BAD_REQUEST, "no such method")

    async def _submit(
        self, request: CallerRequest, routed: _RoutedRequest, configuration: FleetConfiguration
    ) -> CallerAnswer:
        limit = configuration.limits.max_body_bytes
        if len(request.body) > limit:
            return _refusal(413, Reason.BODY_TOO_LARGE, f"more than {limit} bytes")
        if self._is_store_silent():
            return _unavailable(Reason.STORE_UNAVAILABLE, "the store does not answer")
        try:
            spec = decode_submission(
                request.body,
                job_id=routed.job_id,
                queue=routed.queue.name,
                organisation=routed.organisation,
                accepted_ms=self._clock.wall_ms(),
            )
        except DocumentError as error:
            return _refusal(400, Reason.BAD_REQUEST, str(error))
        result = await self._intake.submit(spec, deadline_ms=routed.deadline_ms)
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
                return _refusal(410, Reason.UNKNOWN_JOB, "no such job")
            state = found.ok
        state = self._shown_states.latest(routed.job_id, state)
        self._shown_states.record(routed.job_id, state)
        return CallerAnswer(200, encode_state(state))

    async def _cancel(self, routed: _RoutedRequest) -> CallerAnswer:
        result = await self._intake.cancel(routed.job_id, deadline_ms=routed.deadline_ms)
        if result.is_error():
            return self._answer_store_failure(routed, result.error)
        if not result.ok:
            return _refusal(410, Reason.UNKNOWN_JOB, "no such job")
        self._shown_states.record(routed.job_id, JobOutcome.CANCELLED)
        return CallerAnswer(200, b"{}")

    def _count_pending(self, request: CallerRequest, routed: _RoutedRequest) -> CallerAnswer:
        if request.method != "GET":
            return _refusal(405, Reason.BAD_REQUEST, "no such method")
        record = self._lease.last_record
        if record is None:
            return _unavailable(Reason.NOT_READY, "the lease has no holder")
        pending = record.pending.get(routed.queue.name, 0)
        return CallerAnswer(200, encode_pending(pending))

    def _answer_store_failure(self, routed: _RoutedRequest, failure: Failure) -> CallerAnswer:
        """Return the answer to a request whose call to the store failed.

        Refuse it if it certainly had no effect; otherwise, answer that the outcome is unknown.
        """
        self._request_log.record_store_failure(routed.job_id, failure)
        if failure.ran == Ran.NO:
            refusal = _unavailable(failure.reason, "the store took nothing")
            is_overloaded = failure.reason == Reason.TOO_MANY_REQUESTS
            return evolve(refusal, is_store_unavailable=False) if is_overloaded else refusal
        return _unknown_outcome(failure.reason)


def _refusal(status: int, reason: Reason, detail: str) -> CallerAnswer:
    return CallerAnswer(status, encode_refusal(reason, detail))


def _unavailable(reason: Reason, detail: str) -> CallerAnswer:
    """Return the refusal of a request that had no effect and can be retried."""
    return CallerAnswer(
        503, encode_refusal(reason, detail), _RETRY_AFTER_S, is_store_unavailable=True
    )


def _outdated() -> CallerAnswer:
    return _unavailable(Reason.STORE_UNAVAILABLE, "the configuration is outdated")


def _unknown_outcome(reason: Reason) -> CallerAnswer:
    return CallerAnswer(
        504, encode_refusal(reason, "the outcome is unknown"), is_store_unavailable=True
    )


def _choose_answer(local: CallerAnswer, result: ForwardResult) -> CallerAnswer:
    """Return the final answer to a request that this process forwarded after it could not serve it.

    If the outcome is unknown here, only a successful answer of a peer replaces the local one.
    """
    if result.answer is None:
        return local
    if local.status == 504 and result.answer.status != 200:
        return local
    return result.answer


def _replace_uncertain_refusal(
    request: CallerRequest, answer: CallerAnswer, *, is_uncertain: bool
) -> CallerAnswer:
    """Replace the refusal of a submission that another process may have stored.

    The caller is told that the outcome is unknown.
    """
    if is_uncertain and request.method == "POST" and answer.status != 200:
        return _unknown_outcome(Reason.STORE_UNAVAILABLE)
    return answer
