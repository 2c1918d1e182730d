"""HTTP listeners of the entry role: caller interface, readiness and metrics."""

from collections.abc import Callable

import orjson
from aiohttp import web
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.entry.bounded_listener import BoundedListener
from fireflydeck.entry.caller_interface import CallerInterface
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.client_budget import ClientBudget
from fireflydeck.entry.http_requests import build_response, receive_request
from fireflydeck.entry.http_server_log import http_server_logger
from fireflydeck.entry.recent_documents import RecentDocuments
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.kernel import EventLog, Metrics, Registry, Service
from fireflydeck.observation.operator_documents import OperatorDocuments

__all__ = ["CallerServer", "StatusServer"]

_MAX_DOCUMENT_AGE_MS = 2500
"""The process is not ready if its copy of the operators' documents is older than this."""
_DRAIN_MS = 2600
"""Time from the start of a stop for the load balancer to notice it and for callers to finish."""
_FINAL_REQUESTS_MS = 300
"""Time to serve the requests of the connections that were accepted last."""
_ACCEPT_BACKLOG = 512
_STATE_PATH = "/state"
_DEFAULT_LIMITS = RequestLimits()
"""Limits until a configuration is known."""


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
        clients: ClientBudget | None = None,
    ) -> None:
        self._interface = interface
        self._operators = operators
        self._clock = clock
        self._request_log = request_log
        self._is_stopping = False
        budget = clients or ClientBudget.for_sample_machine(log, Metrics())
        self._listener = BoundedListener(
            address,
            self.handle,
            budget.listener("callers", budget.limits.caller_connections, self._limits),
            backlog=_ACCEPT_BACKLOG,
            logger=http_server_logger(log),
        )

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "caller-server"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to listen."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop the server gracefully.

        Serve until the load balancer has noticed the stop, then close the listener, serve the last
        requests, and close the connections.
        """
        self._is_stopping = True
        await self._clock.sleep_ms(_DRAIN_MS)
        await self._listener.stop_accepting()
        await self._clock.sleep_ms(_FINAL_REQUESTS_MS)
        await self._listener.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Read one complete request and return the response."""
        started_ms = self._clock.now_ms()
        received = await receive_request(request, self._limits(), self._refuse_before_body)
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

    def _refuse_before_body(self, request: CallerRequest) -> CallerAnswer | None:
        return self._interface.refuse_before_body(request)

    def _limits(self) -> RequestLimits:
        """Return the limits on requests that are in force."""
        configuration = self._operators.configuration
        return configuration.limits if configuration else _DEFAULT_LIMITS


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
        clients: ClientBudget,
        clock: Clock,
        log: EventLog,
    ) -> None:
        connections = clients.limits.status_connections
        self._listeners = [
            BoundedListener(
                address,
                handler,
                clients.listener(name, connections),
                logger=http_server_logger(log),
            )
            for name, address, handler in (
                ("readiness", readiness_address, self._serve_readiness),
                ("metrics", metrics_address, self._serve_admin),
            )
        ]
        self._dump_state = dump_state
        self._documents = RecentDocuments[tuple[bytes, dict[str, str]]](clock)
        self._operators = operators
        self._metrics = metrics
        self._is_stopping = is_stopping

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "status-server"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to listen."""
        for listener in self._listeners:
            await listener.start()

    async def stop(self) -> None:
        """Close the listeners and their connections."""
        for listener in self._listeners:
            await listener.close()

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
            document = self._documents.get(_STATE_PATH, self._render_state)
        else:
            accepted = request.headers.get("Accept", "")
            document = self._documents.get(accepted, lambda: self._metrics.render(accepted))
        if document is None:
            return web.Response(status=503)
        content, headers = document
        return web.Response(body=content, headers=headers)

    def _render_state(self) -> tuple[bytes, dict[str, str]]:
        content = orjson.dumps(self._dump_state(), default=str)
        return content, {"Content-Type": "application/json"}
