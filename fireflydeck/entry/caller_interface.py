"""The job interface: submissions, states, cancellations and pending counts over HTTP."""

import anyio
from aiohttp import web
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue, RequestLimits
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.routing import QueueIndex
from fireflydeck.entry.state_source import StateSource
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.platform.documents import DocumentError
from fireflydeck.platform.job_documents import (
    DEADLINE_HEADER,
    JOB_ID,
    KEY_HEADER,
    decode_submission,
    encode_pending,
    encode_refusal,
    encode_state,
)

__all__ = ["CallerInterface"]

_DEFAULT_DEADLINE_MS = 3000
_DEADLINE_SHARE = 0.8
"""Part of the caller's time in which an answer is sought from the store."""
_MAX_STORE_SILENCE_MS = 3000
"""Without an answer of the store for this long, submissions are refused at once."""
_RETRY_AFTER_S = 1
_MS_PER_S = 1000


@frozen
class _Call:
    """A request that found its queue."""

    queue: JobQueue
    organisation: str
    job_id: str
    deadline_ms: int


class CallerInterface:
    """Handles callers' requests."""

    def __init__(
        self,
        *,
        operators: OperatorDocuments,
        lease: LeaseKeeper,
        states: StateSource,
        intake: Intake,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._operators = operators
        self._lease = lease
        self._states = states
        self._intake = intake
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._index: QueueIndex | None = None
        self._indexed: FleetConfiguration | None = None
        self._is_stopping = False

    def stop_keeping_alive(self) -> None:
        """Close each connection after its next answer."""
        self._is_stopping = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        begun_ms = self._clock.now_ms()
        response = await self._respond(request, begun_ms)
        if self._is_stopping:
            response.force_close()
        took_ms = self._clock.now_ms() - begun_ms
        self._metrics.observe_ms("request_ms", took_ms, method=request.method)
        self._metrics.count("requests_total", method=request.method, status=str(response.status))
        if request.method != "GET" or response.status != 200:
            configuration = self._operators.configuration
            self._log.emit(
                Event.REQUEST_ANSWERED,
                method=request.method,
                job=request.path.rpartition("/")[2],
                status=response.status,
                took_ms=took_ms,
                configuration=configuration.version if configuration else 0,
                configuration_age_ms=self._operators.age_ms,
            )
        return response

    async def _respond(self, request: web.BaseRequest, begun_ms: int) -> web.Response:
        configuration = self._operators.configuration
        if configuration is None:
            return _refusal(503, Reason.NOT_READY, "no configuration yet")
        queue = self._find_queue(configuration, request)
        if queue is None:
            return _refusal(404, Reason.UNKNOWN_QUEUE, "no such queue")
        organisation = ""
        key = request.headers.get(KEY_HEADER, "")
        owner = configuration.organisation_of_key(key) if key else None
        if owner is not None:
            organisation = owner.name
        elif not queue.public:
            return _refusal(401, Reason.WRONG_KEY, "unknown key")
        job_id = request.path[len(queue.path_prefix) :]
        deadline_ms = begun_ms + int(_deadline_ms(request) * _DEADLINE_SHARE)
        call = _Call(queue, organisation, job_id, deadline_ms)
        if not job_id:
            return self._pending(request, call)
        if JOB_ID.match(job_id) is None:
            return _refusal(404, Reason.UNKNOWN_JOB, "not a job's id")
        return await self._job_call(request, call, configuration)

    def _find_queue(
        self, configuration: FleetConfiguration, request: web.BaseRequest
    ) -> JobQueue | None:
        if self._index is None or self._indexed is not configuration:
            self._index = QueueIndex(configuration)
            self._indexed = configuration
        return self._index.find(request.headers.get("Host", ""), request.path)

    async def _job_call(
        self, request: web.BaseRequest, call: _Call, configuration: FleetConfiguration
    ) -> web.Response:
        if request.method == "POST":
            return await self._submit(request, call, configuration)
        if request.method == "GET":
            return await self._state(call)
        if request.method == "DELETE":
            return await self._cancel(call)
        return _refusal(405, Reason.BAD_REQUEST, "no such method")

    async def _submit(
        self, request: web.BaseRequest, call: _Call, configuration: FleetConfiguration
    ) -> web.Response:
        received = await _receive_body(request, configuration.limits)
        if received.is_error():
            return received.error
        age_ms = self._operators.age_ms
        if age_ms is None or age_ms > _MAX_STORE_SILENCE_MS:
            return _refusal(503, Reason.STORE_UNAVAILABLE, "the store does not answer")
        try:
            spec = decode_submission(
                received.ok,
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
        return web.Response(status=200, body=b"{}", content_type="application/json")

    async def _state(self, call: _Call) -> web.Response:
        state = await self._states.job_state(call.job_id)
        if state is None:
            found = await self._intake.find(call.job_id, deadline_ms=call.deadline_ms)
            if found.is_error():
                return self._store_failure(call, found.error)
            if found.ok is None:
                return _refusal(410, Reason.UNKNOWN_JOB, "no such job")
            state = found.ok.state
        return web.Response(body=encode_state(state), content_type="application/json")

    async def _cancel(self, call: _Call) -> web.Response:
        result = await self._intake.cancel(call.job_id, deadline_ms=call.deadline_ms)
        if result.is_error():
            return self._store_failure(call, result.error)
        if not result.ok:
            return _refusal(410, Reason.UNKNOWN_JOB, "no such job")
        return web.Response(status=200, body=b"{}", content_type="application/json")

    def _pending(self, request: web.BaseRequest, call: _Call) -> web.Response:
        if request.method != "GET":
            return _refusal(405, Reason.BAD_REQUEST, "no such method")
        holder = self._lease.holder
        if holder is None:
            return _refusal(503, Reason.NOT_READY, "the lease has no holder")
        pending = holder.pending.get(call.queue.name, 0)
        return web.Response(body=encode_pending(pending), content_type="application/json")

    def _store_failure(self, call: _Call, failure: Failure) -> web.Response:
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
            return _refusal(503, failure.reason, "the store took nothing")
        return _refusal(504, failure.reason, "the outcome is unknown")


def _refusal(status: int, reason: Reason, detail: str) -> web.Response:
    headers = {"Retry-After": str(_RETRY_AFTER_S)} if status in (429, 503) else None
    return web.Response(
        status=status,
        body=encode_refusal(reason, detail),
        content_type="application/json",
        headers=headers,
    )


async def _receive_body(
    request: web.BaseRequest, limits: RequestLimits
) -> Result[bytes, web.Response]:
    """Read the body, or tell how the request is refused."""
    limit = limits.max_body_bytes
    content: bytes | None = None
    if (request.content_length or 0) <= limit:
        with anyio.move_on_after(limits.idle_timeout_ms / _MS_PER_S) as scope:
            content = await _read_body(request, limit)
        if scope.cancelled_caught:
            return Error(_refusal(408, Reason.BAD_REQUEST, "the body did not arrive in time"))
    if content is None:
        return Error(_refusal(413, Reason.BODY_TOO_LARGE, f"more than {limit} bytes"))
    return Ok(content)


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Read the body; `None` if it is longer than the limit."""
    content = bytearray()
    async for chunk in request.content.iter_any():
        content.extend(chunk)
        if len(content) > limit:
            return None
    return bytes(content)


def _deadline_ms(request: web.BaseRequest) -> int:
    value = request.headers.get(DEADLINE_HEADER, "")
    return int(value) if value.isdigit() and int(value) > 0 else _DEFAULT_DEADLINE_MS
