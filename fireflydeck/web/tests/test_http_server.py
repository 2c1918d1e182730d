import socket
from contextlib import asynccontextmanager

import anyio
import httpx
import pytest
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import Response
from starlette.routing import Route

from fireflydeck.kernel import Kernel, Registry, Service
from fireflydeck.web import HttpServer, HttpServerOptions

pytestmark = pytest.mark.anyio

_READ_TIMEOUT_MS = 100
_LONGER_S = 0.25


class Held:
    """Application that answers when it is released."""

    def __init__(self):
        self.entered = anyio.Event()
        self.released = anyio.Event()
        self.disconnects = 0
        held = Route("/held", self._held, methods=["POST"])
        self.app = Starlette(routes=[held, Route("/echo", self._echo, methods=["POST"])])

    async def _echo(self, request):
        try:
            return Response(await request.body())
        except ClientDisconnect:
            self.disconnects += 1
            return Response(status_code=408)

    async def _held(self, request):
        await request.body()
        self.entered.set()
        await self.released.wait()
        self.disconnects += await request.is_disconnected()
        return Response("whole")


class Crashing(Service):
    name = "crashing"

    def __init__(self):
        self.trigger = anyio.Event()

    async def start(self, registry, tasks):
        tasks.start_soon(self._run)

    async def _run(self):
        await self.trigger.wait()
        raise RuntimeError("defect")


@asynccontextmanager
async def running(app, **options):
    kernel = Kernel("test", "test")
    server = HttpServer("http", app, HttpServerOptions(address="127.0.0.1:0", **options))
    kernel.add(server)
    async with anyio.create_task_group() as tasks:
        await tasks.start(kernel.run)
        async with httpx.AsyncClient(base_url=f"http://{server.address}", timeout=5) as client:
            yield kernel, server, client
        kernel.request_stop()


async def test_address_is_the_real_one():
    async with running(Held().app) as (_, server, client):
        assert not server.address.endswith(":0")
        assert server.state() == {"address": server.address}
        assert (await client.post("/echo", content=b"x")).content == b"x"


async def test_start_raises_when_the_address_is_taken():
    async with running(Held().app) as (_, server, _client):
        second = HttpServer("second", Held().app, HttpServerOptions(address=server.address))
        async with anyio.create_task_group() as tasks:
            with pytest.raises(OSError, match="in use"):
                await second.start(None, tasks)


async def test_idle_connection_serves_a_request_after_the_read_timeout():
    async with running(Held().app, read_timeout_ms=_READ_TIMEOUT_MS) as (_, _server, client):
        await client.post("/echo", content=b"first")
        await anyio.sleep(_LONGER_S)
        assert (await client.post("/echo", content=b"second")).content == b"second"


async def test_long_request_is_not_disconnected_by_the_read_timeout():
    held = Held()
    async with running(held.app, read_timeout_ms=_READ_TIMEOUT_MS) as (_, _server, client):

        async def release_late():
            await held.entered.wait()
            await anyio.sleep(_LONGER_S)
            held.released.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(release_late)
            assert (await client.post("/held")).text == "whole"
        assert (await client.post("/echo", content=b"next")).content == b"next"
    assert held.disconnects == 0


async def test_silent_sender_of_a_body_is_given_up():
    held = Held()
    async with running(held.app, read_timeout_ms=_READ_TIMEOUT_MS) as (_, server, _client):
        host, port = server.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc")
            with anyio.fail_after(5):
                assert (await stream.receive()).startswith(b"HTTP/1.1 408")
    assert held.disconnects == 1


async def test_connection_that_was_not_accepted_yet_is_served_at_the_stop():
    """A busy process was behind with accepting; its listener's end reset the request."""
    held = Held()
    server = HttpServer("test", held.app, HttpServerOptions(address="127.0.0.1:0"))
    async with anyio.create_task_group() as tasks:
        await server.start(Registry(), tasks)
        await anyio.sleep(0.05)
        host, _, port = server.address.rpartition(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
            await server.stop()
            caller.settimeout(2)
            assert caller.recv(4096).startswith(b"HTTP/1.1 200")


async def test_stop_waits_for_open_requests():
    held = Held()
    answers = []
    async with running(held.app) as (kernel, server, client):

        async def ask():
            answers.append((await client.post("/held")).text)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await held.entered.wait()
            kernel.request_stop()
            await _wait_until_refused(server.address)
            assert answers == []
            held.released.set()
    assert answers == ["whole"]


async def test_crash_of_a_service_stops_the_process_with_open_requests():
    held, crashing = Held(), Crashing()
    kernel = Kernel("test", "test")
    server = HttpServer("http", held.app, HttpServerOptions(address="127.0.0.1:0"))
    kernel.add(server)
    kernel.add(crashing)

    async def ask():
        async with httpx.AsyncClient(timeout=10) as client:
            assert (await client.post(f"http://{server.address}/held")).status_code == 500

    async def crash():
        await held.entered.wait()
        crashing.trigger.set()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(crash)
            with pytest.raises(ExceptionGroup) as caught:
                async with anyio.create_task_group() as inner:
                    await inner.start(kernel.run)
                    tasks.start_soon(ask)
    assert caught.group_contains(RuntimeError, match="defect")


async def _wait_until_refused(address):
    host, port = address.split(":")
    with anyio.fail_after(5):
        while True:
            try:
                await (await anyio.connect_tcp(host, int(port))).aclose()
            except OSError:
                return
            await anyio.sleep(0.01)
