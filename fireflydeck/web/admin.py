"""HTTP application for metrics and the state dump of a process."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.kernel.kernel import Kernel
from fireflydeck.kernel.state_dump import dump_state

__all__ = ["admin_app"]


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
