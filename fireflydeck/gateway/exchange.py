"""One HTTP request and its response over ASGI.

Limits the size of the request body, detects that the caller disconnects, and sends the answer.
"""

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import anyio
from expression import Error, Ok, Result

from fireflydeck.core import Answer, Clock, Failure, Header, Reason
from fireflydeck.gateway.admission import LoadLimiter
from fireflydeck.gateway.options import GatewayOptions
from fireflydeck.gateway.parsing import forwarded_headers
from fireflydeck.gateway.problem import make_problem
from fireflydeck.web.timeout import run_within_ms

__all__ = ["CallerDisconnectedError", "Exchange", "Receive", "Scope", "Send"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_STEP = "gateway.body"
_BODILESS_STATUSES = frozenset({204, 304})


class CallerDisconnectedError(Exception):
    """The caller disconnected, or stopped reading the answer."""


class Exchange:
    """One caller's HTTP request and the response to it.

    Parameters
    ----------
    limiter
        Counts the buffered bytes of this exchange until `close`.
    """

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        *,
        clock: Clock,
        options: GatewayOptions,
        limiter: LoadLimiter,
    ) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
        self._clock = clock
        self._options = options
        self._limiter = limiter
        self._buffered_bytes = 0
        self._body_is_complete = False
        self._closes_connection = False

    @property
    def headers(self) -> tuple[Header, ...]:
        """All request headers, with names in lower case."""
        return tuple(
            Header(name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in self._scope["headers"]
        )

    async def read_body(self, content_length: int | None) -> Result[bytes, Failure]:
        """Return the whole request body.

        The result is an error if the body exceeds a size limit or arrives too slowly.

        Parameters
        ----------
        content_length
            Declared size of the body in bytes; `None` if not declared.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected before the body was complete.
        """
        if content_length is not None and content_length > self._options.max_body_bytes:
            return Error(self._body_too_large())
        timeout_ms = self._options.body_timeout_ms
        try:
            return await run_within_ms(self._clock, timeout_ms, self._collect_body)
        except TimeoutError:
            detail = f"the body did not arrive within {timeout_ms} ms"
            return Error(Failure(Reason.BAD_REQUEST, step=_STEP, detail=detail))

    async def run_while_connected(
        self, call: Callable[[], Awaitable[Result[Answer, Failure]]]
    ) -> Result[Answer, Failure]:
        """Return the result of `call()`, which is cancelled if the caller disconnects.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected before the call returned.
        """
        result: Result[Answer, Failure] | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, tasks.cancel_scope)
            result = await call()
            tasks.cancel_scope.cancel()
        if result is None:
            raise CallerDisconnectedError
        return result

    def close_connection_after_answer(self) -> None:
        """Send ``connection: close`` with the response, if the caller uses HTTP/1."""
        self._closes_connection = True

    async def send_answer(self, answer: Answer, request_id: str) -> None:
        """Send the backend server's answer."""
        self._reserve_bytes(len(answer.body))
        headers = [header for header in forwarded_headers(answer.headers) if header.name != "date"]
        headers += [Header("x-request-id", request_id), Header("x-vm", answer.vm)]
        length = self._content_length(answer)
        if length is not None:
            headers.append(Header("content-length", length))
        if self._closes_connection and self._is_http1:
            headers.append(Header("connection", "close"))
        await self._send_response(answer.status, headers, answer.body)

    async def send_failure(self, failure: Failure, request_id: str) -> None:
        """Send the problem document of a failure.

        An HTTP/1 connection is closed after it if the gateway is stopping or the request body was
        not read completely.
        """
        problem = make_problem(failure, request_id)
        headers = [*problem.headers, Header("x-request-id", request_id)]
        headers.append(Header("content-length", str(len(problem.body))))
        if self._must_close(failure):
            headers.append(Header("connection", "close"))
        await self._send_response(problem.status, headers, problem.body)

    def close(self) -> None:
        """Release the buffered bytes of this exchange."""
        self._limiter.release_bytes(self._buffered_bytes)
        self._buffered_bytes = 0

    async def _collect_body(self) -> Result[bytes, Failure]:
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            chunk = message.get("body", b"")
            size += len(chunk)
            refusal = self._check_size(size, len(chunk))
            if refusal is not None:
                return Error(refusal)
            self._reserve_bytes(len(chunk))
            chunks.append(chunk)
            if not message.get("more_body", False):
                self._body_is_complete = True
                return Ok(b"".join(chunks))

    def _check_size(self, size: int, chunk_size: int) -> Failure | None:
        if size > self._options.max_body_bytes:
            return self._body_too_large()
        if not self._limiter.can_buffer(chunk_size):
            detail = "too many bytes are held already"
            return Failure(Reason.TOO_MANY_REQUESTS, step=_STEP, detail=detail)
        return None

    def _body_too_large(self) -> Failure:
        detail = f"the body exceeds {self._options.max_body_bytes} bytes"
        return Failure(Reason.BODY_TOO_LARGE, step=_STEP, detail=detail)

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    def _content_length(self, answer: Answer) -> str | None:
        if self._scope["method"] == "HEAD":
            lengths = [h.value for h in answer.headers if h.name == "content-length"]
            return lengths[0] if lengths else None
        return None if answer.status in _BODILESS_STATUSES else str(len(answer.body))

    def _must_close(self, failure: Failure) -> bool:
        is_stopping = self._closes_connection or failure.reason is Reason.STOPPING
        return self._is_http1 and (is_stopping or not self._body_is_complete)

    @property
    def _is_http1(self) -> bool:
        return self._scope["http_version"].startswith("1")

    async def _send_response(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        try:
            await run_within_ms(
                self._clock,
                self._options.send_timeout_ms,
                lambda: self._send_messages(status, headers, body),
            )
        except TimeoutError as error:
            raise CallerDisconnectedError from error

    async def _send_messages(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        encoded = [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in headers]
        await self._send({"type": "http.response.start", "status": status, "headers": encoded})
        if not self._body_is_complete:
            await self._send({"type": "http.response.body", "body": body, "more_body": True})
            body = b""
            await self._drain_body()
        await self._send({"type": "http.response.body", "body": body, "more_body": False})

    async def _drain_body(self) -> None:
        # A response that ends before the request body resets an HTTP/1.1 connection, possibly
        # before the caller has read the response; an HTTP/2 connection is closed by the server with
        # all its streams.
        try:
            await run_within_ms(self._clock, self._options.drain_timeout_ms, self._discard_body)
        except TimeoutError:
            return

    async def _discard_body(self) -> None:
        message = await self._receive()
        while message["type"] == "http.request" and message.get("more_body", False):
            message = await self._receive()

    def _reserve_bytes(self, size: int) -> None:
        self._limiter.reserve_bytes(size)
        self._buffered_bytes += size
