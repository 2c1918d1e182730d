"""The gateway: takes callers' requests and hands them to dispatchers."""

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
_STALE_RETRY_MS = 1_000
_STEP = "gateway.admit"
_MIN_STATUS = 200
_MAX_STATUS = 599


@frozen(kw_only=True)
class _Admitted:
    head: RequestHead
    queue: Queue
    organisation: str


@frozen(kw_only=True)
class _Work:
    """A request under way, for logs and metrics."""

    request_id: str
    exchange: Exchange
    began_ms: int
    queue: str = field(default="")


class Gateway(Service):
    """Serves the callers' interface; `app` is its ASGI application.

    Parameters
    ----------
    view
        Configuration in force.
    router
        Sends requests to dispatchers.
    jobs_app
        ASGI application of ``/jobs/``; it can also be mounted later.
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
        self._keys = KeyRing()
        self._ids = RequestIds(options.name, clock)
        self._load = LoadLimiter(options.max_in_flight, options.max_buffered_bytes)
        self._is_leaving = False
        self._is_stopping = False
        self._drained = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the service."""
        return "gateway"

    def mount_jobs(self, app: Any) -> None:
        """Serve ``/jobs/`` by an ASGI application."""
        self._jobs_app = app

    async def stop(self) -> None:
        """Refuse new requests and return when the held ones are answered.

        For the leave time before that, requests are served and callers are told to close their
        connections, so that the balancer and the callers go elsewhere.
        """
        self._is_leaving = True
        await self._clock.sleep_ms(self._options.shutdown_delay_ms)
        self._is_stopping = True
        if self._load.requests:
            await self._drained.wait()

    def state(self) -> dict[str, object]:
        """Return what the gateway holds."""
        return {
            "requests": self._load.requests,
            "held_bytes": self._load.bytes,
            "leaving": self._is_leaving,
            "stopping": self._is_stopping,
            "fresh": self._view.is_fresh(),
            "version": self._view.current.version,
        }

    def authenticate(self, authorization: str | None, queue: str) -> Result[str, Failure]:
        """Return the organisation of the key for a queue, if work may be admitted now.

        Parameters
        ----------
        authorization
            Value of the header; `None` if there is none.
        """
        refusal = self._refuse_admission()
        if refusal is not None:
            return Error(refusal)
        entity = self._view.current.get(Queue, queue)
        if entity is None:
            return Error(_refusal(Reason.UNKNOWN_QUEUE, f"no queue {queue!r:.100}"))
        return self._keys.check(authorization, entity, self._view.current)

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
            scope, receive, send, clock=self._clock, options=self._options, load=self._load
        )
        work = _Work(request_id=self._ids.next(), exchange=exchange, began_ms=self._clock.now_ms())
        try:
            await self._serve_exchange(scope, work)
        except CallerDisconnectedError:
            self._metrics.count("gateway_cancelled_total")
            self._log.emit(Event.REQUEST_CANCELLED, request_id=work.request_id)
        finally:
            exchange.close()

    async def _serve_exchange(self, scope: Scope, work: _Work) -> None:
        refusal = self._load.enter()
        if refusal is not None:
            await self._finish(work, Error(refusal))
            return
        try:
            result = await self._run(scope, work)
            await self._finish(work, result)
        finally:
            self._load.leave()
            if self._is_stopping and not self._load.requests:
                self._drained.set()

    async def _run(self, scope: Scope, work: _Work) -> Result[Answer, Failure]:
        try:
            return await self._admit_and_submit(scope, work)
        except CallerDisconnectedError:
            raise
        except Exception as error:
            self._log.emit(Event.REQUEST_FAILED, request_id=work.request_id, error=repr(error))
            failure = Failure(Reason.INTERNAL, step="gateway", ran=Ran.UNKNOWN)
            return Error(failure)

    async def _admit_and_submit(self, scope: Scope, work: _Work) -> Result[Answer, Failure]:
        admitted = self._admit(scope, work.exchange)
        if admitted.is_error():
            return Error(admitted.error)
        head = admitted.ok.head
        body = await work.exchange.read_body(head.content_length)
        if body.is_error():
            return Error(body.error)
        request = self._make_request(admitted.ok, work, body.ok)
        if request.deadline_ms <= 0:
            return Error(_refusal(Reason.DEADLINE, "the deadline passed while the body arrived"))
        refuse = partial(self._refuse_again, head, admitted.ok.organisation)
        pool = admitted.ok.queue.pool
        result = await work.exchange.run_while_connected(
            lambda: self._router.submit(pool, request, refuse)
        )
        return result.bind(_check_answer)

    def _admit(self, scope: Scope, exchange: Exchange) -> Result[_Admitted, Failure]:
        target = _target(scope)
        if not target.startswith(_QUEUES_PREFIX):
            return Error(_refusal(Reason.UNKNOWN_QUEUE, "no such path"))
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
        return Ok(_Admitted(head=head, queue=queue, organisation=organisation.ok))

    def _refuse_admission(self) -> Failure | None:
        if self._is_stopping:
            return _refusal(Reason.STOPPING, "this gateway is stopping")
        return self._refuse_stale()

    def _refuse_stale(self) -> Failure | None:
        if self._view.is_fresh():
            return None
        detail = "the configuration was not confirmed recently enough"
        return _refusal(Reason.STALE_CONFIGURATION, detail, _STALE_RETRY_MS)

    def _refuse_again(self, head: RequestHead, organisation: str) -> Failure | None:
        refusal = self._refuse_stale()
        if refusal is not None:
            return refusal
        queue = self._view.current.get(Queue, head.queue)
        if queue is None:
            return _refusal(Reason.UNKNOWN_QUEUE, "the queue was removed")
        checked = self._keys.check(head.authorization, queue, self._view.current)
        if checked.is_error():
            return checked.error
        if checked.ok != organisation:
            return _refusal(Reason.WRONG_KEY, "the key was granted to another organisation")
        return None

    def _make_request(self, admitted: _Admitted, work: _Work, body: bytes) -> Request:
        head = admitted.head
        elapsed_ms = self._clock.now_ms() - work.began_ms
        return Request(
            request_id=work.request_id,
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

    async def _finish(self, work: _Work, result: Result[Answer, Failure]) -> None:
        elapsed_ms = self._clock.now_ms() - work.began_ms
        if self._is_leaving:
            work.exchange.close_connection_after_answer()
        if result.is_ok():
            self._metrics.count("gateway_answers_total")
            self._metrics.observe_ms("gateway_latency_ms", elapsed_ms)
            await work.exchange.send_answer(result.ok, work.request_id)
            return
        failure = result.error
        self._metrics.count("gateway_refusals_total", reason=failure.reason)
        self._log.emit(
            Event.REQUEST_REFUSED,
            request_id=work.request_id,
            reason=failure.reason,
            step=failure.step,
            peer=failure.peer,
            ran=failure.ran,
        )
        await work.exchange.send_failure(failure, work.request_id)


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


def _target(scope: Scope) -> str:
    raw_path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"")
    target = raw_path + b"?" + query if query else raw_path
    return target.decode("latin-1")


def _refusal(reason: Reason, detail: str, retry_after_ms: int = 0) -> Failure:
    return Failure(reason, step=_STEP, detail=detail, retry_after_ms=retry_after_ms)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
