"""The callers' interface: answers requests here, or through another entry process."""

from attrs import evolve

from fireflydeck.core import Clock, Reason
from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.entry.caller_answers import unavailable, unknown_outcome
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.job_requests import JobRequests
from fireflydeck.entry.peer_interfaces import ForwardResult, RequestForwarder
from fireflydeck.entry.refusals import MAX_TELLING_MS
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.shown_configuration import ShownConfiguration
from fireflydeck.observation.operator_documents import OperatorDocuments

__all__ = ["CallerInterface"]

_TIMEOUT_FRACTION = 0.8
"""Fraction of the caller's timeout within which an answer must be found."""
_REFUSED_STATUS = 429
_NOT_SERVED_STATUS = 503
"""Status which promises that a submission's job never runs; a 429 is only said once a stored
refusal prevents it."""
_MIN_FORWARD_MS = 100
"""A request is not forwarded if less time than this is left."""


class CallerInterface:
    """Answers callers' requests.

    A request that this process can't serve because the store is unavailable is forwarded to
    another entry process.
    """

    def __init__(
        self,
        *,
        operators: OperatorDocuments,
        job_requests: JobRequests,
        forwarder: RequestForwarder,
        clock: Clock,
        request_log: RequestLog,
    ) -> None:
        self._operators = operators
        self._job_requests = job_requests
        self._forwarder = forwarder
        self._clock = clock
        self._request_log = request_log
        self._shown = ShownConfiguration(operators, clock)

    async def answer(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request, and record the answer."""
        started_ms = self._clock.now_ms()
        answer = await self._answer_or_forward(request, started_ms)
        if self._is_untrue_refusal(request, answer):
            answer = unknown_outcome(Reason.STORE_UNAVAILABLE)
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

    def _is_untrue_refusal(self, request: CallerRequest, answer: CallerAnswer) -> bool:
        """Return whether a submission is refused although an earlier attempt may be stored."""
        return (
            request.method == "POST"
            and answer.status == _NOT_SERVED_STATUS
            and self._job_requests.may_be_stored(request.job_id)
        )

    def refuse_before_body(self, request: CallerRequest) -> CallerAnswer | None:
        """Return the final refusal of a request whose body was not read.

        Return `None` if the body matters, or if another process may have to answer.
        """
        configuration = self._operators.configuration
        if (
            configuration is None
            or self._operators.is_store_unreachable
            or self._is_outdated(configuration, request)
        ):
            return None
        answer = self._job_requests.refuse_before_body(configuration, request)
        if answer is None or answer.is_store_unavailable:
            return None
        answer = evolve(answer, configuration_version=configuration.version)
        self._shown.record(answer)
        return answer

    async def _answer_or_forward(self, request: CallerRequest, started_ms: int) -> CallerAnswer:
        """Answer the request here, or forward it if the store is unavailable."""
        if request.was_forwarded:
            if self._operators.is_store_unreachable:
                return unavailable(
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
        remaining_ms = _deadline_ms(request, started_ms) - self._clock.now_ms()
        if remaining_ms < _MIN_FORWARD_MS:
            return ForwardResult()
        sent_ms = self._clock.now_ms()
        result = await self._forwarder.forward(
            evolve(request, min_configuration_version=self._shown.version),
            timeout_ms=remaining_ms,
        )
        self._request_log.record_forward(request, result)
        if self._is_late_refusal(result, sent_ms):
            result = ForwardResult(is_uncertain=True)
        if request.method == "POST":
            self._record_forwarded_submission(request.job_id, result)
        return result

    def _is_late_refusal(self, result: ForwardResult, sent_ms: int) -> bool:
        """Return whether another process stored a refusal too long ago to tell the caller."""
        answer = result.answer
        if answer is None or answer.status != _REFUSED_STATUS:
            return False
        return self._clock.now_ms() - sent_ms > MAX_TELLING_MS

    def _record_forwarded_submission(self, job_id: str, result: ForwardResult) -> None:
        """Record that another process stored a job or may have stored it.

        A repeated request is then not refused here, also if that process can't be reached.
        """
        if result.answer is not None and result.answer.status == 200:
            self._job_requests.record_forwarded_submission(job_id, is_stored=True)
        elif result.is_uncertain:
            self._job_requests.record_forwarded_submission(job_id, is_stored=None)

    async def _answer_locally(self, request: CallerRequest, started_ms: int) -> CallerAnswer:
        """Answer the request in this process."""
        configuration = self._operators.configuration
        if configuration is None:
            return unavailable(Reason.NOT_READY, "no configuration yet")
        if self._is_outdated(configuration, request):
            return _outdated()
        answer = await self._job_requests.answer_by(
            configuration, request, _deadline_ms(request, started_ms)
        )
        return evolve(answer, configuration_version=configuration.version)

    def _is_outdated(self, configuration: FleetConfiguration, request: CallerRequest) -> bool:
        """Return whether callers have been shown a newer configuration, here or elsewhere."""
        return (
            configuration.version < request.min_configuration_version
            or self._shown.is_newer_than_copy()
        )


def _outdated() -> CallerAnswer:
    return unavailable(Reason.STORE_UNAVAILABLE, "the configuration is outdated")


def _deadline_ms(request: CallerRequest, started_ms: int) -> int:
    return started_ms + int(request.timeout_ms * _TIMEOUT_FRACTION)


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
        return unknown_outcome(Reason.STORE_UNAVAILABLE)
    return answer
