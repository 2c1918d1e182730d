from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.jobs import TaskClient
from fireflydeck.jobs.tasks import TaskStart

START = TaskStart(
    task_id="j-1.1",
    organisation="museum",
    attempt=1,
    checkpoint="c",
    lease_ms=1000,
    content=b"body",
)


@asynccontextmanager
async def serve(answer):
    """Serve raw HTTP answers on loopback; yield the address and the received bytes."""
    received = []

    async def handle(stream):
        async with stream:
            try:
                received.append(await stream.receive())
            except anyio.EndOfStream:
                return
            if answer:
                await stream.send(answer)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
        yield f"{host}:{port}", received
        tasks.cancel_scope.cancel()


def http_answer(status, body=b"", headers=""):
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{headers}connection: close\r\n\r\n"
    return head.encode() + body


def call(answer, method, *arguments):
    async def main():
        async with serve(answer) as (address, received), httpx.AsyncClient(timeout=5) as client:
            tasks = TaskClient(client, client, "d-1")
            return await getattr(tasks, method)(address, *arguments), received

    return anyio.run(main)


def allow():
    return None


@pytest.mark.parametrize(
    ("answer", "ran"),
    [
        (http_answer("201 Created"), None),
        (http_answer("409 Conflict"), None),
        (http_answer("503 Busy", headers="x-not-started: true\r\n"), Ran.NO),
        (http_answer("503 Busy"), Ran.UNKNOWN),
        (http_answer("500 Error", headers="x-not-started: true\r\n"), Ran.UNKNOWN),
        (b"", Ran.UNKNOWN),
        (b"nonsense\r\n\r\n", Ran.UNKNOWN),
    ],
)
def test_start(answer, ran):
    started, received = call(answer, "start", START, allow)
    assert (started.error.ran if started.is_error() else None) is ran
    assert received[0].startswith(b"PUT /-/tasks/j-1.1 ")
    assert b"x-lease-ms: 1000" in received[0]


def test_start_guard_runs_before_the_first_byte():
    stale = Failure(Reason.STALE_CONFIGURATION, "test")
    started, received = call(http_answer("201 Created"), "start", START, lambda: stale)
    assert started.error == stale
    assert received == []


def test_start_without_connection_certainly_did_not_run():
    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
        await listener.aclose()
        async with httpx.AsyncClient() as client:
            return await TaskClient(client, client, "d").start(f"{host}:{port}", START, allow)

    assert anyio.run(main).error.ran is Ran.NO


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (http_answer("200 OK", b'{"state": "running", "checkpoint": "c"}'), None),
        (http_answer("200 OK", b'{"state": "sleeping"}'), Reason.ANSWER_INVALID),
        (http_answer("200 OK", b'{"state": "done", "body": "*"}'), Reason.ANSWER_INVALID),
        (http_answer("200 OK", b"{"), Reason.ANSWER_INVALID),
        (http_answer("200 OK", b"[]"), Reason.ANSWER_INVALID),
        (http_answer("500 Error"), Reason.ANSWER_INVALID),
        (http_answer("200 OK", b"{}")[:-1], Reason.BACKEND_UNREACHABLE),
        (b"", Reason.BACKEND_UNREACHABLE),
    ],
)
def test_status(answer, reason):
    status, _ = call(answer, "status", "j-1.1")
    assert (status.error.reason if status.is_error() else None) is reason


def test_status_of_an_unknown_task():
    status, _ = call(http_answer("404 Not Found"), "status", "j-1.1")
    assert status.is_ok()
    assert status.ok is None


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (http_answer("200 OK"), True),
        (http_answer("404 Not Found"), False),
        (b"", Ran.UNKNOWN),
    ],
)
def test_renew(answer, expected):
    renewed, _ = call(answer, "renew", "j-1.1", 1000)
    assert (renewed.error.ran if renewed.is_error() else renewed.ok) == expected
