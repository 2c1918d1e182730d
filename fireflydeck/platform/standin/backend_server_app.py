"""HTTP interface of an in-memory backend server."""

import asyncio
from typing import Any
from weakref import WeakKeyDictionary

import anyio
import orjson
from aiohttp import web

from fireflydeck.core.backend_orders import HeartbeatReport, StartOrder, StartOutcome
from fireflydeck.platform.standin.http_fault import HttpFaults
from fireflydeck.standins.task_server import TaskServer

__all__ = ["BackendServerApp"]

_POLL_S = 0.01
_NO_ANSWER_S = 30.0
_MS_PER_S = 1000
_CONFLICT_REASONS = {
    StartOutcome.FENCED: "fence",
    StartOutcome.OLD_RUN: "old",
    StartOutcome.LATE: "late",
    StartOutcome.NO_ROOM: "room",
    StartOutcome.NO_TICKET: "ticket",
}


class BackendServerApp:
    """Request handler that passes orders to a `TaskServer`.

    Attributes
    ----------
    faults
        Faults of the next calls.
    are_orders_late
        While set, orders get no answer; `deliver_late` carries them out, by whichever life of the
        server is up then.
    """

    def __init__(self, server_id: str, server: TaskServer) -> None:
        self._server_id = server_id
        self._server = server
        self._born_ms_by_transport: WeakKeyDictionary[asyncio.Transport, int] = WeakKeyDictionary()
        self._late: list[tuple[str, dict[str, Any]]] = []
        self.faults = HttpFaults()
        self.are_orders_late = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one order; reset connections from an earlier incarnation of the backend server."""
        transport = request.transport
        if transport is None:
            return web.Response(status=500)
        connection_born_ms = self._born_ms_by_transport.setdefault(transport, self._server.born_ms)
        if connection_born_ms != self._server.born_ms:
            return _reset_connection(request)
        if self.are_orders_late:
            self._late.append((request.path, orjson.loads(await request.read())))
            await anyio.sleep(_NO_ANSWER_S)
            return _reset_connection(request)
        return await self.faults.serve(request, self._answer)

    def deliver_late(self) -> None:
        """Carry out the late orders, in the order in which they arrived."""
        late, self._late = self._late, []
        for path, body in late:
            if path == "/-/hold":
                token, last_end = body["fencing_token"], body["last_seen"]
                self._server.answer_heartbeat(token, last_end, body.get("deadline_ms", 0))
            else:
                self._carry_out(path, body)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get("X-Expected-Instance", self._server_id)
        if expected != self._server_id:
            return web.Response(status=421)
        body = orjson.loads(await request.read())
        if request.path == "/-/hold":
            return await self._answer_heartbeat(request, body)
        return self._carry_out(request.path, body)

    def _carry_out(self, path: str, body: dict[str, Any]) -> web.Response:
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            accepted = self._server.stop(body["task"], body["run"], body["fencing_token"])
            return self._json({}, 200 if accepted else 409)
        if path == "/-/pace":
            return self._json({}, 200)
        return web.Response(status=404)

    def _start(self, body: dict[str, Any]) -> web.Response:
        order = StartOrder(
            task=body["task"],
            run=body["run"],
            payload=body["spec"],
            lease_until_ms=body["deadline_ms"],
            fencing_token=body["fencing_token"],
            checkpoint=body.get("checkpoint", ""),
        )
        outcome = self._server.start(order)
        if outcome == StartOutcome.ACCEPTED:
            return self._json({}, 200)
        return self._json({"reason": _CONFLICT_REASONS[outcome]}, 409)

    async def _answer_heartbeat(
        self, request: web.BaseRequest, body: dict[str, Any]
    ) -> web.Response:
        born_ms = self._server.born_ms
        report: HeartbeatReport | None = None
        until_ms = body.get("deadline_ms", 0)
        with anyio.move_on_after(body.get("wait_ms", 0) / _MS_PER_S):
            while True:
                if self._server.born_ms != born_ms:
                    return _reset_connection(request)
                report = self._server.answer_heartbeat(
                    body["fencing_token"], body["last_seen"], until_ms
                )
                if report is None or report.ended:
                    break
                await anyio.sleep(_POLL_S)
        if report is None:
            return self._json({"reason": "fence"}, 409)
        running = [[row.task, row.run, row.checkpoint, row.percent] for row in report.running]
        finished = [
            [row.number, row.task, row.run, row.end.value, row.checkpoint] for row in report.ended
        ]
        return self._json({"running": running, "finished": finished}, 200)

    def _json(self, body: dict[str, Any], status: int) -> web.Response:
        clock = {"clock_ms": self._server.clock_ms(), "born": self._server.born_ms}
        content = orjson.dumps({**clock, **body})
        return web.Response(status=status, body=content, content_type="application/json")


def _reset_connection(request: web.BaseRequest) -> web.Response:
    """Reset the connection of a call that a restart of the backend server interrupted."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
