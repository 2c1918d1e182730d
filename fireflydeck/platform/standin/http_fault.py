"""Fault injection for the HTTP stand-ins."""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import anyio
from aiohttp import web

__all__ = ["HttpFault", "HttpFaults"]

_SILENT_DELAY_S = 30.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpFault(StrEnum):
    """Fault of one call.

    `BUSY` and `UNAVAILABLE` refuse the call without effect; `ANSWER_LOST` executes the call and
    resets the connection; `SILENT` leaves the call unanswered for 30 s; `RESET` resets the
    connection without effect; `GARBAGE` answers with bytes that are not JSON, without effect.
    """

    BUSY = "busy"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer-lost"
    SILENT = "silent"
    RESET = "reset"
    GARBAGE = "garbage"


class HttpFaults:
    """Queue of faults that are applied to the next calls of a stand-in.

    Attributes
    ----------
    next
        Faults of the next calls, in order; `None` for a call without a fault.
    """

    def __init__(self) -> None:
        self.next: list[HttpFault | None] = []

    async def serve(self, request: web.BaseRequest, handler: Handler) -> web.StreamResponse:
        """Answer a call with `handler`, after applying and removing the next fault."""
        fault = self.next.pop(0) if self.next else None
        if fault == HttpFault.BUSY:
            return web.Response(status=429)
        if fault == HttpFault.UNAVAILABLE:
            return web.Response(status=503)
        if fault == HttpFault.GARBAGE:
            return web.Response(body=b"\xff{", content_type="application/json")
        if fault == HttpFault.SILENT:
            await anyio.sleep(_SILENT_DELAY_S)
        response = None if fault == HttpFault.RESET else await handler(request)
        if fault in (HttpFault.RESET, HttpFault.ANSWER_LOST) or response is None:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        return response
