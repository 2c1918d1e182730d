"""The job interface: submissions, states, cancellations and pending counts."""

from attrs import evolve, frozen

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.routing import QueueIndex
from fireflydeck.entry.state_source import ForwardResult, RequestForwarder, StateSource
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.platform.documents import DocumentError
from fireflydeck.platform.job_documents import (
    JOB_ID,
    decode_submission,
    encode_pending,
    encode_refusal,
    encode_state,
)

__all__ = ["CallerInterface"]

_DEADLINE_SHARE = 0.8
"""Part of the caller's time in which an answer is sought."""
_MAX_STORE_SILENCE_MS = 3000
"""Without an answer of the store for this long, submissions are refused at once."""
_RETRY_AFTER_S = 1
_MAX_LOGGED_JOB = 32
"""Characters of a job's id in the log; what callers send there may be long."""
_LEAST_FORWARD_MS = 100
"""With less time left, a request is not passed on."""


@frozen
class _Call:
    """A request that found its queue."""

    queue: JobQueue
    organisation: str
    job_id: str
    deadline_ms: int


class CallerInterface:
    """Answers callers' requests.

    What this process can't serve for want of the store is passed on to another one.
    """

    def __init__(
        self,
        *,
        operators: OperatorDocuments,
        lease: LeaseKeeper,
        states: StateSource,
        forwarder: RequestForwarder,
        intake: Intake,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._operators = operators
        self._lease = lease
        self._states = states
        self._forwarder = forwarder
        self._intake = intake
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._index: QueueIndex | None = None
        self._indexed: FleetConfiguration | None = None

    async def answer(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request."""
        begun_ms = self._clock.now_ms()
        answer = await self._serve(request, begun_ms)
        self.record(
            method=request.method,
            job=request.job,
            status=answer.status,
            took_ms=self._clock.now_ms() - begun_ms,
            was_forwarded=request.was_forwarded,
        )
        return answer

    def record(
        self, *, method: str, job: str, status: int, took_ms: int, was_forwarded: bool = False
    ) -> None:
        """Count an answer and log it; states that were told are only counted."""
        self._metrics.observe_ms("request_ms", took_ms, method=method)
        self._metrics.count("requests_total", method=method, status=str(status))
        if method == "GET" and status == 200:
            return
        configuration = self._operators.configuration
        self._log.emit(
            Event.REQUEST_ANSWERED,
            method=method,
            job=job[:_MAX_LOGGED_JOB],
            status=status,
            took_ms=took_ms,
            forwarded=was_forwarded,
            configuration=configuration.version if configuration else 0,
            configuration_age_ms=self._operators.age_ms,
        )

    async def _serve(self, request: CallerRequest, begun_ms: int) -> CallerAnswer:
        if request.was_forwarded:
            if self._operators.is_lost:
                return _no_store(Reason.STORE_UNAVAILABLE, "the store does not answer here either")
            return await self._respond(request, begun_ms)
        if self._operators.is_lost:
            result = await self._forward(request, begun_ms)
            answer = result.answer or await self._respond(request, begun_ms)
        else:
            answer = await self._respond(request, begun_ms)
            if not answer.lacks_store:
                return answer
            result = await self._forward(request, begun_ms)
            answer = _combine(answer, result)
        return _without_false_refusal(request, answer, is_uncertain=result.is_uncertain)

    async def _forward(self, request: CallerRequest, begun_ms: int) -> ForwardResult:
        """Let another process answer, if there is time for it."""
        left_ms = begun_ms + int(request.deadline_ms * _DEADLINE_SHARE) - self._clock.now_ms()
        if left_ms < _LEAST_FORWARD_MS:
            return ForwardResult()
        result = await self._forwarder.forward(request, timeout_ms=left_ms)
        self._log.emit(
            Event.REQUEST_FORWARDED,
            job=request.job,
            peer=result.peer,
            status=result.answer.status if result.answer else 0,
            uncertain=result.is_uncertain,
            store_age_ms=self._operators.age_ms,
        )
        return result

    async def _respond(self, request: CallerRequest, begun_ms: int) -> CallerAnswer:
        configuration = self._operators.configuration
        if configuration is None:
            return _no_store(Reason.NOT_READY, "no configuration yet")
        queue = self._find_queue(configuration, request)
        if queue is None:
            return _refusal(404, Reason.UNKNOWN_QUEUE, "no such queue")
        organisation = ""
        owner = configuration.organisation_of_key(request.key) if request.key else None
        if owner is not None:
            organisation = owner.name
        elif not queue.public:
            return _refusal(401, Reason.WRONG_KEY, "unknown key")
        job_id = request.path[len(queue.path_prefix) :]
        deadline_ms = begun_ms + int(request.deadline_ms * _DEADLINE_SHARE)
        call = _Call(queue, organisation, job_id, deadline_ms)
        if not job_id:
            return self._pending(request, call)
        if JOB_ID.match(job_id) is None:
            return _refusal(404, Reason.UNKNOWN_JOB, "not a job's id")
        return await self._job_call(request, call, configuration)

    def _find_queue(
        self, configuration: FleetConfiguration, request: CallerRequest
    ) -> JobQueue | None:
        if self._index is None or self._indexed is not configuration:
            self._index = QueueIndex(configuration)
            self._indexed = configuration
        return self._index.find(request.host, request.path)

    async def _job_call(
        self, request: CallerRequest, call: _Call, configuration: FleetConfiguration
    ) -> CallerAnswer:
        if request.method == "POST":
            return await self._submit(request, call, configuration)
        if request.method == "GET":
            return await self._state(call)
        if request.method == "DELETE":
            return await self._cancel(call)
        return _refusal(405, Reason.BAD_REQUEST, "no such method")

    async def _submit(
        self, request: CallerRequest, call: _Call, configuration: FleetConfiguration
    ) -> CallerAnswer:
        limit = configuration.limits.max_body_bytes
        if len(request.body) > limit:
            return _refusal(413, Reason.BODY_TOO_LARGE, f"more than {limit} bytes")
        age_ms = self._operators.age_ms
        if age_ms is None or age_ms > _MAX_STORE_SILENCE_MS:
            return _no_store(Reason.STORE_UNAVAILABLE, "the store does not answer")
        try:
            spec = decode_submission(
                request.body,
                job_id=call.job_id,
                queue=call.queue.name,
                organisation=call.organisation,
                accepted_ms=self._clock.wall_ms(),
            )
        except DocumentError as error:
            return _refusal(400, Reason.BAD_REQUEST, str(error))
        result = await self._intake.submit(spec, deadline_ms=call.deadline_ms)
        if result.is_error():
            return self._store_failure(call, result.error)
        return CallerAnswer(200, b"{}")

    async def _state(self, call: _Call) -> CallerAnswer:
        state = await self._states.job_state(call.job_id)
        if state is None:
            found = await self._intake.state(call.job_id, deadline_ms=call.deadline_ms)
            if found.is_error():
                return self._store_failure(call, found.error)
            if found.ok is None:
                return _refusal(410, Reason.UNKNOWN_JOB, "no such job")
            state = found.ok
        return CallerAnswer(200, encode_state(state))

    async def _cancel(self, call: _Call) -> CallerAnswer:
        result = await self._intake.cancel(call.job_id, deadline_ms=call.deadline_ms)
        if result.is_error():
            return self._store_failure(call, result.error)
        if not result.ok:
            return _refusal(410, Reason.UNKNOWN_JOB, "no such job")
        return CallerAnswer(200, b"{}")

    def _pending(self, request: CallerRequest, call: _Call) -> CallerAnswer:
        if request.method != "GET":
            return _refusal(405, Reason.BAD_REQUEST, "no such method")
        holder = self._lease.holder
        if holder is None:
            return _no_store(Reason.NOT_READY, "the lease has no holder")
        pending = holder.pending.get(call.queue.name, 0)
        return CallerAnswer(200, encode_pending(pending))

    def _store_failure(self, call: _Call, failure: Failure) -> CallerAnswer:
        """Refuse what is certainly not done; for the rest the outcome is unknown."""
        self._log.emit(
            Event.REQUEST_STORE_FAILED,
            job=call.job_id,
            step=failure.step,
            reason=failure.reason,
            ran=failure.ran,
            detail=failure.detail,
        )
        if failure.ran == Ran.NO:
            refusal = _no_store(failure.reason, "the store took nothing")
            is_overloaded = failure.reason == Reason.TOO_MANY_REQUESTS
            return evolve(refusal, lacks_store=False) if is_overloaded else refusal
        return _unknown_outcome(failure.reason)


def _refusal(status: int, reason: Reason, detail: str) -> CallerAnswer:
    return CallerAnswer(status, encode_refusal(reason, detail))


def _no_store(reason: Reason, detail: str) -> CallerAnswer:
    """Return the refusal of what is not done and can be tried again."""
    return CallerAnswer(503, encode_refusal(reason, detail), _RETRY_AFTER_S, lacks_store=True)


def _unknown_outcome(reason: Reason) -> CallerAnswer:
    return CallerAnswer(504, encode_refusal(reason, "the outcome is unknown"), lacks_store=True)


def _combine(own: CallerAnswer, result: ForwardResult) -> CallerAnswer:
    """Return the final answer to a request that this process could not settle."""
    if result.answer is None:
        return own
    if own.status == 504 and result.answer.status != 200:
        return own
    return result.answer


def _without_false_refusal(
    request: CallerRequest, answer: CallerAnswer, *, is_uncertain: bool
) -> CallerAnswer:
    """Refuse no submission that a process without an answer may have stored."""
    if is_uncertain and request.method == "POST" and answer.status != 200:
        return _unknown_outcome(Reason.STORE_UNAVAILABLE)
    return answer
