"""HTTP listeners of the entry role: caller interface, readiness and metrics."""

import asyncio
import socket
from collections.abc import Callable

import orjson
from aiohttp import web
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.entry.caller_interface import CallerInterface
from fireflydeck.entry.http_requests import build_response, receive_request
from fireflydeck.entry.http_server_log import http_server_logger
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.kernel import EventLog, Metrics, Registry, Service
from fireflydeck.kernel.accept_queue import accept_pending_connections
from fireflydeck.observation.operator_documents import OperatorDocuments

__all__ = ["CallerServer", "StatusServer"]

_MAX_DOCUMENT_AGE_MS = 2500
"""The process is not ready if its copy of the operators' documents is older than this."""
_DRAIN_MS = 2600
"""Time from the start of a stop for the load balancer to notice it and for callers to finish."""
_FINAL_REQUESTS_MS = 300
"""Time to serve the requests of the connections that were accepted last."""
_SHUTDOWN_TIMEOUT_S = 1.0
_ACCEPT_BACKLOG = 512
_KEEP_ALIVE_TIMEOUT_S = 75.0
_STATE_PATH = "/state"


class CallerServer(Service):
    """HTTP server for callers."""

    def __init__(
        self,
        address: str,
        interface: CallerInterface,
        *,
        operators: OperatorDocuments,
        clock: Clock,
        log: EventLog,
        request_log: RequestLog,
    ) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._interface = interface
        self._operators = operators
        self._clock = clock
        self._log = log
        self._request_log = request_log
        self._is_stopping = False
        self._runner: web.ServerRunner | None = None
        self._site: web.SockSite | None = None
        self._listener: socket.socket | None = None

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "caller-server"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to listen."""
        server = web.Server(
            self.handle,
            keepalive_timeout=_KEEP_ALIVE_TIMEOUT_S,
            max_line_size=16384,
            max_field_size=16384,
            logger=http_server_logger(self._log),
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        self._listener = socket.create_server((self._host, self._port), backlog=_ACCEPT_BACKLOG)
        self._site = web.SockSite(self._runner, self._listener, backlog=_ACCEPT_BACKLOG)
        await self._site.start()

    async def stop(self) -> None:
        """Stop the server gracefully.

        Serve until the load balancer has noticed the stop, then close the listener, serve the last
        requests, and close the connections.
        """
        self._is_stopping = True
        await self._clock.sleep_ms(_DRAIN_MS)
        await self._close_listener()
        await self._clock.sleep_ms(_FINAL_REQUESTS_MS)
        if self._runner is not None:
            await self._runner.cleanup()

    async def _close_listener(self) -> None:
        """Close the listener, but serve the connections that wait in its accept queue."""
        if self._listener is None or self._site is None or self._runner is None:
            return
        pending = accept_pending_connections(self._listener)
        await self._site.stop()
        loop = asyncio.get_running_loop()
        for connection in pending:
            await loop.connect_accepted_socket(self._runner.server, connection)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Read one complete request and return the response."""
        configuration = self._operators.configuration
        limits = configuration.limits if configuration else RequestLimits()
        started_ms = self._clock.now_ms()
        received = await receive_request(request, limits)
        if received.is_error():
            answer = self._interface.refuse(received.error)
            self._request_log.record_answer(
                method=request.method,
                path=request.path,
                answer=answer,
                duration_ms=self._clock.now_ms() - started_ms,
            )
        else:
            answer = await self._interface.answer(received.ok)
        response = build_response(answer)
        if self._is_stopping:
            response.force_close()
        return response


class StatusServer(Service):
    """HTTP server of the load balancer's readiness check, the metrics and the state dump."""

    def __init__(
        self,
        *,
        readiness_address: str,
        metrics_address: str,
        operators: OperatorDocuments,
        metrics: Metrics,
        is_stopping: Callable[[], bool],
        dump_state: Callable[[], dict[str, object]],
    ) -> None:
        self._handlers = {
            readiness_address: self._serve_readiness,
            metrics_address: self._serve_admin,
        }
        self._dump_state = dump_state
        self._operators = operators
        self._metrics = metrics
        self._is_stopping = is_stopping
        self._runners: list[web.ServerRunner] = []

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "status-server"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to listen."""
        for address, handler in self._handlers.items():
            host, _, port = address.rpartition(":")
            runner = web.ServerRunner(web.Server(handler))
            await runner.setup()
            await web.TCPSite(runner, host, int(port), reuse_address=True).start()
            self._runners.append(runner)

    async def stop(self) -> None:
        """Close the listeners and their connections."""
        for runner in self._runners:
            await runner.cleanup()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this process."""
        age_ms = self._operators.age_ms
        return (
            not self._is_stopping()
            and self._operators.configuration is not None
            and age_ms is not None
            and age_ms <= _MAX_DOCUMENT_AGE_MS
        )

    async def _serve_readiness(self, _: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self.is_ready() else 503)

    async def _serve_admin(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == _STATE_PATH:
            content = orjson.dumps(self._dump_state(), default=str)
            return web.Response(body=content, content_type="application/json")
        content, headers = self._metrics.render(request.headers.get("Accept", ""))
        return web.Response(body=content, headers=headers)
