"""Runners for stand-ins, in a separate process or inside a test."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup
from starlette.types import ASGIApp

from fireflydeck.core import SystemClock
from fireflydeck.kernel import Event, Kernel, Registry, Service
from fireflydeck.standins.backend_server import BackendServerSpec, BackendServerStandIn
from fireflydeck.standins.fault_proxy import FaultProxy
from fireflydeck.standins.platform import PlatformStandIn
from fireflydeck.standins.proxy_control import proxy_control_app
from fireflydeck.web import HttpServer, HttpServerOptions

__all__ = [
    "run_backend_servers",
    "run_fault_proxy",
    "run_platform",
    "serve_app",
    "serve_backend_server",
    "serve_fault_proxy",
    "serve_platform",
]

_FREE_PORT = "127.0.0.1:0"
_ROLE = "standin"
_GRACEFUL_TIMEOUT_MS = 10_000
_DEFAULT_LAG_MS = 3_000


class _AddressLogger(Service):
    """Service that logs the addresses of the services that started before it.

    Parameters
    ----------
    kernel
        Kernel of the process.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    @property
    def name(self) -> str:
        """Name of the service."""
        return "announcement"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Log one event for each address."""
        for service in registry.services:
            if isinstance(service, HttpServer | FaultProxy):
                self._kernel.log.emit(
                    Event.STANDIN_LISTENING, service=service.name, address=service.address
                )


async def run_platform(address: str, *, lag_ms: int = _DEFAULT_LAG_MS) -> None:
    """Serve the platform stand-in until SIGTERM.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    lag_ms
        Time until a change of the VM list becomes visible.
    """
    kernel = Kernel("platform", _ROLE)
    kernel.add(_make_server("platform", PlatformStandIn(kernel.clock, lag_ms=lag_ms).app, address))
    await _run(kernel)


async def run_backend_servers(specs: Sequence[BackendServerSpec]) -> None:
    """Serve backend server stand-ins, each on its own address, until SIGTERM."""
    kernel = Kernel("backend-servers", _ROLE)
    for spec in specs:
        kernel.add(
            _make_server(spec.name, BackendServerStandIn(spec, kernel.clock).app, spec.address)
        )
    await _run(kernel)


async def run_fault_proxy(listen: str, target: str, control: str) -> None:
    """Run a fault proxy until SIGTERM.

    Parameters
    ----------
    listen
        ``ip:port`` to listen on.
    target
        ``ip:port`` to forward to.
    control
        ``ip:port`` of the HTTP interface that sets the fault.
    """
    kernel = Kernel("fault-proxy", _ROLE)
    proxy = FaultProxy(listen, target, kernel.clock)
    kernel.add(proxy)
    kernel.add(_make_server("control", proxy_control_app(proxy), control))
    await _run(kernel)


async def _run(kernel: Kernel) -> None:
    kernel.add(_AddressLogger(kernel))
    await kernel.run_with_signals()


@asynccontextmanager
async def serve_app(app: ASGIApp, address: str = _FREE_PORT) -> AsyncIterator[str]:
    """Serve an ASGI application in this process; yield its address."""
    server = _make_server("app", app, address)
    async with _run_in_process(server):
        yield server.address


@asynccontextmanager
async def serve_platform(platform: PlatformStandIn | None = None) -> AsyncIterator[str]:
    """Serve a platform stand-in in this process on a free port; yield its address."""
    served = platform or PlatformStandIn(SystemClock(), lag_ms=0)
    async with serve_app(served.app) as address:
        yield address


@asynccontextmanager
async def serve_backend_server(server: BackendServerStandIn) -> AsyncIterator[str]:
    """Serve a backend server stand-in in this process; yield its actual address."""
    async with serve_app(server.app, server.spec.address) as address:
        yield address


@asynccontextmanager
async def serve_fault_proxy(target: str) -> AsyncIterator[FaultProxy]:
    """Run a fault proxy in this process on a free port; yield the proxy."""
    proxy = FaultProxy(_FREE_PORT, target)
    async with _run_in_process(proxy):
        yield proxy


@asynccontextmanager
async def _run_in_process(service: Service) -> AsyncIterator[None]:
    kernel = Kernel("in-process", _ROLE)
    kernel.add(service)
    failure: BaseException | None = None
    async with anyio.create_task_group() as tasks:
        await tasks.start(kernel.run)
        try:
            yield
            kernel.request_stop()
        except anyio.get_cancelled_exc_class():
            raise
        except BaseException as error:
            # Raised outside the task group, so that a test failure is not wrapped in an exception
            # group.
            failure = error
            tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure


def _make_server(name: str, app: ASGIApp, address: str) -> HttpServer:
    options = HttpServerOptions(address=address, graceful_timeout_ms=_GRACEFUL_TIMEOUT_MS)
    return HttpServer(name, app, options)
