"""Construction of the gateway process."""

from collections.abc import Mapping
from typing import Any

from expression import Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response

from fireflydeck.core import Failure, MemberRole
from fireflydeck.gateway import Gateway, GatewayOptions, make_problem
from fireflydeck.jobs import JobRouteDependencies, JobStore, job_routes
from fireflydeck.roles.job_slots import OwnerNotifier
from fireflydeck.roles.process import Process, make_process
from fireflydeck.roles.recording import RecordingRouter
from fireflydeck.web import HttpServer, HttpServerOptions

__all__ = ["run_gateway"]


async def run_gateway(settings: Mapping[str, Any]) -> None:
    """Run a gateway until SIGTERM.

    Parameters
    ----------
    settings
        Validated settings of the role.
    """
    process = make_process(MemberRole.GATEWAY, settings)
    kernel = process.kernel
    router = RecordingRouter(
        history=process.make_history(),
        peers=process.peers,
        view=process.follower,
        clock=kernel.clock,
        log=kernel.log,
        metrics=kernel.metrics,
    )
    gateway = Gateway(
        view=process.follower,
        router=router,
        clock=kernel.clock,
        log=kernel.log,
        metrics=kernel.metrics,
        options=GatewayOptions(name=process.member_name, max_body_bytes=settings["max_body_bytes"]),
    )
    gateway.mount_jobs(_make_jobs_app(process, gateway, settings["max_body_bytes"]))
    server_options = HttpServerOptions(
        address=settings["listen"],
        certificate=settings["certificate"],
        private_key=settings["private_key"],
    )
    kernel.add(HttpServer("callers", gateway.app, server_options))
    kernel.add(gateway)
    await process.run()


def _make_jobs_app(process: Process, gateway: Gateway, max_body_bytes: int) -> Starlette:
    def authenticate(request: Request, queue: str) -> Result[str, Failure]:
        return gateway.authenticate(request.headers.get("authorization"), queue)

    def problem(failure: Failure) -> Response:
        document = make_problem(failure, request_id="")
        headers = {header.name: header.value for header in document.headers}
        return Response(document.body, document.status, headers)

    dependencies = JobRouteDependencies(
        store=JobStore(process.platform.tables, process.platform.objects, process.kernel.clock),
        authenticate=authenticate,
        problem=problem,
        notifier=OwnerNotifier(process.peers, process.follower),
        clock=process.kernel.clock,
        max_body_bytes=max_body_bytes,
    )
    return Starlette(routes=job_routes(dependencies))
