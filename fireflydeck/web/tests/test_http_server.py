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
_LONGER_THAN_READ_TIMEOUT_S = 0.25


class BlockingApp:
    """Application that answers ``/blocking`` only after the test sets `released`."""

    def __init__(self):
        self.request_received = anyio.Event()
        self.released = anyio.Event()
        self.disconnects = 0
        blocking_route = Route("/blocking", self._block, methods=["POST"])
        self.app = Starlette(routes=[blocking_route, Route("/echo", self._echo, methods=["POST"])])

    async def _echo(self, request):
        try:
            return Response(await request.body())
        except ClientDisconnect:
            self.disconnects += 1
            return Response(status_code=408)

    async def _block(self, request):
        await request.body()
        self.request_received.set()
        await self.released.wait()
        self.disconnects += await request.is_disconnected()
        return Response("whole")


class CrashingService(Service):
    name = "crashing"

    def __init__(self):
        self.trigger = anyio.Event()

    async def start(self, registry, tasks):
        tasks.start_soon(self._run)

    async def _run(self):
        await self.trigger.wait()
        raise RuntimeError("defect")


@asynccontextmanager
async def serve(app, **options):
    kernel = Kernel("test", "test")
    server = HttpServer("http", app, HttpServerOptions(address="127.0.0.1:0", **options))
    kernel.add(server)
    async with anyio.create_task_group() as tasks:
        await tasks.start(kernel.run)
        async with httpx.AsyncClient(base_url=f"http://{server.address}", timeout=5) as client:
            yield kernel, server, client
        kernel.request_stop()


async def test_address_has_the_actual_port():
    async with serve(BlockingApp().app) as (_, server, client):
        assert not server.address.endswith(":0")
        assert server.state() == {"address": server.address}
        assert (await client.post("/echo", content=b"x")).content == b"x"


async def test_start_raises_when_the_address_is_in_use():
    async with serve(BlockingApp().app) as (_, server, _client):
        second = HttpServer("second", BlockingApp().app, HttpServerOptions(address=server.address))
        async with anyio.create_task_group() as tasks:
            with pytest.raises(OSError, match="in use"):
                await second.start(None, tasks)


async def test_idle_connection_serves_a_request_after_the_read_timeout():
    async with serve(BlockingApp().app, read_timeout_ms=_READ_TIMEOUT_MS) as (_, _server, client):
        await client.post("/echo", content=b"first")
        await anyio.sleep(_LONGER_THAN_READ_TIMEOUT_S)
        assert (await client.post("/echo", content=b"second")).content == b"second"


async def test_read_timeout_does_not_disconnect_a_long_request():
    blocking = BlockingApp()
    async with serve(blocking.app, read_timeout_ms=_READ_TIMEOUT_MS) as (_, _server, client):

        async def release_after_timeout():
            await blocking.request_received.wait()
            await anyio.sleep(_LONGER_THAN_READ_TIMEOUT_S)
            blocking.released.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(release_after_timeout)
            assert (await client.post("/blocking")).text == "whole"
        assert (await client.post("/echo", content=b"next")).content == b"next"
    assert blocking.disconnects == 0


async def test_incomplete_body_times_out():
    blocking = BlockingApp()
    async with serve(blocking.app, read_timeout_ms=_READ_TIMEOUT_MS) as (_, server, _client):
        host, port = server.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc")
            with anyio.fail_after(5):
                assert (await stream.receive()).startswith(b"HTTP/1.1 408")
    assert blocking.disconnects == 1


async def test_stop_serves_connections_that_were_not_accepted_yet():
    """Closing a listener resets connections that a busy process has not accepted yet."""
    blocking = BlockingApp()
    server = HttpServer("test", blocking.app, HttpServerOptions(address="127.0.0.1:0"))
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
    blocking = BlockingApp()
    answers = []
    async with serve(blocking.app) as (kernel, server, client):

        async def ask():
            answers.append((await client.post("/blocking")).text)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await blocking.request_received.wait()
            kernel.request_stop()
            await _wait_until_refused(server.address)
            assert answers == []
            blocking.released.set()
    assert answers == ["whole"]


async def test_service_failure_stops_the_process_despite_open_requests():
    blocking, crashing = BlockingApp(), CrashingService()
    kernel = Kernel("test", "test")
    server = HttpServer("http", blocking.app, HttpServerOptions(address="127.0.0.1:0"))
    kernel.add(server)
    kernel.add(crashing)

    async def ask():
        async with httpx.AsyncClient(timeout=10) as client:
            assert (await client.post(f"http://{server.address}/blocking")).status_code == 500

    async def crash():
        await blocking.request_received.wait()
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
