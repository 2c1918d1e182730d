"""Responses that close the connection early, for ASGI applications served by hypercorn.

ASGI has no message that closes a connection without a response, and hypercorn answers 500 when an
application returns early. `StreamClosingApp` therefore closes hypercorn's stream itself when one of
the responses of this module asks for it.
"""

from typing import Any

from hypercorn.protocol.events import StreamClosed
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ["StreamClosingApp", "NoAnswer", "TruncatedAnswer"]

_CLOSE_CONNECTION = "fireflydeck.break"


class StreamClosingApp:
    """Outermost ASGI application; closes the connection for the responses of this module.

    Parameters
    ----------
    app
        The wrapped application.
    """

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""

        async def send_or_close(message: Message) -> None:
            if message["type"] == _CLOSE_CONNECTION:
                await _close_stream(send)
            else:
                await send(message)

        await self._app(scope, receive, send_or_close)


class NoAnswer(Response):
    """A response that closes the connection before any byte is sent."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Close the connection."""
        await send({"type": _CLOSE_CONNECTION})


class TruncatedAnswer(Response):
    """A response that sends its headers and half of its body, then closes the connection."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the truncated response and close the connection."""
        start = {"status": self.status_code, "headers": self.raw_headers}
        await send({"type": "http.response.start", **start})
        half = bytes(self.body[: len(self.body) // 2])
        await send({"type": "http.response.body", "body": half, "more_body": True})
        await send({"type": _CLOSE_CONNECTION})


async def _close_stream(send: Any) -> None:
    stream = send.__self__
    await stream.send(StreamClosed(stream_id=stream.stream_id))
