"""Answers that break the connection, for ASGI applications under hypercorn.

ASGI has no message that closes a connection without a response, and hypercorn answers 500 when an
application returns early. `StreamClosingApp` therefore closes hypercorn's stream itself when one of
the responses of this module asks for it.
"""

from typing import Any

from hypercorn.protocol.events import StreamClosed
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ["StreamClosingApp", "NoAnswer", "TruncatedAnswer"]

_BREAK = "fireflydeck.break"


class StreamClosingApp:
    """Outermost application; closes the connection for the responses of this module.

    Parameters
    ----------
    app
        The application that it serves.
    """

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""

        async def send_or_break(message: Message) -> None:
            if message["type"] == _BREAK:
                await _close_stream(send)
            else:
                await send(message)

        await self._app(scope, receive, send_or_break)


class NoAnswer(Response):
    """Closes the connection before any byte of an answer."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Close the connection."""
        await send({"type": _BREAK})


class TruncatedAnswer(Response):
    """Sends the head and the first half of the body and closes the connection."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the part and close the connection."""
        start = {"status": self.status_code, "headers": self.raw_headers}
        await send({"type": "http.response.start", **start})
        half = bytes(self.body[: len(self.body) // 2])
        await send({"type": "http.response.body", "body": half, "more_body": True})
        await send({"type": _BREAK})


async def _close_stream(send: Any) -> None:
    stream = send.__self__
    await stream.send(StreamClosed(stream_id=stream.stream_id))
