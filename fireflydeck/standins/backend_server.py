"""Stand-in for a backend server: runs requests and long tasks in slots, with faults."""

import base64
import json

import anyio
from attrs import frozen
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.core import Clock
from fireflydeck.core.converter import to_plain
from fireflydeck.standins.answers import StreamClosingApp
from fireflydeck.standins.backend_faults import BackendFaults, apply_answer_faults
from fireflydeck.standins.backend_tasks import (
    LogEntry,
    Refusal,
    Task,
    TaskIdentity,
    TaskState,
    TaskTable,
    Work,
)
from fireflydeck.standins.json_requests import read_update

__all__ = ["BackendServerSpec", "BackendServerStandIn"]

_DEFAULT_RUN_MS = 5
_DEFAULT_LEASE_MS = 60_000
_ANY_METHOD = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
_STATUS_BY_STATE = {TaskState.DONE: 200, TaskState.FAILED: 500, TaskState.STOPPED: 504}
_STATUS_IF_UNFINISHED = 0


@frozen(kw_only=True)
class BackendServerSpec:
    """Name, location and size of one backend server.

    Parameters
    ----------
    name
        Name of the VM on which the server runs.
    address
        ``ip:port`` to listen on; port 0 selects a free port.
    slots
        Maximum number of tasks that run concurrently.
    """

    name: str
    address: str = "127.0.0.1:0"
    data_centre: str = "dc-1"
    rack: str = ""
    slots: int = 8


class BackendServerStandIn:
    """State and HTTP application of one backend server.

    Parameters
    ----------
    spec
        Name, location and size.
    clock
        Source of time.
    """

    def __init__(self, spec: BackendServerSpec, clock: Clock) -> None:
        self._spec = spec
        self._clock = clock
        self._tasks = TaskTable(spec.slots, spec.data_centre, clock)
        self._faults = BackendFaults()
        self._app = StreamClosingApp(self._make_app())

    @property
    def app(self) -> StreamClosingApp:
        """The ASGI application."""
        return self._app

    @property
    def spec(self) -> BackendServerSpec:
        """Name, location and size of the backend server."""
        return self._spec

    @property
    def log(self) -> list[LogEntry]:
        """Log of task starts, ends and refusals, oldest first."""
        return self._tasks.log

    def set_faults(self, faults: BackendFaults) -> None:
        """Replace the active faults."""
        self._faults = faults

    def _make_app(self) -> Starlette:
        task_path = "/-/tasks/{task_id}"
        return Starlette(
            routes=[
                Route(task_path, self._start_task, methods=["PUT"]),
                Route(task_path, self._get_task, methods=["GET"]),
                Route(task_path, self._stop_task, methods=["DELETE"]),
                Route(task_path + "/lease", self._renew_lease, methods=["POST"]),
                Route("/-/status", self._get_status, methods=["GET"]),
                Route("/-/drain", self._drain, methods=["POST"]),
                Route("/-/resume", self._resume, methods=["POST"]),
                Route("/-/log", self._get_log, methods=["GET"]),
                Route("/-/faults", self._put_faults, methods=["PUT"]),
                Route("/-/{path:path}", _not_found),
                Route("/sized/{bytes:int}", self._run_sized, methods=["POST"]),
                Route("/{path:path}", self._run_echo, methods=_ANY_METHOD),
            ]
        )

    async def _run_echo(self, request: Request) -> Response:
        body = await request.body()
        return await self._run(request, b"echo:" + body)

    async def _run_sized(self, request: Request) -> Response:
        await request.body()
        return await self._run(request, bytes(request.path_params["bytes"]))

    async def _run(self, request: Request, answer: bytes) -> Response:
        work = Work(
            run_ms=_integer_header(request, "x-run-ms", _DEFAULT_RUN_MS), fail=self._faults.fail
        )
        task = self._start(request, work)
        if isinstance(task, Refusal):
            return _refusal_response(request, task)
        await self._wait_for_end(task)
        body = answer if task.state is TaskState.DONE else task.state.encode()
        return await self._answer(request, Response(body, _STATUS_BY_STATE[task.state]))

    async def _wait_for_end(self, task: Task) -> None:
        remaining_ms = task.expected_end_ms - self._clock.now_ms()
        if remaining_ms > 0:
            with anyio.CancelScope() as task.scope:
                await self._clock.sleep_ms(remaining_ms)
        self._tasks.end_due_tasks()

    async def _start_task(self, request: Request) -> Response:
        task = self._start(request, await _read_long_work(request, self._faults.fail))
        if task is Refusal.RUNNING_ALREADY:
            return _with_request_id(request, Response(task, 409))
        if isinstance(task, Refusal):
            return _refusal_response(request, task)
        return await self._answer(request, Response(status_code=201))

    def _start(self, request: Request, work: Work) -> Task | Refusal:
        headers = request.headers
        identity = TaskIdentity(
            request_id=headers.get("x-request-id", work.task_id),
            organisation=headers.get("x-organisation", ""),
            dispatcher=headers.get("x-dispatcher", ""),
            attempt=_integer_header(request, "x-attempt", 0),
        )
        return self._tasks.start(identity, work, _lease_ms(request))

    async def _answer(self, request: Request, response: Response) -> Response:
        faults = self._faults
        if faults.delay_ms:
            await self._clock.sleep_ms(faults.delay_ms)
        return apply_answer_faults(_with_request_id(request, response), faults)

    async def _get_task(self, request: Request) -> Response:
        task = self._tasks.find(request.path_params["task_id"])
        if task is None:
            return Response(status_code=404)
        finished = task.state in (TaskState.DONE, TaskState.FAILED)
        body = b"done:" + task.work.body if task.state is TaskState.DONE else b""
        return JSONResponse(
            {
                "state": task.state,
                "checkpoint": task.checkpoint(self._clock.now_ms()),
                "status": _STATUS_BY_STATE[task.state] if finished else _STATUS_IF_UNFINISHED,
                "body": base64.b64encode(body).decode(),
            }
        )

    async def _stop_task(self, request: Request) -> Response:
        known = self._tasks.stop(request.path_params["task_id"])
        return Response(status_code=200 if known else 404)

    async def _renew_lease(self, request: Request) -> Response:
        renewed = self._tasks.renew(request.path_params["task_id"], _lease_ms(request))
        return Response(status_code=200 if renewed else 404)

    async def _get_status(self, _: Request) -> Response:
        running = self._tasks.running()
        tasks = [
            {
                "id": task.task_id,
                "organisation": task.identity.organisation,
                "dispatcher": task.identity.dispatcher,
                "long": task.work.is_long,
            }
            for task in running
        ]
        location = {name: getattr(self._spec, name) for name in ("name", "data_centre", "rack")}
        slot_usage = {"slots": self._tasks.slots, "running": len(running)}
        return JSONResponse(
            {**slot_usage, "draining": self._tasks.draining, "tasks": tasks, **location}
        )

    async def _drain(self, _: Request) -> Response:
        self._tasks.draining = True
        return Response()

    async def _resume(self, _: Request) -> Response:
        self._tasks.draining = False
        return Response()

    async def _get_log(self, _: Request) -> Response:
        entries = [to_plain(entry) for entry in self._tasks.log]
        return JSONResponse({"entries": entries, "dropped": self._tasks.log_dropped})

    async def _put_faults(self, request: Request) -> Response:
        self._faults = await read_update(request, self._faults)
        return JSONResponse(to_plain(self._faults))


async def _not_found(_: Request) -> Response:
    return Response(status_code=404)


async def _read_long_work(request: Request, fail: bool) -> Work:
    body = await request.body()
    try:
        plain = json.loads(body)
        run_ms, work_fails = int(plain["run_ms"]), bool(plain.get("fail", False))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HTTPException(400, f"not a job body: {error!r}") from error
    return Work(
        task_id=request.path_params["task_id"],
        run_ms=run_ms,
        resumed_ms=_integer_header(request, "x-checkpoint", 0),
        fail=fail or work_fails,
        body=body,
    )


def _lease_ms(request: Request) -> int:
    return _integer_header(request, "x-lease-ms", _DEFAULT_LEASE_MS)


def _integer_header(request: Request, header: str, default: int) -> int:
    text = request.headers.get(header, "")
    if not text:
        return default
    if not text.isascii() or not text.isdigit():
        raise HTTPException(400, f"{header} is not a number")
    return int(text)


def _with_request_id(request: Request, response: Response) -> Response:
    request_id = request.headers.get("x-request-id")
    if request_id is not None:
        response.headers["x-request-id"] = request_id
    return response


def _refusal_response(request: Request, refusal: Refusal) -> Response:
    return _with_request_id(request, Response(refusal, 503, headers={"x-not-started": "true"}))
