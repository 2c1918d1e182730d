"""Fault proxy: observations of client and target during and after each mode."""

from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from fireflydeck.kernel import Registry
from fireflydeck.standins.fault_proxy import Direction, FaultProxy, ProxyFault, ProxyMode
from fireflydeck.standins.proxy_control import proxy_control_app
from fireflydeck.standins.runner import serve_app, serve_fault_proxy
from fireflydeck.testing import FakeClock

pytestmark = pytest.mark.anyio

# Time in which no data may arrive. Data that arrives later goes unnoticed, so a slow machine can
# hide a fault, but cannot make a correct run fail.
_SILENCE_S = 0.1


class Target:
    """Server that answers each chunk with ``re:`` and the chunk, and records the received bytes."""

    def __init__(self):
        self.received = b""
        self.ended = 0
        self.address = ""

    async def handle(self, stream):
        async with stream:
            try:
                async for chunk in stream:
                    self.received += chunk
                    await stream.send(b"re:" + chunk)
            except anyio.BrokenResourceError:
                pass
            self.ended += 1

    async def wait_for(self, received):
        with anyio.fail_after(5):
            while self.received != received:
                await anyio.sleep(0.005)


@asynccontextmanager
async def serving():
    """Yield a target and a proxy in front of it."""
    target = Target()
    listeners = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listeners, anyio.create_task_group() as tasks:
        tasks.start_soon(listeners.serve, target.handle)
        port = listeners.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        async with serve_fault_proxy(f"127.0.0.1:{port}") as proxy:
            yield target, proxy
        tasks.cancel_scope.cancel()


async def connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def ask(stream, text=b"a"):
    await stream.send(text)
    with anyio.fail_after(5):
        return await stream.receive()


async def stays_silent(stream):
    with anyio.move_on_after(_SILENCE_S):
        await stream.receive()
        return False
    return True


async def ends_with(stream, error):
    with anyio.fail_after(5), pytest.raises(error):
        await stream.receive()
    return True


async def test_pass_forwards_both_ways_and_ends():
    async with serving() as (target, proxy):
        stream = await connect(proxy)
        assert await ask(stream) == b"re:a"
        assert proxy.connections == 1
        await stream.send_eof()
        assert await ends_with(stream, anyio.EndOfStream)
        with anyio.fail_after(5):
            while proxy.connections:
                await anyio.sleep(0.005)
    assert target.ended == 1


async def test_pass_forwards_large_streams_whole():
    async with serving() as (_, proxy):
        stream = await connect(proxy)
        sent = bytes(range(256)) * 8_000
        received = bytearray()

        async def send():
            await stream.send(sent)
            await stream.send_eof()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            with anyio.fail_after(10):
                async for chunk in stream:
                    received += chunk
        assert bytes(received).replace(b"re:", b"") == sent


async def test_delay_applies_to_each_direction():
    clock = FakeClock()
    async with serving() as (target, passing):
        proxy = FaultProxy("127.0.0.1:0", passing.address, clock)
        async with anyio.create_task_group() as tasks:
            await proxy.start(Registry(), tasks)
            await proxy.set_fault(ProxyFault(mode=ProxyMode.DELAY, delay_ms=50))
            stream = await connect(proxy)
            await stream.send(b"a")
            assert await stays_silent(stream)
            assert target.received == b""
            await clock.advance_ms(50)
            await target.wait_for(b"a")
            assert await stays_silent(stream)
            await clock.advance_ms(50)
            assert await stream.receive() == b"re:a"
            await proxy.stop()
            tasks.cancel_scope.cancel()


async def test_cut_resets_connections_and_refuses_new_ones():
    async with serving() as (_, proxy):
        stream = await connect(proxy)
        await ask(stream)
        await proxy.set_fault(ProxyFault(mode=ProxyMode.CUT))
        assert await ends_with(stream, anyio.BrokenResourceError)
        for _ in range(3):
            with pytest.raises(OSError, match="connect"):
                await connect(proxy)
        await proxy.set_fault(ProxyFault())
        assert await ask(await connect(proxy)) == b"re:a"


async def test_freeze_accepts_and_forwards_nothing_until_it_ends():
    async with serving() as (target, proxy):
        before = await connect(proxy)
        await ask(before)
        await proxy.set_fault(ProxyFault(mode=ProxyMode.FREEZE))
        during = await connect(proxy)
        await before.send(b"b")
        await during.send(b"c")
        assert await stays_silent(before)
        assert await stays_silent(during)
        assert target.received == b"a"
        await proxy.set_fault(ProxyFault())
        assert await before.receive() == b"re:b"
        assert await during.receive() == b"re:c"


HALF_OPEN = [(Direction.TO_CLIENT, b"ab"), (Direction.TO_TARGET, b"a")]


@pytest.mark.parametrize(("dropped", "received"), HALF_OPEN)
async def test_half_open_drops_one_direction_permanently(dropped, received):
    async with serving() as (target, proxy):
        stream = await connect(proxy)
        await ask(stream)
        await proxy.set_fault(ProxyFault(mode=ProxyMode.HALF_OPEN, dropped=dropped))
        await stream.send(b"b")
        assert await stays_silent(stream)
        await target.wait_for(received)
        await proxy.set_fault(ProxyFault())
        await stream.send(b"c")
        assert await stays_silent(stream)
        assert await ask(await connect(proxy), b"d") == b"re:d"


CLOSING = [
    (ProxyFault(mode=ProxyMode.DROP_ANSWERS), b""),
    (ProxyFault(mode=ProxyMode.TRUNCATE, truncate_bytes=0), b""),
    (ProxyFault(mode=ProxyMode.TRUNCATE, truncate_bytes=4), b"re:b"),
    (ProxyFault(mode=ProxyMode.TRUNCATE, truncate_bytes=6), b"re:bcd"),
]


@pytest.mark.parametrize(("fault", "answer"), CLOSING)
async def test_answer_is_dropped_or_truncated_after_the_effect(fault, answer):
    async with serving() as (target, proxy):
        stream = await connect(proxy)
        await ask(stream)
        await proxy.set_fault(fault)
        await stream.send(b"bcdef")
        received = b""
        with anyio.fail_after(5):
            async for chunk in stream:
                received += chunk
        assert received == answer
        assert target.received == b"abcdef"


async def test_unreachable_target_breaks_the_connection():
    async with serve_fault_proxy("127.0.0.1:1") as proxy:
        stream = await connect(proxy)
        assert await ends_with(stream, anyio.BrokenResourceError)
        assert await ends_with(await connect(proxy), anyio.BrokenResourceError)


async def test_stop_closes_connections():
    async with serving() as (_, proxy):
        stream = await connect(proxy)
        await ask(stream)
        await proxy.stop()
        assert await ends_with(stream, anyio.EndOfStream)


async def test_control_sets_the_mode():
    async with (
        serve_fault_proxy("127.0.0.1:1") as proxy,
        serve_app(proxy_control_app(proxy)) as address,
        httpx.AsyncClient(base_url=f"http://{address}") as client,
    ):
        body = {"mode": "half-open", "dropped": "to-target"}
        assert (await client.put("/mode", json=body)).status_code == 200
        assert proxy.fault.dropped is Direction.TO_TARGET
        for wrong in ({"mode": "other"}, {"delay_ms": "1"}, {"unknown": 1}, []):
            assert (await client.put("/mode", json=wrong)).status_code == 400
        assert (await client.get("/mode")).json()["mode"] == "half-open"
