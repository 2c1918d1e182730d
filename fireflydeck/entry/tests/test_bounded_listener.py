"""Bounds on the connections of one listener: time, bytes, number and order of closing."""

import asyncio
import errno
import socket
import zlib
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.entry.bounded_listener import BoundedListener
from fireflydeck.entry.client_budget import ClientBudget, CloseReason
from fireflydeck.entry.client_limits import CONNECTION_COST_BYTES, ClientLimits
from fireflydeck.entry.request_body import BODY_ERRORS, read_body
from fireflydeck.kernel import Event, Metrics
from fireflydeck.testing.ports import free_address
from fireflydeck.testing.recording_log import RecordingLog

pytestmark = pytest.mark.anyio

_GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
_POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
_CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
_UPGRADE = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
_LIMITS = RequestLimits(header_timeout_ms=300, idle_timeout_ms=600)


class _Listener:
    """A running listener whose handler reads the body of each request."""

    def __init__(self, connections, memory_bytes):
        self.metrics, self.log = Metrics(), RecordingLog()
        limits = ClientLimits(
            memory_bytes=memory_bytes, caller_connections=connections, peer_connections=1
        )
        self.budget = ClientBudget(limits, self.log, self.metrics)
        self.clients = self.budget.listener("test", connections, lambda: _LIMITS)
        self.address = free_address()
        self.listener = BoundedListener(self.address, self._handle, self.clients)
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.answer = b"ok"
        self.bodies = []
        self._sockets = []

    async def _handle(self, request):
        try:
            self.bodies.append(await read_body(request, 4 * 2**20))
        except BODY_ERRORS:
            self.bodies.append(None)
        await self.may_answer.wait()
        return web.Response(body=self.answer)

    async def connect(self, content=b""):
        host, _, port = self.address.rpartition(":")
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        await loop.sock_sendall(connection, content)
        return connection

    def count(self, reason):
        return self.metrics.value("clients_limited_total", listener="test", reason=reason.value)

    def close_sockets(self):
        for connection in self._sockets:
            connection.close()


@asynccontextmanager
async def _listening(connections=16, memory_bytes=4 * 2**20):
    running = _Listener(connections, memory_bytes)
    await running.listener.start()
    try:
        yield running
    finally:
        running.may_answer.set()
        running.close_sockets()
        await running.listener.close()


async def _is_closed(connection, timeout_s=2.5):
    """Return whether the server closes a connection; what it sends before is dropped."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            while await loop.sock_recv(connection, 65536):
                pass
    except TimeoutError:
        return False
    except ConnectionError:
        pass
    return True


async def _status(connection, content=_GET):
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, content)
    async with asyncio.timeout(3):
        return int((await loop.sock_recv(connection, 4096)).split()[1])


@pytest.mark.parametrize(
    ("content", "reason"),
    [
        (b"", CloseReason.UNUSED),
        (_GET[:-2], CloseReason.SLOW_HEAD),
        (_POST + b" " * 500, CloseReason.SLOW_BODY),
        (_UPGRADE + _POST + b" " * 500, CloseReason.SLOW_BODY),
        (b"GET /" + b"a" * 40_000, CloseReason.INVALID),
        (b"GET / HTTP/1.1\r\n" + b"a: " + b"b" * 8000 + b"\r\n", CloseReason.SLOW_HEAD),
        (b"GET / HTTP/1.1\r\n" + (b"a: " + b"b" * 8000 + b"\r\n") * 4, CloseReason.LONG_HEAD),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 1000, CloseReason.INVALID),
        (_CHUNKED + b"1\r\n \r\n" * 6000, CloseReason.CHUNKS),
    ],
    ids=[
        "unused",
        "head",
        "body",
        "body-after-upgrade",
        "long-target",
        "field",
        "long-head",
        "many-fields",
        "chunks",
    ],
)
async def test_unfinished_request_is_closed(content, reason):
    """Guard against clients that stop half-way and hold a connection for ever."""
    async with _listening() as running:
        assert await _is_closed(await running.connect(content))
        assert running.count(reason) == 1
        assert running.budget.used_bytes == 0


async def test_unread_responses_end_the_connection():
    """Guard against pipelined requests whose responses fill the memory."""
    async with _listening() as running:
        running.answer = b"x" * 100_000
        await running.connect(_GET * 100)
        async with asyncio.timeout(8):
            while not running.count(CloseReason.UNREAD_RESPONSES):
                await asyncio.sleep(0.05)
        assert running.budget.used_bytes == 0


async def test_oldest_unfinished_bodies_are_closed_when_the_memory_is_used_up():
    """Guard against bodies that exceed the budget of the process together."""
    async with _listening(memory_bytes=16 * CONNECTION_COST_BYTES) as running:
        held = [await running.connect(_POST + b" " * 50_000) for _ in range(12)]
        await asyncio.sleep(0.1)
        assert running.budget.used_bytes <= running.budget.limits.memory_bytes
        assert running.count(CloseReason.MEMORY) > 0
        assert await _is_closed(held[0], timeout_s=0.1)
        assert not await _is_closed(held[-1], timeout_s=0.05)


async def test_body_of_an_aborted_connection_is_not_served_in_part():
    """Guard against a job that is decoded from the rest of a body whose beginning was dropped."""
    content = zlib.compress(b" " * 2 * 2**20 + b"{}")
    fields = b"Content-Encoding: deflate\r\nContent-Length: %d\r\n\r\n" % len(content)
    async with _listening(memory_bytes=16 * CONNECTION_COST_BYTES) as running:
        await running.connect(b"POST / HTTP/1.1\r\nHost: h\r\n" + fields + content)
        async with asyncio.timeout(3):
            while not running.bodies:
                await asyncio.sleep(0.01)
        assert running.bodies == [None]
        assert running.count(CloseReason.MEMORY) == 1


async def test_connection_limit_closes_idle_ones_first_and_spares_requests_in_progress():
    """Guard against a full listener that refuses every new client, or breaks running requests."""
    async with _listening(connections=4) as running:
        idle = await running.connect()
        assert await _status(idle) == 200
        running.may_answer.clear()
        busy = [await running.connect(_GET) for _ in range(3)]
        await asyncio.sleep(0.1)
        new = await running.connect(_GET)
        assert await _is_closed(idle)
        assert running.count(CloseReason.CONNECTIONS) == 1
        late = await running.connect()
        await asyncio.sleep(0.3)
        assert running.count(CloseReason.ACCEPT_PAUSED) > 0
        assert running.clients.count == 4
        running.may_answer.set()
        assert await _status(late) == 200
        for connection in (*busy, new):
            assert (await asyncio.get_running_loop().sock_recv(connection, 12))[9:] == b"200"


async def test_full_listener_closes_one_connection_for_each_new_one():
    """Guard against connections that are closed although nobody waits for their place."""
    async with _listening(connections=8) as running:
        for _ in range(8):
            await running.connect(_GET[:-2])
        await asyncio.sleep(0.1)
        for number in range(1, 4):
            await running.connect(_GET[:-2])
            await asyncio.sleep(0.02)
            assert running.count(CloseReason.CONNECTIONS) == number


async def test_reasons_are_logged_once_per_second():
    """Guard against a log that is filled by a flood."""
    async with _listening(connections=64) as running:
        for _ in range(30):
            await running.connect(b"GET / HTTP/1.1\r\n" + (b"a: " + b"b" * 8000 + b"\r\n") * 4)
        await asyncio.sleep(1.0)
        lines = [fields for event, fields in running.log.events if event == Event.CLIENTS_LIMITED]
        assert 1 <= len(lines) <= 3
        assert sum(fields["count"] for fields in lines) <= 30


async def test_largest_body_in_ordinary_chunks_is_read():
    """Guard against a bound on chunks that legal clients reach."""
    chunk = b"80\r\n" + b" " * 128 + b"\r\n"
    async with _listening() as running:
        connection = await running.connect()
        assert await _status(connection, _CHUNKED + chunk * 2048 + b"0\r\n\r\n") == 200
        assert len(running.bodies[0]) == 262_144


async def test_ordinary_requests_leave_nothing_charged():
    """Guard against a budget that keeps-alive connections use up bit by bit."""
    async with _listening() as running:
        connection = await running.connect()
        for _ in range(20):
            assert await _status(connection, _POST + b" " * 60_000) == 200
        await asyncio.sleep(1.0)
        assert await _status(connection) == 200
        assert running.budget.used_bytes == CONNECTION_COST_BYTES


async def test_accepting_resumes_after_the_descriptors_ran_out():
    """Guard against a listener that stays paused although descriptors are free again."""
    async with _listening() as running:
        real = running.listener._socket

        class _NoDescriptors:
            def accept(self):
                raise OSError(errno.EMFILE, "too many open files")

            def fileno(self):
                return real.fileno()

            def close(self):
                real.close()

        running.listener._socket = _NoDescriptors()
        connection = await running.connect()
        await asyncio.sleep(0.1)
        assert running.count(CloseReason.DESCRIPTORS) >= 1
        running.listener._socket = real
        assert await _status(connection) == 200
