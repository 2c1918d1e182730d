"""Tests of the backend server protocol and its faults."""

import base64
from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from fireflydeck.standins.backend_server import BackendServerSpec, BackendServerStandIn
from fireflydeck.standins.runner import serve_backend_server
from fireflydeck.testing import FakeClock

pytestmark = pytest.mark.anyio

HEADERS = {
    "x-request-id": "r-1",
    "x-organisation": "museum",
    "x-dispatcher": "d-1",
    "x-lease-ms": "1000",
    "x-run-ms": "0",
}
JOB = {"run_ms": 500}


@asynccontextmanager
async def serving(slots=2):
    clock = FakeClock()
    spec = BackendServerSpec(name="vm-1", data_centre="dc-2", rack="rack-3", slots=slots)
    server = BackendServerStandIn(spec, clock)
    async with serve_backend_server(server) as address:
        client = httpx.AsyncClient(base_url=f"http://{address}", headers=HEADERS, timeout=5)
        async with client:
            yield server, clock, client


async def put_job(client, task_id="j-1", headers=None, **body):
    path = f"/-/tasks/{task_id}"
    return await client.put(
        path, json={**JOB, **body}, headers={"x-attempt": "2"} | (headers or {})
    )


async def wait_for_starts(server, count):
    with anyio.fail_after(5):
        while sum(entry.event == "start" for entry in server.log) < count:
            await anyio.sleep(0.005)


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])
async def test_synchronous_request_is_echoed_with_its_id(method):
    async with serving() as (_, _clock, client):
        answer = await client.request(method, "/any/path?x=1", content=b"body")
        assert (answer.status_code, answer.content) == (200, b"echo:body")
        assert answer.headers["x-request-id"] == "r-1"


async def test_sized_answer():
    async with serving() as (_, _clock, client):
        assert len((await client.post("/sized/300000")).content) == 300_000


async def test_full_server_refuses_before_the_start():
    async with serving(slots=1) as (server, clock, client), anyio.create_task_group() as tasks:
        tasks.start_soon(ask, client, {"x-run-ms": "50"}, 200)
        await wait_for_starts(server, 1)
        refused = await client.post("/", headers={"x-request-id": "r-2"})
        refused_job = await put_job(client)
        await clock.advance_ms(50)
    assert (refused.status_code, refused.headers["x-not-started"]) == (503, "true")
    assert refused.headers["x-request-id"] == "r-2"
    assert (refused_job.status_code, refused_job.headers["x-not-started"]) == (503, "true")
    assert [entry.event for entry in server.log] == ["start", "refused", "refused", "end"]


async def test_lease_stops_a_synchronous_request():
    async with serving() as (server, clock, client), anyio.create_task_group() as tasks:
        tasks.start_soon(ask, client, {"x-run-ms": "5000"}, 504)
        await wait_for_starts(server, 1)
        await clock.advance_ms(1000)
    assert (server.log[-1].at_ms, server.log[-1].outcome) == (1000, "stopped")


async def test_drain_refuses_new_work_and_finishes_running_work():
    async with serving() as (server, clock, client):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, client, {"x-run-ms": "50"}, 200)
            await wait_for_starts(server, 1)
            await client.post("/-/drain")
            refused = await client.post("/")
            status = (await client.get("/-/status")).json()
            await clock.advance_ms(50)
        await client.post("/-/resume")
        await ask(client, {}, 200)
    assert (refused.status_code, refused.headers["x-not-started"]) == (503, "true")
    assert (status["draining"], status["running"]) == (True, 1)


async def test_status_lists_the_tasks():
    async with serving(slots=3) as (_, _clock, client):
        await put_job(client)
        assert (await client.get("/-/status")).json() == {
            "name": "vm-1",
            "data_centre": "dc-2",
            "rack": "rack-3",
            "slots": 3,
            "running": 1,
            "draining": False,
            "tasks": [{"id": "j-1", "organisation": "museum", "dispatcher": "d-1", "long": True}],
        }


async def test_long_task_from_start_to_result():
    async with serving() as (_, clock, client):
        assert (await put_job(client)).status_code == 201
        assert (await put_job(client)).status_code == 409
        await clock.advance_ms(250)
        running = (await client.get("/-/tasks/j-1")).json()
        assert running == {"state": "running", "checkpoint": "200", "status": 0, "body": ""}
        await clock.advance_ms(250)
        done = (await client.get("/-/tasks/j-1")).json()
        assert (done["state"], done["status"], done["checkpoint"]) == ("done", 200, "400")
        assert base64.b64decode(done["body"]).startswith(b"done:")


async def test_long_task_resumes_from_its_checkpoint():
    async with serving() as (server, clock, client):
        await put_job(client, headers={"x-checkpoint": "400"})
        await clock.advance_ms(100)
        assert (await client.get("/-/tasks/j-1")).json()["state"] == "done"
    assert [entry.attempt for entry in server.log] == [2, 2]


async def test_lease_of_a_long_task_is_renewed_or_stops_it():
    async with serving() as (_, clock, client):
        await put_job(client, run_ms=10_000)
        await clock.advance_ms(900)
        assert (await client.post("/-/tasks/j-1/lease")).status_code == 200
        await clock.advance_ms(999)
        assert (await client.get("/-/tasks/j-1")).json()["state"] == "running"
        await clock.advance_ms(1)
        assert (await client.post("/-/tasks/j-1/lease")).status_code == 404
        stopped = (await client.get("/-/tasks/j-1")).json()
        assert (stopped["state"], stopped["checkpoint"]) == ("stopped", "1800")


async def test_cancel():
    async with serving() as (server, _clock, client):
        await put_job(client)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, client, {"x-run-ms": "900"}, 504)
            await wait_for_starts(server, 2)
            assert (await client.delete("/-/tasks/j-1")).status_code == 200
            assert (await client.delete("/-/tasks/r-1")).status_code == 200
        assert (await client.get("/-/tasks/j-1")).json()["state"] == "stopped"
        assert (await client.get("/-/status")).json()["running"] == 0


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/-/tasks/none", 404),
        ("DELETE", "/-/tasks/none", 404),
        ("POST", "/-/tasks/none/lease", 404),
        ("GET", "/-/none", 404),
        ("PUT", "/-/tasks/j", 400),
    ],
)
async def test_unknown_and_malformed(method, path, status):
    async with serving() as (server, _clock, client):
        answer = await client.request(method, path, content=b"{}")
        assert answer.status_code == status
        assert server.log == []


async def test_log_of_a_request():
    async with serving() as (_, _clock, client):
        await client.post("/")
        log = (await client.get("/-/log")).json()
    assert log["dropped"] == 0
    assert [(entry["event"], entry["outcome"]) for entry in log["entries"]] == [
        ("start", ""),
        ("end", "done"),
    ]
    assert {(entry["request_id"], entry["data_centre"]) for entry in log["entries"]} == {
        ("r-1", "dc-2")
    }


FAULTS = [
    ({"fail": True}, 500, "r-1"),
    ({"wrong_id": True}, 200, "other-r-1"),
    ({"no_answer": True}, "Server disconnected without sending a response.", None),
    ({"truncate": True}, "peer closed connection without sending complete message body", None),
]


@pytest.mark.parametrize(("faults", "expected", "request_id"), FAULTS)
async def test_answer_faults_apply_after_the_work(faults, expected, request_id):
    async with serving() as (server, _clock, client):
        await client.put("/-/faults", json=faults)
        if request_id is None:
            with pytest.raises(httpx.RemoteProtocolError, match=expected):
                await client.post("/", content=b"body")
        else:
            answer = await client.post("/", content=b"body")
            assert (answer.status_code, answer.headers["x-request-id"]) == (expected, request_id)
        await client.put("/-/faults", json=dict.fromkeys(faults, False))
        await ask(client, {}, 200)
    assert [entry.event for entry in server.log] == ["start", "end"] * 2


async def test_slot_is_free_before_a_delayed_answer():
    async with serving(slots=1) as (server, clock, client):
        await client.put("/-/faults", json={"delay_ms": 100})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, client, {}, 200)
            await wait_for_starts(server, 1)
            with anyio.fail_after(5):
                while (await client.get("/-/status")).json()["running"]:
                    await clock.advance_ms(0)
            assert server.log[-1].event == "end"
            await clock.advance_ms(100)


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"unknown": true}', b'{"delay_ms": "1"}'])
async def test_malformed_faults_change_nothing(body):
    async with serving() as (_, _clock, client):
        assert (await client.put("/-/faults", content=body)).status_code == 400
        await ask(client, {}, 200)


async def ask(client, headers, expected_status):
    assert (await client.post("/", headers=headers)).status_code == expected_status
