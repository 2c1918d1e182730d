"""Slow, malformed and broken connections of callers, load limits, and the graceful stop."""

import anyio
import pytest
from expression import Ok

from fireflydeck.core import (
    Answer,
)
from fireflydeck.testing.gateway import (
    KEY,
    MAX_BODY_BYTES,
    run_gateway,
)

pytestmark = pytest.mark.anyio


async def test_slow_body_times_out():
    async with run_gateway(body_timeout_ms=200, drain_timeout_ms=100) as bench:
        async with await anyio.connect_tcp("127.0.0.1", bench.port) as stream:
            head = f"POST /queues/records/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n"
            await stream.send(f"{head}content-length: 10\r\n\r\nabc".encode())
            with anyio.fail_after(5):
                answer = await read_to_end(stream)
        assert answer.startswith(b"HTTP/1.1 400")
        assert b"did not arrive within 200 ms" in answer
        assert bench.gateway.state()["requests"] == 0


async def test_refused_upload_does_not_affect_other_streams_of_the_connection():
    async with run_gateway(max_body_bytes=MAX_BODY_BYTES) as bench:
        bench.peers.dispatcher.release = anyio.Event()
        answers = []
        async with bench.client(http2=True) as client, anyio.create_task_group() as tasks:

            async def get():
                answers.append(await client.get("/queues/visitors/a"))

            tasks.start_soon(get)
            await wait_for_requests(bench, 1)
            refused = await client.post("/queues/visitors/a", content=bytes(1_000_000))
            assert refused.status_code == 413
            bench.peers.dispatcher.release.set()
        assert answers[0].status_code == 200


async def read_to_end(stream):
    received = b""
    while True:
        try:
            received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


MALFORMED = {
    "no http": b"\x00\x01\x02\x03\r\n\r\n",
    "bad content-length": (
        b"POST /queues/visitors/a HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n"
    ),
    "bad chunk": (
        b"POST /queues/visitors/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
    ),
    "head too large": b"GET /queues/visitors/a HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 40_000,
}


@pytest.mark.parametrize("sent", MALFORMED.values(), ids=MALFORMED.keys())
async def test_malformed_http_closes_the_connection(sent):
    async with run_gateway() as bench:
        async with await anyio.connect_tcp("127.0.0.1", bench.port) as stream:
            await stream.send(sent)
            with anyio.fail_after(5):
                answer = await read_to_end(stream)
        assert answer == b"" or answer.startswith(b"HTTP/1.1 4")
        assert bench.peers.dispatcher.requests == []
        async with bench.client() as client:
            assert (await client.get("/queues/visitors/a")).status_code == 200
        assert bench.gateway.state()["requests"] == 0


async def test_disconnect_cancels_the_request():
    async with run_gateway() as bench:
        dispatcher = bench.peers.dispatcher
        dispatcher.release = anyio.Event()
        stream = await anyio.connect_tcp("127.0.0.1", bench.port)
        await stream.send(b"GET /queues/visitors/a HTTP/1.1\r\nhost: a\r\n\r\n")
        with anyio.fail_after(5):
            while not dispatcher.requests:
                await anyio.sleep(0.01)
            await stream.aclose()
            while not dispatcher.cancelled:
                await anyio.sleep(0.01)
        assert dispatcher.cancelled == [dispatcher.requests[0].request_id]
        assert bench.gateway.state()["requests"] == 0
        assert bench.metrics.value("gateway_cancelled_total") == 1


async def wait_for_requests(bench, count):
    with anyio.fail_after(5):
        while len(bench.peers.dispatcher.requests) < count:
            await anyio.sleep(0.01)


async def test_number_of_requests_in_flight_is_limited():
    async with run_gateway(max_in_flight=1) as bench, bench.client() as client:
        bench.peers.dispatcher.release = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.get, "/queues/visitors/a")
            await wait_for_requests(bench, 1)
            refused = await client.get("/queues/visitors/a")
            assert (refused.status_code, refused.json()["reason"]) == (429, "too-many-requests")
            assert refused.headers["retry-after"] == "1"
            bench.peers.dispatcher.release.set()


async def test_number_of_buffered_bytes_is_limited():
    async with run_gateway(max_buffered_bytes=1_000) as bench, bench.client() as client:
        bench.peers.dispatcher.release = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def post():
                await client.post("/queues/visitors/a", content=bytes(600))

            tasks.start_soon(post)
            await wait_for_requests(bench, 1)
            refused = await client.post("/queues/visitors/a", content=bytes(600))
            assert (refused.status_code, refused.json()["reason"]) == (429, "too-many-requests")
            bench.peers.dispatcher.release.set()
        assert (await client.post("/queues/visitors/a", content=bytes(600))).status_code == 200
        assert bench.gateway.state()["held_bytes"] == 0


async def test_requests_are_served_and_connections_closed_during_the_shutdown_delay():
    async with (
        run_gateway(shutdown_delay_ms=60_000) as bench,
        bench.client() as client,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(bench.gateway.stop)
        await anyio.wait_all_tasks_blocked()
        served = await client.get("/queues/visitors/a")
        assert (served.status_code, served.headers["connection"]) == (200, "close")
        tasks.cancel_scope.cancel()


async def test_stop_refuses_new_requests_and_finishes_those_in_flight():
    async with run_gateway(shutdown_delay_ms=0) as bench, bench.client() as client:
        bench.peers.dispatcher.release = anyio.Event()
        answers = []

        async def get():
            answers.append(await client.get("/queues/visitors/a"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(get)
            await wait_for_requests(bench, 1)
            tasks.start_soon(bench.gateway.stop)
            await anyio.wait_all_tasks_blocked()
            refused = await client.get("/queues/visitors/a")
            assert (refused.status_code, refused.json()["reason"]) == (503, "stopping")
            assert refused.headers["connection"] == "close"
            bench.peers.dispatcher.release.set()
        assert answers[0].status_code == 200


async def test_sending_to_a_caller_that_does_not_read_times_out():
    async with run_gateway(send_timeout_ms=200) as bench:
        bench.peers.dispatcher.reply = lambda request: Ok(
            Answer(request_id=request.request_id, status=200, body=bytes(8_000_000))
        )
        stream = await anyio.connect_tcp("127.0.0.1", bench.port)
        await stream.send(b"GET /queues/visitors/a HTTP/1.1\r\nhost: a\r\n\r\n")
        with anyio.fail_after(5):
            while not bench.metrics.value("gateway_cancelled_total"):
                await anyio.sleep(0.01)
        assert bench.gateway.state()["requests"] == 0
        assert bench.gateway.state()["held_bytes"] == 0
        await stream.aclose()
