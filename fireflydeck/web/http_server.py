"""Service that serves an ASGI application with hypercorn."""

import socket
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import frozen
from hypercorn.config import Config

from fireflydeck.kernel.accept_queue import accept_pending_connections
from fireflydeck.kernel.service import Registry, Service
from fireflydeck.web.body_timeout import BodyTimeout
from fireflydeck.web.http_connections import HttpConnections

__all__ = ["HttpServer", "HttpServerOptions"]


_MS_PER_S = 1000
_BACKLOG = 1024
_READ_AFTER_STOP_MS = 300
_READ_TIMEOUT_S = 7 * 24 * 3600


@frozen(kw_only=True)
class HttpServerOptions:
    """Limits of an HTTP server.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 selects a free port.
    keep_alive_ms
        Time that an idle connection stays open; also the time limit for the head of a request.
    read_timeout_ms
        Time within which the next bytes of a request body must arrive.
    graceful_timeout_ms
        Time limit for open requests to finish after the stop has begun.
    max_header_bytes
        Maximum size of the head of a request.
    certificate, private_key
        Paths of PEM files; both are empty for plain HTTP.
    """

    address: str
    keep_alive_ms: int = 60_000
    read_timeout_ms: int = 30_000
    graceful_timeout_ms: int = 3_600_000
    max_header_bytes: int = 16_384
    certificate: str = ""
    private_key: str = ""


class HttpServer(Service):
    """An HTTP/1.1 and HTTP/2 listener.

    Parameters
    ----------
    name
        Name of the service.
    app
        The ASGI application.
    options
        Address and limits.
    """

    def __init__(self, name: str, app: Any, options: HttpServerOptions) -> None:
        self._name = name
        self._app = app
        self._options = options
        self._address = options.address
        self._shutdown = anyio.Event()
        self._finished = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the service."""
        return self._name

    @property
    def address(self) -> str:
        """``ip:port`` that the server listens on; the actual port after the start."""
        return self._address

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start listening; clients can connect when this returns.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        listener = _listen(self._options.address)
        self._address = _address_of(listener)
        tasks.start_soon(self._serve, listener)

    async def stop(self) -> None:
        """Stop accepting connections and return when open requests are answered.

        Accepted connections are read for a short time longer, so that requests in transit at the
        stop are answered.
        """
        self._shutdown.set()
        await self._finished.wait()

    def state(self) -> dict[str, str]:
        """Return the address."""
        return {"address": self._address}

    async def _serve(self, listener: socket.socket) -> None:
        connections = HttpConnections(
            BodyTimeout(self._app, self._options.read_timeout_ms), self._config()
        )
        server = await connections.listen(listener)
        try:
            await self._shutdown.wait()
            pending = accept_pending_connections(listener)
            server.close()
            for connection in pending:
                await connections.serve_accepted(connection)
            await anyio.sleep(_READ_AFTER_STOP_MS / _MS_PER_S)
            await connections.close(self._options.graceful_timeout_ms)
        except anyio.get_cancelled_exc_class():
            server.close()
            with anyio.CancelScope(shield=True):
                await connections.close(graceful_timeout_ms=0)
            raise
        finally:
            self._finished.set()

    def _config(self) -> Config:
        config = Config()
        config.keep_alive_timeout = self._options.keep_alive_ms / _MS_PER_S
        # Never reached in practice: idle connections and incomplete heads end by the keep-alive
        # timeout, incomplete bodies by `BodyTimeout`. Without any timeout hypercorn's reader does
        # not yield while bytes are buffered, and a sender that never pauses starves the application
        # that serves its connection.
        config.read_timeout = _READ_TIMEOUT_S
        config.h11_max_incomplete_size = self._options.max_header_bytes
        config.certfile = self._options.certificate or None
        config.keyfile = self._options.private_key or None
        config.errorlog = None
        config.accesslog = None
        config.include_server_header = False
        return config


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, int(port)), family=family, backlog=_BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if listener.family == socket.AF_INET6 else f"{host}:{port}"
