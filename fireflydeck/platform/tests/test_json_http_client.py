"""HTTP client: reuse of connections, unusual answers, timeouts and cancelled exchanges."""

import asyncio
from contextlib import asynccontextmanager

import anyio
import pytest

from fireflydeck.core import Ran, Reason
from fireflydeck.platform.json_http_client import JsonHttpClient

pytestmark = pytest.mark.anyio

_TIMEOUT_MS = 300
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


class _RawServer:
    """Server that answers each request with the next of some byte strings; `None` for silence."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.connections = 0
        self.open_connections = 0
        self.requests = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.open_connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                self.requests.append((head, await reader.readexactly(length)))
                answer = self.answers.pop(0) if self.answers else _ANSWER
                if answer == b"":
                    return
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()


@asynccontextmanager
async def _client_of(*answers, max_connections=2):
    server = _RawServer(answers)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    client = JsonHttpClient(
        f"{host}:{port}", failure_reason=Reason.STORE_UNAVAILABLE, max_connections=max_connections
    )
    try:
        yield client, server
    finally:
        await client.close()
        listener.close()


async def _exchange(client, **options):
    options = {"step": "test", "timeout_ms": _TIMEOUT_MS, "body": {"n": 1}, **options}
    return await client.exchange("POST", "/-/call", **options)


async def test_connection_is_reused():
    async with _client_of() as (client, server):
        for _ in range(5):
            answer = (await _exchange(client, headers={"X-Name": "v"}, params={"k": "a b"})).ok
            assert (answer.status, answer.body) == (200, {"a": 1})
        assert server.connections == 1
        head, body = server.requests[0]
        assert head.startswith(b"POST /-/call?k=a+b HTTP/1.1\r\nHost: 127.0.0.1:")
        assert b"\r\nX-Name: v\r\n" in head
        assert body == b'{"n":1}'


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" + _ANSWER,
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{"a"\r\n4\r\n: 1}\r\n0\r\n\r\n',
    ],
    ids=["interim answer", "chunked"],
)
async def test_unusual_answers(raw):
    async with _client_of(raw) as (client, server):
        assert (await _exchange(client)).ok.body == {"a": 1}
        assert (await _exchange(client)).is_ok()
        assert server.connections == 1


async def test_connection_that_the_server_closes_is_not_reused():
    raw = _ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    async with _client_of(raw) as (client, server):
        assert (await _exchange(client)).is_ok()
        assert (await _exchange(client)).is_ok()
        assert server.connections == 2


@pytest.mark.parametrize(
    "raw", [b"", b"\x00\xff", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", None]
)
async def test_failed_exchange_may_have_run_and_the_next_uses_another_connection(raw):
    async with _client_of(raw) as (client, server):
        assert (await _exchange(client)).error.ran == Ran.UNKNOWN
        assert (await _exchange(client)).is_ok()
        assert server.connections == 2


async def test_second_answer_to_one_request_answers_no_other_request():
    async with _client_of(_ANSWER + _ANSWER.replace(b"1}", b"2}")) as (client, server):
        assert (await _exchange(client)).ok.body == {"a": 1}
        assert (await _exchange(client)).ok.body == {"a": 1}
        assert server.connections == 2


async def test_failure_retires_idle_connections():
    """Connections that are silent for good show themselves only by a timeout."""
    async with _client_of() as (client, server):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_exchange, client)
            tasks.start_soon(_exchange, client)
        assert server.connections == 2
        server.answers = [None]
        assert (await _exchange(client)).error.ran == Ran.UNKNOWN
        assert (await _exchange(client)).is_ok()
        assert server.connections == 3


async def test_cancelled_exchange_closes_its_connection():
    async with _client_of(None) as (client, server):
        with anyio.move_on_after(0.05):
            await _exchange(client)
        assert (await _exchange(client)).is_ok()
        assert server.connections == 2


async def test_full_pool_sends_nothing_in_time():
    async with _client_of(None, max_connections=1) as (client, server):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_exchange, client)
            await anyio.sleep(0.05)
            waiting = await _exchange(client, timeout_ms=100)
        assert waiting.error.ran == Ran.NO
        assert len(server.requests) == 1
        assert (await _exchange(client)).is_ok()


async def test_closed_client_leaves_no_connection():
    async with _client_of(_ANSWER, None) as (client, server):
        await _exchange(client)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_exchange, client)
            await anyio.sleep(0.05)
            await client.close()
        while server.open_connections:
            await anyio.sleep(0.01)
