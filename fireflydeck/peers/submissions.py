"""Runs the requests that gateways submit over peer connections."""

from abc import ABC, abstractmethod

from attrs import define
from expression import Result

from fireflydeck.core import Answer, Failure, FireflydeckError, Ran, Reason, Request
from fireflydeck.peers.listener import PeerListener
from fireflydeck.peers.messages import AnswerMessage, Cancel, Message, Refusal, Submit
from fireflydeck.peers.session import PeerSession

__all__ = ["RequestDispatcher", "SubmissionServer"]

_OVERLOAD_RETRY_AFTER_MS = 500


@define
class _SubmittedRequest:
    is_started: bool = False
    is_cancelled: bool = False


_CANCELLED = _SubmittedRequest(is_cancelled=True)


class RequestDispatcher(ABC):
    """Interface for running requests, implemented by a service of the dispatcher process."""

    @abstractmethod
    async def submit(self, request: Request) -> Result[Answer, Failure]:
        """Run the request and return its answer."""

    @abstractmethod
    def cancel(self, request_id: str) -> None:
        """Cancel the request; its `submit` returns soon after."""


class SubmissionServer:
    """Handler of a listener's `Submit` and `Cancel` messages that calls a dispatcher.

    When a connection ends, its requests are cancelled because nobody waits for their answers.
    """

    def __init__(self, dispatcher: RequestDispatcher) -> None:
        self._dispatcher = dispatcher
        self._requests: dict[PeerSession, dict[str, _SubmittedRequest]] = {}

    def register(self, listener: PeerListener) -> None:
        """Register the message handlers with the listener."""
        listener.handle(
            Submit, self._submit, on_overload=self._refuse, on_receive=self._add_request
        )
        listener.handle(Cancel, self._cancel, in_order=True)

    def _add_request(self, session: PeerSession, message: Message) -> None:
        assert isinstance(message, Submit)
        self._requests_of(session)[message.request.request_id] = _SubmittedRequest()

    async def _submit(self, session: PeerSession, message: Message) -> None:
        assert isinstance(message, Submit)
        request_id = message.request.request_id
        requests = self._requests.get(session, {})
        try:
            reply = await self._run(message.request, requests.get(request_id, _CANCELLED))
        finally:
            requests.pop(request_id, None)
        await self._send(session, request_id, reply)

    async def _run(self, request: Request, submitted: _SubmittedRequest) -> Message:
        if submitted.is_cancelled:
            failure = Failure(Reason.CANCELLED, step="peer.submit", detail="cancelled before start")
            return Refusal(request_id=request.request_id, failure=failure)
        submitted.is_started = True
        try:
            result = await self._dispatcher.submit(request)
        except Exception as error:
            detail = type(error).__name__
            failure = Failure(
                Reason.INTERNAL, step="dispatcher.submit", detail=detail, ran=Ran.UNKNOWN
            )
            return Refusal(request_id=request.request_id, failure=failure)
        if result.is_ok():
            return AnswerMessage(answer=result.ok)
        return Refusal(request_id=request.request_id, failure=result.error)

    async def _send(self, session: PeerSession, request_id: str, reply: Message) -> None:
        try:
            await session.send(reply)
        except FireflydeckError as error:
            if error.failure.reason is Reason.BODY_TOO_LARGE:
                await session.send(_answer_too_large(request_id, error.failure.detail))

    async def _refuse(self, session: PeerSession, message: Message) -> None:
        assert isinstance(message, Submit)
        failure = Failure(
            Reason.TOO_MANY_REQUESTS,
            step="peer.session",
            detail="too many requests over one connection",
            retry_after_ms=_OVERLOAD_RETRY_AFTER_MS,
        )
        refusal = Refusal(request_id=message.request.request_id, failure=failure)
        if not session.offer(refusal):
            await session.close()

    async def _cancel(self, session: PeerSession, message: Message) -> None:
        assert isinstance(message, Cancel)
        submitted = self._requests.get(session, {}).get(message.request_id)
        if submitted is not None:
            self._cancel_submitted(message.request_id, submitted)

    def _cancel_submitted(self, request_id: str, submitted: _SubmittedRequest) -> None:
        submitted.is_cancelled = True
        if submitted.is_started:
            self._dispatcher.cancel(request_id)

    def _requests_of(self, session: PeerSession) -> dict[str, _SubmittedRequest]:
        requests = self._requests.get(session)
        if requests is None:
            requests = self._requests[session] = {}
            session.on_close(lambda: self._cancel_requests(session))
        return requests

    def _cancel_requests(self, session: PeerSession) -> None:
        for request_id, submitted in self._requests.pop(session, {}).items():
            self._cancel_submitted(request_id, submitted)


def _answer_too_large(request_id: str, detail: str) -> Refusal:
    failure = Failure(Reason.ANSWER_TOO_LARGE, step="peer.send", detail=detail, ran=Ran.UNKNOWN)
    return Refusal(request_id=request_id, failure=failure)
