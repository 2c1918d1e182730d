"""TCP proxy from one listen address to one target that injects network faults."""

import socket
import struct
from enum import StrEnum

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup
from attrs import define, field, frozen

from fireflydeck.core import Clock, SystemClock
from fireflydeck.kernel import Registry, Service

__all__ = ["Direction", "FaultProxy", "ProxyFault", "ProxyMode"]

# struct linger with l_onoff=1 and l_linger=0: close() sends a reset instead of a FIN.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class ProxyMode(StrEnum):
    """Treatment of the connections through the proxy."""

    PASS = "pass"
    DELAY = "delay"
    CUT = "cut"
    FREEZE = "freeze"
    HALF_OPEN = "half-open"
    DROP_ANSWERS = "drop-answers"
    TRUNCATE = "truncate"


class Direction(StrEnum):
    """Direction of data through the proxy."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


@frozen(kw_only=True)
class ProxyFault:
    """Mode of the proxy with its parameters.

    Parameters
    ----------
    mode
        ``pass``: forwards all data; ``delay``: delays each chunk by `delay_ms`; ``cut``: resets all
        connections and refuses new ones; ``freeze``: accepts connections and keeps them open, but
        forwards nothing until the mode changes; ``half-open``: discards the data in the direction
        `dropped`; ``drop-answers``: closes a connection at the first byte from the target;
        ``truncate``: closes a connection after `truncate_bytes` from the target.
    delay_ms
        Delay of each chunk in mode ``delay``.
    dropped
        Direction in which ``half-open`` discards data. Once a connection has lost data, it delivers
        none in that direction in any later mode, because a TCP stream has no gaps.
    truncate_bytes
        Limit of mode ``truncate``, counted for each connection from the change of the mode.
    """

    mode: ProxyMode = ProxyMode.PASS
    delay_ms: int = 0
    dropped: Direction = Direction.TO_CLIENT
    truncate_bytes: int = 0


@define(eq=False)
class _Link:
    """A client connection and the matching connection to the target."""

    client: SocketStream
    target: SocketStream | None = None
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    answer_bytes: int = 0
    discarded: set[Direction] = field(factory=set)

    def close(self, *, reset: bool) -> None:
        """Close both connections, with a reset or in the regular way."""
        for stream in (self.client, self.target):
            if reset and stream is not None:
                _reset_on_close(stream)
        self.scope.cancel()


class FaultProxy(Service):
    """Service that forwards connections with the active fault applied to them.

    Parameters
    ----------
    listen
        ``ip:port`` to listen on; port 0 selects a free port.
    target
        ``ip:port`` to forward to.
    clock
        Source of time.
    """

    def __init__(self, listen: str, target: str, clock: Clock | None = None) -> None:
        self._listen = listen
        self._target = target
        self._clock = clock or SystemClock()
        self._fault = ProxyFault()
        self._fault_changed = anyio.Event()
        self._links: set[_Link] = set()
        self._listener: SocketListener | None = None
        self._reservation: socket.socket | None = None
        self._tasks: TaskGroup | None = None

    @property
    def name(self) -> str:
        """Name of the service."""
        return "fault-proxy"

    @property
    def address(self) -> str:
        """``ip:port`` that the proxy listens on; the actual port after the start."""
        return self._listen

    @property
    def fault(self) -> ProxyFault:
        """The active fault."""
        return self._fault

    @property
    def connections(self) -> int:
        """Number of open client connections."""
        return len(self._links)

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start listening; clients can connect when this returns."""
        self._tasks = tasks
        self._reservation = _reserve_port(self._listen)
        host, port = self._reservation.getsockname()[:2]
        self._listen = f"{host}:{port}"
        await self._open_listener()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._close_listener()
        if self._reservation is not None:
            self._reservation.close()
        for link in tuple(self._links):
            link.close(reset=False)

    def state(self) -> dict[str, object]:
        """Return the addresses, the mode and the number of connections."""
        return {
            "listen": self._listen,
            "target": self._target,
            "mode": self._fault.mode,
            "connections": self.connections,
        }

    async def set_fault(self, fault: ProxyFault) -> None:
        """Replace the active fault, for open connections too; active when this returns."""
        self._fault = fault
        changed, self._fault_changed = self._fault_changed, anyio.Event()
        changed.set()
        for link in tuple(self._links):
            link.answer_bytes = 0
        if fault.mode is ProxyMode.CUT:
            await self._close_listener()
            for link in tuple(self._links):
                link.close(reset=True)
        elif self._listener is None:
            await self._open_listener()

    async def _open_listener(self) -> None:
        host, _, port = self._listen.rpartition(":")
        listeners = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=True
        )
        self._listener = listeners.listeners[0]
        self._tasks.start_soon(self._accept, self._listener)

    async def _close_listener(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            await listener.aclose()

    async def _accept(self, listener: SocketListener) -> None:
        try:
            await listener.serve(self._handle, self._tasks)
        except anyio.ClosedResourceError:
            return

    async def _handle(self, client: SocketStream) -> None:
        link = _Link(client)
        self._links.add(link)
        try:
            with link.scope:
                await self._wait_while_frozen()
                await self._forward(link)
        except OSError:
            _reset_on_close(client)
        finally:
            self._links.discard(link)
            await anyio.aclose_forcefully(client)

    async def _forward(self, link: _Link) -> None:
        host, _, port = self._target.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as target:
            link.target = target
            if self._fault.mode is ProxyMode.CUT:
                link.close(reset=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, link, Direction.TO_TARGET)
                tasks.start_soon(self._pump, link, Direction.TO_CLIENT)

    async def _pump(self, link: _Link, direction: Direction) -> None:
        streams = (link.client, link.target)
        source, sink = streams if direction is Direction.TO_TARGET else reversed(streams)
        try:
            await self._copy(link, direction, source, sink)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            link.close(reset=True)

    async def _copy(
        self, link: _Link, direction: Direction, source: SocketStream, sink: SocketStream
    ) -> None:
        async for chunk in source:
            await self._forward_chunk(link, direction, sink, chunk)
        await self._wait_while_frozen()
        if not self._discards(link, direction):
            await sink.send_eof()

    async def _forward_chunk(
        self, link: _Link, direction: Direction, sink: SocketStream, chunk: bytes
    ) -> None:
        await self._wait_while_frozen()
        fault = self._fault
        if fault.mode is ProxyMode.DELAY:
            await self._clock.sleep_ms(fault.delay_ms)
        if self._discards(link, direction):
            return
        if direction is Direction.TO_CLIENT:
            chunk = self._limit_answer(link, chunk)
        if chunk:
            await sink.send(chunk)
        if direction is Direction.TO_CLIENT and self._closes_after_answer(link):
            link.close(reset=False)

    def _discards(self, link: _Link, direction: Direction) -> bool:
        fault = self._fault
        if fault.mode is ProxyMode.HALF_OPEN and fault.dropped is direction:
            link.discarded.add(direction)
        return direction in link.discarded

    def _limit_answer(self, link: _Link, chunk: bytes) -> bytes:
        if self._fault.mode is ProxyMode.DROP_ANSWERS:
            return b""
        if self._fault.mode is ProxyMode.TRUNCATE:
            chunk = chunk[: self._fault.truncate_bytes - link.answer_bytes]
            link.answer_bytes += len(chunk)
        return chunk

    def _closes_after_answer(self, link: _Link) -> bool:
        fault = self._fault
        if fault.mode is ProxyMode.TRUNCATE:
            return link.answer_bytes >= fault.truncate_bytes
        return fault.mode is ProxyMode.DROP_ANSWERS

    async def _wait_while_frozen(self) -> None:
        while self._fault.mode is ProxyMode.FREEZE:
            await self._fault_changed.wait()


def _reserve_port(address: str) -> socket.socket:
    """Return a bound socket that keeps the port reserved while nothing listens on it."""
    host, _, port = address.rpartition(":")
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind((host, int(port)))
    return reservation


def _reset_on_close(stream: SocketStream) -> None:
    try:
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    except OSError:
        return
