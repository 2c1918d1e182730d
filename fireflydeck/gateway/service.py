"""The gateway: admits callers' requests and submits them to dispatchers."""

from functools import partial
from typing import Any

import anyio
from attrs import field, frozen
from expression import Error, Ok, Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Answer, Clock, Failure, Queue, Ran, Reason, Request
from fireflydeck.gateway.admission import LoadLimiter
from fireflydeck.gateway.exchange import CallerDisconnectedError, Exchange, Receive, Scope, Send
from fireflydeck.gateway.keys import KeyRing, presented_key_hash
from fireflydeck.gateway.options import GatewayOptions
from fireflydeck.gateway.parsing import RequestHead, parse_head
from fireflydeck.gateway.request_ids import RequestIds
from fireflydeck.gateway.router import Router
from fireflydeck.kernel import Event, EventLog, Metrics, Service

__all__ = ["Gateway", "gateway_app"]

_QUEUES_PREFIX = "/queues/"
_JOBS_PREFIX = "/jobs/"
_STALE_CONFIGURATION_RETRY_MS = 1_000
_STEP = "gateway.admit"
_MIN_STATUS = 200
_MAX_STATUS = 599


@frozen(kw_only=True)
class _AdmittedRequest:
    head: RequestHead
    queue: Queue
    organisation: str


@frozen(kw_only=True)
class _RequestContext:
    """An in-flight request with the values for its log lines and metrics."""

    request_id: str
    exchange: Exchange
    started_ms: int
    queue: str = field(default="")


class Gateway(Service):
    """Serves the HTTP interface for callers; `app` is its ASGI application.

    Parameters
    ----------
    view
        Configuration in force.
    router
        Submits requests to dispatchers.
    jobs_app
        ASGI application that serves ``/jobs/``; it can also be set later with `mount_jobs`.
    """

    def __init__(
        self,
        *,
        view: ConfigurationView,
        router: Router,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        options: GatewayOptions,
        jobs_app: Any = None,
    ) -> None:
        self._view = view
        self._router = router
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._options = options
        self._jobs_app = jobs_app
        self._key_ring = KeyRing()
        self._request_ids = RequestIds(options.name, clock)
        self._limiter = LoadLimiter(options.max_in_flight, options.max_buffered_bytes)
        self._stop_requested = False
        self._is_stopping = False
        self._drained = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the service."""
        return "gateway"

    def mount_jobs(self, app: Any) -> None:
        """Serve ``/jobs/`` with an ASGI application."""
        self._jobs_app = app

    async def stop(self) -> None:
        """Refuse new requests and return when all requests in flight are answered.

        For `shutdown_delay_ms` before that, requests are still served, and callers are told to
        close their connections, so that the load balancer and the callers switch to other gateways.
        """
        self._stop_requested = True
        await self._clock.sleep_ms(self._options.shutdown_delay_ms)
        self._is_stopping = True
        if self._limiter.in_flight_requests:
            await self._drained.wait()

    def state(self) -> dict[str, object]:
        """Return the state of the gateway for the state dump."""
        return {
            "requests": self._limiter.in_flight_requests,
            "held_bytes": self._limiter.buffered_bytes,
            "leaving": self._stop_requested,
            "stopping": self._is_stopping,
            "fresh": self._view.is_fresh(),
            "version": self._view.current.version,
        }

    def authenticate(self, authorization: str | None, queue: str) -> Result[str, Failure]:
        """Return the organisation of the key, if requests to the queue are admitted now.

        Parameters
        ----------
        authorization
            Value of the authorization header; `None` if there is none.
        queue
            Name of the queue.
        """
        refusal = self._check_admission()
        if refusal is not None:
            return Error(refusal)
        entity = self._view.current.get(Queue, queue)
        if entity is None:
            return Error(_make_refusal(Reason.UNKNOWN_QUEUE, f"no queue {queue!r:.100}"))
        return self._key_ring.check(authorization, entity, self._view.current)

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)
        else:
            await send({"type": "websocket.close"})

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self._jobs_app is not None and scope["path"].startswith(_JOBS_PREFIX):
            await self._jobs_app(scope, receive, send)
            return
        exchange = Exchange(
            scope, receive, send, clock=self._clock, options=self._options, limiter=self._limiter
        )
        context = _RequestContext(
            request_id=self._request_ids.next(), exchange=exchange, started_ms=self._clock.now_ms()
        )
        try:
            await self._serve_exchange(scope, context)
        except CallerDisconnectedError:
            self._metrics.count("gateway_cancelled_total")
            self._log.emit(Event.REQUEST_CANCELLED, request_id=context.request_id)
        finally:
            exchange.close()

    async def _serve_exchange(self, scope: Scope, context: _RequestContext) -> None:
        refusal = self._limiter.admit_request()
        if refusal is not None:
            await self._send_result(context, Error(refusal))
            return
        try:
            result = await self._handle_request(scope, context)
            await self._send_result(context, result)
        finally:
            self._limiter.release_request()
            if self._is_stopping and not self._limiter.in_flight_requests:
                self._drained.set()

    async def _handle_request(
        self, scope: Scope, context: _RequestContext
    ) -> Result[Answer, Failure]:
        try:
            return await self._admit_and_submit(scope, context)
        except CallerDisconnectedError:
            raise
        except Exception as error:
            self._log.emit(Event.REQUEST_FAILED, request_id=context.request_id, error=repr(error))
            failure = Failure(Reason.INTERNAL, step="gateway", ran=Ran.UNKNOWN)
            return Error(failure)

    async def _admit_and_submit(
        self, scope: Scope, context: _RequestContext
    ) -> Result[Answer, Failure]:
        admitted = self._admit(scope, context.exchange)
        if admitted.is_error():
            return Error(admitted.error)
        head = admitted.ok.head
        body = await context.exchange.read_body(head.content_length)
        if body.is_error():
            return Error(body.error)
        request = self._make_request(admitted.ok, context, body.ok)
        if request.deadline_ms <= 0:
            return Error(
                _make_refusal(Reason.DEADLINE, "the deadline passed while the body arrived")
            )
        check_admission = partial(self._recheck_admission, head, admitted.ok.organisation)
        pool = admitted.ok.queue.pool
        result = await context.exchange.run_while_connected(
            lambda: self._router.submit(pool, request, check_admission)
        )
        return result.bind(_check_answer)

    def _admit(self, scope: Scope, exchange: Exchange) -> Result[_AdmittedRequest, Failure]:
        target = _request_target(scope)
        if not target.startswith(_QUEUES_PREFIX):
            return Error(_make_refusal(Reason.UNKNOWN_QUEUE, "no such path"))
        target = target.removeprefix(_QUEUES_PREFIX)
        parsed = parse_head(scope["method"], target, exchange.headers, self._options)
        if parsed.is_error():
            return Error(parsed.error)
        head = parsed.ok
        organisation = self.authenticate(head.authorization, head.queue)
        if organisation.is_error():
            return Error(organisation.error)
        queue = self._view.current.get(Queue, head.queue)
        assert queue is not None
        return Ok(_AdmittedRequest(head=head, queue=queue, organisation=organisation.ok))

    def _check_admission(self) -> Failure | None:
        if self._is_stopping:
            return _make_refusal(Reason.STOPPING, "this gateway is stopping")
        return self._check_freshness()

    def _check_freshness(self) -> Failure | None:
        if self._view.is_fresh():
            return None
        detail = "the configuration was not confirmed recently enough"
        return _make_refusal(Reason.STALE_CONFIGURATION, detail, _STALE_CONFIGURATION_RETRY_MS)

    def _recheck_admission(self, head: RequestHead, organisation: str) -> Failure | None:
        refusal = self._check_freshness()
        if refusal is not None:
            return refusal
        queue = self._view.current.get(Queue, head.queue)
        if queue is None:
            return _make_refusal(Reason.UNKNOWN_QUEUE, "the queue was removed")
        checked = self._key_ring.check(head.authorization, queue, self._view.current)
        if checked.is_error():
            return checked.error
        if checked.ok != organisation:
            return _make_refusal(Reason.WRONG_KEY, "the key was granted to another organisation")
        return None

    def _make_request(
        self, admitted: _AdmittedRequest, context: _RequestContext, body: bytes
    ) -> Request:
        head = admitted.head
        elapsed_ms = self._clock.now_ms() - context.started_ms
        return Request(
            request_id=context.request_id,
            queue=head.queue,
            organisation=admitted.organisation,
            key_hash=presented_key_hash(head.authorization),
            urgency=head.urgency,
            deadline_ms=head.deadline_ms - elapsed_ms,
            idempotent=head.idempotent,
            idempotency_key=head.idempotency_key,
            method=head.method,
            path=head.path,
            headers=head.headers,
            body=body,
        )

    async def _send_result(self, context: _RequestContext, result: Result[Answer, Failure]) -> None:
        elapsed_ms = self._clock.now_ms() - context.started_ms
        if self._stop_requested:
            context.exchange.close_connection_after_answer()
        if result.is_ok():
            self._metrics.count("gateway_answers_total")
            self._metrics.observe_ms("gateway_latency_ms", elapsed_ms)
            await context.exchange.send_answer(result.ok, context.request_id)
            return
        failure = result.error
        self._metrics.count("gateway_refusals_total", reason=failure.reason)
        self._log.emit(
            Event.REQUEST_REFUSED,
            request_id=context.request_id,
            reason=failure.reason,
            step=failure.step,
            peer=failure.peer,
            ran=failure.ran,
        )
        await context.exchange.send_failure(failure, context.request_id)


def gateway_app(gateway: Gateway) -> Any:
    """Return the ASGI application of a gateway."""
    return gateway.app


def _check_answer(answer: Answer) -> Result[Answer, Failure]:
    if _MIN_STATUS <= answer.status <= _MAX_STATUS:
        return Ok(answer)
    detail = f"status {answer.status} is not a final HTTP status"
    return Error(
        Failure(Reason.ANSWER_INVALID, step="gateway.answer", detail=detail, ran=Ran.UNKNOWN)
    )


def _request_target(scope: Scope) -> str:
    raw_path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"")
    target = raw_path + b"?" + query if query else raw_path
    return target.decode("latin-1")


def _make_refusal(reason: Reason, detail: str, retry_after_ms: int = 0) -> Failure:
    return Failure(reason, step=_STEP, detail=detail, retry_after_ms=retry_after_ms)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
