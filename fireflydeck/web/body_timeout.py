"""ASGI middleware with a timeout for request bodies."""

from typing import Any

import anyio

__all__ = ["BodyTimeout"]

_MS_PER_S = 1000


class BodyTimeout:
    """Middleware that reports a disconnect when the next part of a body does not arrive in time.

    hypercorn's own read timeout also stops reading from idle connections and from connections whose
    request is still being processed, so that their next request is never read. This timeout applies
    only while a body is incomplete.

    Parameters
    ----------
    app
        The wrapped ASGI application.
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
        is_complete = False

        async def receive_with_timeout() -> Any:
            nonlocal is_complete
            if is_complete:
                return await receive()
            with anyio.move_on_after(self._timeout_s):
                message = await receive()
                is_complete = not message.get("more_body", False)
                return message
            return {"type": "http.disconnect"}

        await self._app(scope, receive_with_timeout, send)
