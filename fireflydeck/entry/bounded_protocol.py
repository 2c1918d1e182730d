"""Protocol of one client's connection, with the bounds that the HTTP library does not have."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any

from aiohttp import web

from fireflydeck.entry.aiohttp_internals import (
    has_parse_error,
    is_waiting_for_request,
    limit_read_size,
    limit_requests_ahead,
    newest_body,
    parsed_requests,
    queued_requests,
)
from fireflydeck.entry.client_budget import BoundedConnection, CloseReason, ListenerClients

__all__ = ["BoundedProtocol", "BoundedServer"]

_READ_BYTES = 4 * 1024
"""Bytes that are read from a socket at a time. The library's default of 256 KiB would be held by
every connection whose parser is paused, and 16 KiB of single-byte chunks take the parser 7 ms."""
_BUFFER_BYTES = 16 * 1024
"""Bytes of a body that are buffered until its handler reads them."""
_READ_COST_BYTES = 64
"""Memory of the object that holds the bytes of one read."""
_WRITE_BUFFER_BYTES = 16 * 1024
_REQUESTS_AHEAD = 2
"""With two, a client that sends its next request early does not pause the reading."""
_MAX_HEAD_BYTES = 16 * 1024
_MIN_RATE_AGE_S = 5.0
_MIN_BODY_RATE = 100
"""Bytes per second of a body that has been arriving for `_MIN_RATE_AGE_S`."""
_MAX_CHUNK_OVERHEAD_BYTES = 16 * 1024
"""Bytes on the wire beyond the content of a body in chunks: 2,048 chunks of 128 bytes make the
largest body. Each chunk costs microseconds, however small it is."""
_BODY_MARGIN_S = 1.0
"""The handler of a request refuses a late body; the connection is closed this much later."""
_MAX_WRITE_STALL_S = 5.0
_LINGERING_S = 1.0
"""How long the rest of a refused body is read and dropped, so that the client sees the refusal."""
_MAX_DRAINED_BYTES = 256 * 1024
_KEEP_ALIVE_TIMEOUT_S = 75.0
_MS_PER_S = 1000


class _Phase(StrEnum):
    """What a connection is waiting for."""

    UNUSED = "unused"
    HEAD = "head"
    BODY = "body"
    HANDLER = "handler"
    IDLE = "idle"


class BoundedProtocol(web.RequestHandler, BoundedConnection):
    """Connection that charges what it holds to the budget and can be closed for its lateness."""

    __slots__ = (
        "_body",
        "_body_since",
        "_clients",
        "_drained",
        "_head_bytes",
        "_head_overhead",
        "_head_since",
        "_is_refused",
        "_opened_at",
        "_pieces",
        "_requests",
        "_stalled_since",
        "_wire_bytes",
        "held",
    )

    def __init__(
        self, server: "BoundedServer", clients: ListenerClients, *, loop: Any, **options: Any
    ) -> None:
        super().__init__(server, loop=loop, **options)
        limit_requests_ahead(self, loop, requests=_REQUESTS_AHEAD, read_bufsize=_BUFFER_BYTES)
        self._clients = clients
        self.held = 0
        self._opened_at = loop.time()
        self._requests = 0
        self._body: Any = None
        self._body_since = self._head_since = self._stalled_since = 0.0
        self._head_bytes = self._head_overhead = self._wire_bytes = self._drained = 0
        self._is_refused = False
        self._pieces: list[bytes] = []

    @property
    def opened_at(self) -> float:
        """Return the time at which the client connected, in seconds of the event loop."""
        return self._opened_at

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for a next request."""
        return self._phase() == _Phase.IDLE

    @property
    def is_unfinished(self) -> bool:
        """Return whether the connection waits for its client."""
        return bool(self._stalled_since) or self._phase() != _Phase.HANDLER

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the buffers of the connection and count it."""
        limit_read_size(transport, _READ_BYTES)
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        self._clients.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release everything that the connection holds."""
        self._clients.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Charge the bytes to the budget and parse them, unless the request is refused."""
        if self._is_refused:
            return
        if data:
            self._wire_bytes += len(data)
            if self._drained:
                self._drained += len(data)
                if self._drained > _MAX_DRAINED_BYTES:
                    self.abort(CloseReason.BODY_REFUSED)
                    return
            else:
                self._clients.charge(self, len(data) + _READ_COST_BYTES)
                if self.transport is None:
                    return
        was_in_body = self._is_in_body()
        super().data_received(data)
        if parsed_requests(self) != self._requests:
            self._note_request(len(data))
        elif not was_in_body:
            self._note_head(len(data))
        elif self._is_in_body() and not self._drained:
            self._check_chunks()

    async def finish_response(self, request: Any, resp: Any, start_time: Any) -> Any:
        """Send a response; the request's memory is free once it is sent."""
        if not request.content.is_eof():
            # The rest of a short body is read, and the connection serves the next request.
            length = request.content_length
            if length is None or length > _BUFFER_BYTES:
                resp.force_close()
            self._drained = 1
        if isinstance(resp, web.Response) and isinstance(resp.body, bytes):
            self._clients.charge(self, len(resp.body))
        result = await super().finish_response(request, resp, start_time)
        if not queued_requests(self):
            self._clients.release(self)
        elif parsed_requests(self) != self._requests:
            # The library parses what follows a declined upgrade after the response to it.
            self._note_request(0)
        return result

    def hold(self, pieces: list[bytes]) -> None:
        """Note the list of what is read of a body; it is emptied if the connection is aborted."""
        self._pieces = pieces

    def charge(self, count: int) -> None:
        """Charge memory that a request takes beyond its bytes on the wire."""
        self._clients.charge(self, count)

    def pause_writing(self) -> None:
        """Note that the client does not read its responses."""
        super().pause_writing()
        self._stalled_since = self._loop.time()

    def resume_writing(self) -> None:
        """Note that the client has read responses."""
        super().resume_writing()
        self._stalled_since = 0.0

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and drop what it holds."""
        transport = self.transport
        if transport is None:
            return
        self._is_refused = True
        self._pieces.clear()
        self._clients.note(reason)
        self._clients.remove(self)
        self.force_close()
        transport.abort()

    def close_if_late(self, now: float) -> None:
        """Close the connection if its client exceeds a time limit.

        Parameters
        ----------
        now
            Time of the event loop, in seconds.
        """
        limits = self._clients.limits()
        idle_s = limits.idle_timeout_ms / _MS_PER_S
        phase = self._phase()
        if self._stalled_since and now - self._stalled_since > _MAX_WRITE_STALL_S:
            self.abort(CloseReason.UNREAD_RESPONSES)
        elif phase == _Phase.UNUSED and now - self._opened_at > idle_s:
            self.abort(CloseReason.UNUSED)
        elif phase == _Phase.HEAD and now - self._head_since > limits.header_timeout_ms / _MS_PER_S:
            self.abort(CloseReason.SLOW_HEAD)
        elif phase == _Phase.BODY:
            age = now - self._body_since
            is_slow = age > _MIN_RATE_AGE_S and self._wire_bytes < age * _MIN_BODY_RATE
            if is_slow or age > idle_s + _BODY_MARGIN_S:
                self.abort(CloseReason.SLOW_BODY)

    def _phase(self) -> _Phase:
        if self._is_in_body():
            return _Phase.BODY
        if not is_waiting_for_request(self):
            return _Phase.HANDLER if self._requests else _Phase.UNUSED
        if self._head_bytes:
            return _Phase.HEAD
        return _Phase.IDLE if self._requests else _Phase.UNUSED

    def _is_in_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _note_request(self, count: int) -> None:
        """Note that one or more heads were parsed in the last `count` bytes."""
        self._requests = parsed_requests(self)
        self._head_bytes = self._drained = 0
        self._wire_bytes = count
        self._body_since = self._loop.time()
        if has_parse_error(self):
            self._is_refused = True
            if self._is_in_body():
                self._body.set_exception(web.RequestPayloadError("the body is not valid HTTP"))
            self._body = None
            self._clients.note(CloseReason.INVALID)
        else:
            self._body = newest_body(self) if queued_requests(self) else None
            self._head_overhead = count - (self._body.total_bytes if self._body else 0)

    def _check_chunks(self) -> None:
        """Close the connection if its body consists of too many chunks."""
        overhead = self._wire_bytes - self._body.total_bytes - self._head_overhead
        if overhead > _MAX_CHUNK_OVERHEAD_BYTES:
            self.abort(CloseReason.CHUNKS)

    def _note_head(self, count: int) -> None:
        """Note bytes of a head that is not complete."""
        if count and not self._head_bytes:
            self._head_since = self._loop.time()
        self._head_bytes += count
        if self._head_bytes > max(_MAX_HEAD_BYTES, self._clients.limits().max_header_bytes):
            self.abort(CloseReason.LONG_HEAD)


class BoundedServer(web.Server):
    """HTTP server whose connections are bounded."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        clients: ListenerClients,
        **options: Any,
    ) -> None:
        super().__init__(handler)
        self._clients = clients
        self._options = {
            "keepalive_timeout": _KEEP_ALIVE_TIMEOUT_S,
            "lingering_time": _LINGERING_S,
            "read_bufsize": _BUFFER_BYTES,
            "max_line_size": _MAX_HEAD_BYTES,
            "max_field_size": _MAX_HEAD_BYTES,
            **options,
        }

    def __call__(self) -> web.RequestHandler:
        """Return the protocol for a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedProtocol(self, self._clients, loop=loop, **self._options)
