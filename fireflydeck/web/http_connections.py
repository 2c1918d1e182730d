"""Accepts HTTP connections and serves each with hypercorn.

hypercorn's own server closes idle connections before it stops listening, which loses requests that
are in transit. Here the listener is closed first.
"""

import asyncio
import socket
from typing import Any

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

__all__ = ["HttpConnections"]

_BACKLOG = 1024
_MS_PER_S = 1000


class HttpConnections:
    """The open connections of one listener.

    Parameters
    ----------
    app
        The ASGI application.
    config
        Limits of each connection.
    """

    def __init__(self, app: Any, config: Config) -> None:
        self._app = wrap_app(app, config.wsgi_max_body_size, None)
        self._config = config
        self._context = WorkerContext(None)
        self._tls = config.create_ssl_context() if config.ssl_enabled else None
        self._connections: set[asyncio.Task[None]] = set()

    async def listen(self, listener: socket.socket) -> asyncio.Server:
        """Start accepting; closing the returned server does not close open connections."""
        return await asyncio.start_server(
            self._accept, sock=listener, backlog=_BACKLOG, ssl=self._tls
        )

    async def serve_accepted(self, connection: socket.socket) -> None:
        """Serve a connection that was accepted by other code."""
        loop = asyncio.get_running_loop()
        protocol = asyncio.StreamReaderProtocol(asyncio.StreamReader(), self._accept)
        await loop.connect_accepted_socket(lambda: protocol, connection, ssl=self._tls)

    async def close(self, graceful_timeout_ms: int) -> None:
        """Close idle connections immediately and the others after their requests are answered.

        Parameters
        ----------
        graceful_timeout_ms
            Time after which the remaining connections are closed with their requests unanswered.
        """
        await self._context.terminated.set()
        if not self._connections:
            return
        _, remaining = await asyncio.wait(
            self._connections, timeout=graceful_timeout_ms / _MS_PER_S
        )
        for connection in remaining:
            connection.cancel()
        if remaining:
            await asyncio.wait(remaining)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        assert connection is not None
        self._connections.add(connection)
        connection.add_done_callback(self._connections.discard)
        loop = asyncio.get_running_loop()
        await TCPServer(self._app, loop, self._config, self._context, {}, reader, writer)
