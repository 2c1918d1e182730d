"""ASGI middleware that gives up on request bodies whose sender has gone silent."""

from typing import Any

import anyio

__all__ = ["BodyTimeout"]

_MS_PER_S = 1000


class BodyTimeout:
    """Reports a disconnect to the application when the next part of a body stays out.

    hypercorn's own read timeout also ends the reading of idle connections and of those whose
    request is still at work, so that their next request is never read; this one counts only while
    a body is incomplete.

    Parameters
    ----------
    app
        The ASGI application that it serves.
    timeout_ms
        Time within which the next part of a body must arrive.
    """

    def __init__(self, app: Any, timeout_ms: int) -> None:
        self._app = app
        self._timeout_s = timeout_ms / _MS_PER_S

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI connection."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        complete = False

        async def receive_in_time() -> Any:
            nonlocal complete
            if complete:
                return await receive()
            with anyio.move_on_after(self._timeout_s):
                message = await receive()
                complete = not message.get("more_body", False)
                return message
            return {"type": "http.disconnect"}

        await self._app(scope, receive_in_time, send)
