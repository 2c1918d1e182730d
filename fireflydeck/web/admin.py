"""HTTP application for metrics and the state dump of a process."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.kernel.kernel import Kernel

__all__ = ["admin_app", "dump_state"]


def dump_state(kernel: Kernel) -> dict[str, object]:
    """Return the state of all services of the process by name."""
    return {
        "name": kernel.name,
        "role": kernel.role,
        "now_ms": kernel.clock.now_ms(),
        "services": {service.name: service.state() for service in kernel.registry.services},
    }


def admin_app(kernel: Kernel) -> Starlette:
    """Return the application with ``/metrics``, ``/state`` and ``/health``."""

    async def metrics(request: Request) -> Response:
        content, headers = kernel.metrics.render(request.headers.get("accept", ""))
        return Response(content, headers=headers)

    async def state(_: Request) -> Response:
        return JSONResponse(dump_state(kernel))

    async def health(_: Request) -> Response:
        return Response("ok\n")

    return Starlette(
        routes=[
            Route("/metrics", metrics),
            Route("/state", state),
            Route("/health", health),
        ]
    )
