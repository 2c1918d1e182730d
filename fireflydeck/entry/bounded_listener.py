"""Listening socket whose connections are accepted as far as the process has room for them."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from fireflydeck.entry.bounded_protocol import BoundedServer
from fireflydeck.entry.client_budget import CloseReason, ListenerClients
from fireflydeck.kernel.accept_queue import accept_pending_connections

__all__ = ["BoundedListener"]

_ACCEPTS_AT_ONCE = 8
"""Connections that are accepted in one pass of the event loop. Those that are closed for them keep
their descriptors until the next pass, so this is also the excess over the limit."""
_KERNEL_BUFFER_BYTES = 16 * 1024
"""Receive and send buffer of a connection; the kernel doubles it for its own bookkeeping."""


class BoundedListener:
    """HTTP listener on one address.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    backlog
        Number of connections that the kernel queues while accepting is paused.
    options
        Further options of the HTTP library's protocol.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        clients: ListenerClients,
        *,
        backlog: int = 128,
        shutdown_timeout_s: float = 1.0,
        **options: Any,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._clients = clients
        self._backlog = backlog
        self._handler = handler
        self._shutdown_timeout_s = shutdown_timeout_s
        self._options = options
        self._runner: web.ServerRunner | None = None
        self._socket: socket.socket | None = None
        self._is_accepting = False
        self._waiting: socket.socket | None = None
        """Accepted connection for which there was no room."""
        self._connecting: set[asyncio.Task] = set()
        clients.on_room(self._resume)

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        server = BoundedServer(self._handler, self._clients, **self._options)
        self._runner = web.ServerRunner(server, shutdown_timeout=self._shutdown_timeout_s)
        await self._runner.setup()
        self._socket = socket.create_server(self._address, backlog=self._backlog)
        self._socket.setblocking(False)
        # Accepted connections inherit both.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _KERNEL_BUFFER_BYTES)
        self._resume()
        # As in the library's start: the loop watches the socket from its next pass.
        await asyncio.sleep(0)

    async def stop_accepting(self) -> None:
        """Close the listening socket, but serve the connections that wait in its accept queue."""
        if self._socket is None:
            return
        listener, self._socket = self._socket, None
        if self._is_accepting:
            asyncio.get_running_loop().remove_reader(listener)
            self._is_accepting = False
        pending = accept_pending_connections(listener)
        if self._waiting is not None:
            pending.insert(0, self._waiting)
            self._waiting = None
        listener.close()
        for connection in pending:
            await self._connect(connection)

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        await self.stop_accepting()
        if self._runner is not None:
            await self._runner.cleanup()

    def _resume(self) -> None:
        if self._socket is not None and not self._is_accepting:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket, self._accept)
            self._is_accepting = True
            if self._waiting is not None:
                loop.call_soon(self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._is_accepting:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._is_accepting = False

    def _accept(self) -> None:
        for _ in range(_ACCEPTS_AT_ONCE):
            if not self._is_accepting:
                return
            connection = self._waiting or self._next_connection()
            self._waiting = None
            if connection is None:
                return
            if not self._clients.make_room():
                self._waiting = connection
                self._pause()
                return
            self._clients.note_accepted()
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    def _next_connection(self) -> socket.socket | None:
        """Return a connection from the kernel's queue, or `None` if there is none."""
        if self._socket is None:
            return None
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError:
            # No descriptor or no buffer is left; the next sweep of the budget resumes.
            self._clients.note(CloseReason.DESCRIPTORS)
            self._pause()
            return None
        connection.setblocking(False)
        return connection

    async def _connect(self, connection: socket.socket) -> None:
        if self._runner is None or self._runner.server is None:
            connection.close()
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._runner.server, connection)
        except OSError:
            # The client has closed the connection already.
            connection.close()
            self._clients.forget_accepted()
