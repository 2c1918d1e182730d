"""HTTP client for backend servers that says after a failure whether the request may have run.

The guard is called right before the first byte of a request is written. If it refuses, no byte is
sent and the request has not run. If it allows the send, the outcome is unknown without a complete
answer, unless the backend server states that it did not start the request.
"""

import json
import ssl
from collections.abc import Callable
from typing import Any

import anyio
import httpx
from attrs import define, frozen
from expression import Error, Ok, Result

from fireflydeck.core import Answer, Clock, Failure, Header, Ran, Reason, Request, Vm
from fireflydeck.dispatcher.headers import answer_headers, request_headers
from fireflydeck.kernel import Metrics

__all__ = ["BackendClient", "BackendClientOptions", "BackendRequest", "Guard"]

Guard = Callable[[], Failure | None]
"""Function that returns why a request must not be sent, or `None` if it may be sent."""

_MS_PER_S = 1000
_FIRST_BYTE_EVENT = "http11.send_request_headers.started"
_HEADERS_FAILED_EVENT = "http11.send_request_headers.failed"
_NOT_STARTED_STATUS = 503
_STATUS_WITHOUT_BODY = frozenset({204, 304})
_METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})


@frozen(kw_only=True)
class BackendClientOptions:
    """Limits of the client.

    Parameters
    ----------
    dispatcher
        Name of this member, sent with each request.
    max_answer_bytes
        Maximum size of an answer body.
    connect_timeout_ms
        Timeout for establishing a TCP connection.
    idle_timeout_ms
        Time after which an idle connection is closed.
    """

    dispatcher: str
    max_answer_bytes: int = 64 * 1024 * 1024
    connect_timeout_ms: int = 1_000
    idle_timeout_ms: int = 4_000


@frozen(kw_only=True)
class BackendRequest:
    """A request to be sent to a VM.

    Parameters
    ----------
    deadline_ms
        Monotonic time at which the caller stops waiting and the lease of the task ends, in
        milliseconds.
    guard
        Called right before the first byte is sent.
    """

    request: Request
    vm: Vm
    deadline_ms: int
    guard: Guard


class _GuardRefusedError(Exception):
    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class _AnswerInvalidError(Exception):
    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


@define
class _Progress:
    """Progress of one exchange of a request and its answer."""

    guard: Guard
    is_sent: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        if event == _FIRST_BYTE_EVENT:
            failure = self.guard()
            if failure is not None:
                raise _GuardRefusedError(failure)
            self.is_sent = True
        elif event == _HEADERS_FAILED_EVENT:
            is_local = type(info.get("exception")).__name__ == "LocalProtocolError"
            self.is_sent = self.is_sent and not is_local


class BackendClient:
    """HTTP/1.1 client with a connection pool per VM.

    It uses the transports of httpx, because an `httpx.AsyncClient` would send the cookies of one
    caller with the requests of others and add its own header fields.

    Parameters
    ----------
    options
        Limits of the client.
    clock
        Source of time.
    metrics
        Metrics of the process.
    """

    def __init__(self, options: BackendClientOptions, clock: Clock, metrics: Metrics) -> None:
        self._options = options
        self._clock = clock
        self._metrics = metrics
        self._transports: dict[str, httpx.AsyncHTTPTransport] = {}
        self._ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    async def close(self) -> None:
        """Close all connections."""
        for transport in self._transports.values():
            await transport.aclose()
        self._transports.clear()

    async def disconnect(self, address: str) -> None:
        """Close the connections to a backend server that no longer exists."""
        transport = self._transports.pop(address, None)
        if transport is not None:
            await transport.aclose()

    async def send(self, outgoing: BackendRequest) -> Result[Answer, Failure]:
        """Send a request once and return the complete answer.

        The `ran` attribute of a failure says whether the request may have run.
        """
        progress = _Progress(outgoing.guard)
        remaining_ms = outgoing.deadline_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(max(0, remaining_ms) / _MS_PER_S):
                result = await self._exchange(outgoing, progress, remaining_ms)
        except _GuardRefusedError as error:
            result = Error(error.failure)
        except TimeoutError:
            result = _failure(Reason.DEADLINE, outgoing.vm, progress, "no whole answer in time")
        except _AnswerInvalidError as error:
            result = _failure(error.reason, outgoing.vm, progress, str(error))
        except httpx.LocalProtocolError as error:
            result = _failure(Reason.BAD_REQUEST, outgoing.vm, progress, str(error))
        except (httpx.TransportError, httpx.StreamError, httpx.InvalidURL) as error:
            reason = Reason.BACKEND_LOST if progress.is_sent else Reason.BACKEND_UNREACHABLE
            result = _failure(reason, outgoing.vm, progress, repr(error))
        outcome = "answer" if result.is_ok() else result.error.reason.value
        self._metrics.count("backend_requests_total", outcome=outcome)
        return result

    async def running_tasks(self, vm: Vm) -> Result[frozenset[str], Failure]:
        """Return the IDs of the tasks that the backend server reports as running."""
        url = f"http://{vm.address}/-/status"
        timeout_ms = self._options.connect_timeout_ms
        progress = _Progress(lambda: None)
        try:
            with anyio.fail_after(timeout_ms / _MS_PER_S):
                response = await self._transport(vm).handle_async_request(httpx.Request("GET", url))
                try:
                    body = await self._read_body(response)
                finally:
                    with anyio.CancelScope(shield=True):
                        await response.aclose()
            return Ok(frozenset(str(task["id"]) for task in json.loads(body)["tasks"]))
        except (TimeoutError, httpx.TransportError, _AnswerInvalidError) as error:
            return _failure(Reason.BACKEND_UNREACHABLE, vm, progress, repr(error))
        except (ValueError, KeyError, TypeError) as error:
            return _failure(Reason.ANSWER_INVALID, vm, progress, repr(error))

    async def _exchange(
        self, outgoing: BackendRequest, progress: _Progress, remaining_ms: int
    ) -> Result[Answer, Failure]:
        request = self._build_request(outgoing, progress, remaining_ms)
        response = await self._transport(outgoing.vm).handle_async_request(request)
        try:
            self._check_head(response, outgoing.request)
            if _is_not_started(response):
                detail = "the backend server did not start it"
                return Error(
                    Failure(Reason.BACKEND_REFUSED, "dispatch.answer", outgoing.vm.name, detail)
                )
            body = await self._read_body(response)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        return Ok(
            Answer(
                request_id=outgoing.request.request_id,
                status=response.status_code,
                headers=answer_headers(_header_fields(response)),
                body=body,
                vm=outgoing.vm.name,
            )
        )

    def _build_request(
        self, outgoing: BackendRequest, progress: _Progress, remaining_ms: int
    ) -> httpx.Request:
        request = outgoing.request
        fields = [(header.name, header.value) for header in request_headers(request.headers)]
        fields += [
            ("x-request-id", request.request_id),
            ("x-organisation", request.organisation),
            ("x-dispatcher", self._options.dispatcher),
            ("x-lease-ms", str(max(1, remaining_ms))),
        ]
        if not request.body and request.method in _METHODS_WITH_BODY:
            fields.append(("content-length", "0"))
        connect_timeout_ms = min(self._options.connect_timeout_ms, remaining_ms)
        return httpx.Request(
            request.method,
            f"http://{outgoing.vm.address}/",
            headers=fields,
            content=request.body,
            extensions={
                "trace": progress.trace,
                "target": request.path.encode("ascii", "replace"),
                "timeout": {"connect": connect_timeout_ms / _MS_PER_S},
            },
        )

    def _check_head(self, response: httpx.Response, request: Request) -> None:
        if response.headers.get("x-request-id") != request.request_id:
            raise _AnswerInvalidError(Reason.ANSWER_INVALID, "the answer is of another request")
        has_no_body = request.method == "HEAD" or response.status_code in _STATUS_WITHOUT_BODY
        is_framed = "content-length" in response.headers or "transfer-encoding" in response.headers
        if not is_framed and not has_no_body:
            raise _AnswerInvalidError(Reason.ANSWER_INVALID, "the answer has no length")
        if not has_no_body:
            self._check_size(int(response.headers.get("content-length", 0)))

    async def _read_body(self, response: httpx.Response) -> bytes:
        body = bytearray()
        async for chunk in response.stream:  # type: ignore[union-attr]
            body += chunk
            self._check_size(len(body))
        return bytes(body)

    def _check_size(self, size: int) -> None:
        if size > self._options.max_answer_bytes:
            detail = f"the answer exceeds {self._options.max_answer_bytes} bytes"
            raise _AnswerInvalidError(Reason.ANSWER_TOO_LARGE, detail)

    def _transport(self, vm: Vm) -> httpx.AsyncHTTPTransport:
        transport = self._transports.get(vm.address)
        if transport is None:
            limits = httpx.Limits(
                max_connections=vm.connections,
                max_keepalive_connections=vm.slots,
                keepalive_expiry=self._options.idle_timeout_ms / _MS_PER_S,
            )
            transport = httpx.AsyncHTTPTransport(verify=self._ssl_context, limits=limits)
            self._transports[vm.address] = transport
        return transport


def _is_not_started(response: httpx.Response) -> bool:
    is_marked = response.headers.get("x-not-started") == "true"
    return is_marked and response.status_code == _NOT_STARTED_STATUS


def _header_fields(response: httpx.Response) -> list[Header]:
    return [Header(name, value) for name, value in response.headers.multi_items()]


def _failure(reason: Reason, vm: Vm, progress: _Progress, detail: str) -> Result[Any, Failure]:
    step = "dispatch.answer" if progress.is_sent else "dispatch.connect"
    ran = Ran.UNKNOWN if progress.is_sent else Ran.NO
    return Error(Failure(reason, step=step, peer=vm.name, detail=detail, ran=ran))
