"""Client of a backend server: orders, rejections and each fault of the connection."""

import pytest
from aiohttp import web

from fireflydeck.core import Ran, Reason, SystemClock
from fireflydeck.core.backend_orders import RunEnd, StartOrder, StartOutcome
from fireflydeck.platform.backend_server_client import BackendServerClient
from fireflydeck.platform.standin import BackendServerApp, HttpFault
from fireflydeck.platform.tests.local_server import local_server
from fireflydeck.standins.task_server import TaskServer
from fireflydeck.testing.job_builders import SERVER_CAPACITY

pytestmark = pytest.mark.anyio

_TASK = "00000000000000a1.0.0.0"
_TIMEOUT_MS = 300


def _server(**fields):
    return TaskServer(SystemClock(), SERVER_CAPACITY, duration_ms=None, **fields)


def _order(server, **fields):
    order = {
        "task": _TASK,
        "run": 1,
        "payload": "text",
        "lease_until_ms": server.clock_ms() + 3000,
        "fencing_token": 2,
    }
    return StartOrder(**{**order, **fields})


async def _send_heartbeat(client, **fields):
    order = {"fencing_token": 2, "acknowledged_end": 0, "lease_until_ms": 0, "wait_ms": 0}
    return await client.send_heartbeat(**{**order, **fields})


@pytest.mark.parametrize(("ends", "has_more"), [(499, False), (500, True), (640, True)])
async def test_report_tells_whether_more_ends_may_follow(ends, has_more):
    """A backend server lists 500 ends in an answer, so with that many there may be more."""
    server = _server()
    server.duration_ms = 0
    for number in range(ends):
        server.start(_order(server, task=f"{_TASK}{number}"))
    async with local_server(BackendServerApp("s1", server).handle) as address:
        client = BackendServerClient("s1", address)
        report = (await _send_heartbeat(client)).ok
        await client.close()
    assert len(report.ended) == min(ends, 500)
    assert report.has_more_ends is has_more


async def test_start_hold_stop():
    server = _server()
    async with local_server(BackendServerApp("i-1", server).handle) as address:
        client = BackendServerClient("i-1", address)
        before_ms = server.clock_ms()
        started = await client.start(_order(server), timeout_ms=_TIMEOUT_MS)
        assert started.ok.outcome == StartOutcome.ACCEPTED
        assert before_ms <= started.ok.clock_ms <= server.clock_ms()
        report = (await _send_heartbeat(client)).ok
        assert [(row.task, row.run, row.percent) for row in report.running] == [(_TASK, 1, 100)]
        assert report.born_ms == 1
        stopped = await client.stop(task=_TASK, run=1, fencing_token=2, timeout_ms=_TIMEOUT_MS)
        assert stopped.ok
        report = (await _send_heartbeat(client)).ok
        assert [(row.number, row.end) for row in report.ended] == [(1, RunEnd.STOPPED)]
        assert (await _send_heartbeat(client, acknowledged_end=1)).ok.ended == ()
        await client.close()


@pytest.mark.parametrize(
    ("fields", "outcome"),
    [
        ({"fencing_token": 1}, StartOutcome.FENCED),
        ({"lease_until_ms": 1}, StartOutcome.LATE),
        ({"task": "stopped"}, StartOutcome.OLD_RUN),
    ],
)
async def test_rejected_starts(fields, outcome):
    server = _server(fencing_token=2)
    server.stop("stopped", 1, 2)
    async with local_server(BackendServerApp("i-1", server).handle) as address:
        client = BackendServerClient("i-1", address)
        result = await client.start(_order(server, **fields), timeout_ms=_TIMEOUT_MS)
        assert result.ok.outcome == outcome
        assert server.running() == []
        await client.close()


async def test_other_instance_at_the_address():
    server = _server()
    async with local_server(BackendServerApp("i-2", server).handle) as address:
        client = BackendServerClient("i-1", address)
        result = await client.start(_order(server), timeout_ms=_TIMEOUT_MS)
        assert result.ok.outcome == StartOutcome.OTHER_INSTANCE
        assert (await _send_heartbeat(client)).error.reason == Reason.BACKEND_LOST
        await client.close()


async def test_hold_with_a_lower_fencing_token():
    server = _server(fencing_token=3)
    async with local_server(BackendServerApp("i-1", server).handle) as address:
        client = BackendServerClient("i-1", address)
        assert (await _send_heartbeat(client)).error.reason == Reason.NOT_OWNER
        await client.close()


@pytest.mark.parametrize(
    ("fault", "outcome", "ran", "runs"),
    [
        (HttpFault.BUSY, StartOutcome.BUSY, None, 0),
        (HttpFault.UNAVAILABLE, StartOutcome.BUSY, None, 0),
        (HttpFault.ANSWER_LOST, None, Ran.UNKNOWN, 1),
        (HttpFault.RESET, None, Ran.UNKNOWN, 0),
        (HttpFault.SILENT, None, Ran.UNKNOWN, 0),
    ],
)
async def test_start_with_a_fault(fault, outcome, ran, runs):
    server = _server()
    app = BackendServerApp("i-1", server)
    app.faults.next = [fault]
    async with local_server(app.handle) as address:
        client = BackendServerClient("i-1", address)
        result = await client.start(_order(server), timeout_ms=_TIMEOUT_MS)
        assert (result.ok.outcome if result.is_ok() else None) == outcome
        assert (result.error.ran if result.is_error() else None) == ran
        assert len(server.running()) == runs
        await client.close()


async def test_unreadable_report_is_a_failure():
    app = BackendServerApp("i-1", _server())
    app.faults.next = [HttpFault.GARBAGE]
    async with local_server(app.handle) as address:
        client = BackendServerClient("i-1", address)
        assert (await _send_heartbeat(client)).error.reason == Reason.ANSWER_INVALID
        await client.close()


@pytest.mark.parametrize("reason", [[], {"a": 1}, None, 5, "unknown"])
async def test_conflict_without_a_known_reason(reason):
    async def answer(_):
        return web.json_response({"reason": reason}, status=409)

    async with local_server(answer) as address:
        client = BackendServerClient("i-1", address)
        result = await client.start(_order(_server()), timeout_ms=_TIMEOUT_MS)
        assert result.error.reason == Reason.BACKEND_REFUSED
        assert (await _send_heartbeat(client)).error.reason == Reason.BACKEND_REFUSED
        await client.close()
