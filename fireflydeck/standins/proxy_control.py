"""HTTP interface that sets the fault of a proxy."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.core.converter import to_plain
from fireflydeck.standins.fault_proxy import FaultProxy
from fireflydeck.standins.json_requests import read_update

__all__ = ["proxy_control_app"]


def proxy_control_app(proxy: FaultProxy) -> Starlette:
    """Return an ASGI application that reads and sets the fault with ``GET`` and ``PUT /mode``."""

    async def get_mode(_: Request) -> Response:
        return JSONResponse(to_plain(proxy.fault))

    async def put_mode(request: Request) -> Response:
        await proxy.set_fault(await read_update(request, proxy.fault))
        return JSONResponse(to_plain(proxy.fault))

    return Starlette(
        routes=[
            Route("/mode", get_mode, methods=["GET"]),
            Route("/mode", put_mode, methods=["PUT"]),
        ]
    )
