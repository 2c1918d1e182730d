"""TCP relay that counts bytes and HTTP/1.1 requests to the platform."""

from collections.abc import Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream, TaskGroup
from attrs import define, field

from fireflydeck.peers.sockets import configure_socket, split_address

__all__ = ["CountingRelay"]

_CHUNK_BYTES = 64 * 1024
_WRITE_METHODS = (b"POST ", b"PUT ")
_CLOSED_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


@define
class CountingRelay:
    """TCP relay that forwards the connections of one process.

    A chunk that begins with a method counts as a request. This is correct for clients that wait for
    the response before the next request and send the head of a request in one chunk.

    Parameters
    ----------
    target
        Function that returns the ``ip:port`` to forward to.

    Attributes
    ----------
    bytes_up, bytes_down
        Payload to and from the target, with HTTP headers but without TCP headers.
    reads, writes
        Number of ``GET`` requests, and of ``POST`` and ``PUT`` requests.
    """

    target: Callable[[], str]
    bytes_up: int = 0
    bytes_down: int = 0
    reads: int = 0
    writes: int = 0
    address: str = field(default="", init=False)

    async def start(self, tasks: TaskGroup) -> None:
        """Listen on a free loopback port."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.start_soon(listener.serve, self._forward)

    async def _forward(self, client: SocketStream) -> None:
        configure_socket(client)
        try:
            server = await anyio.connect_tcp(*split_address(self.target()))
        except OSError:
            await client.aclose()
            return
        configure_socket(server)
        async with client, server, anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy, client, server, self._count_up, tasks)
            tasks.start_soon(self._copy, server, client, self._count_down, tasks)

    async def _copy(
        self,
        source: ByteStream,
        sink: ByteStream,
        count: Callable[[bytes], None],
        tasks: TaskGroup,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                count(chunk)
                await sink.send(chunk)
        except _CLOSED_ERRORS:
            tasks.cancel_scope.cancel()

    def _count_up(self, chunk: bytes) -> None:
        self.bytes_up += len(chunk)
        self.reads += chunk.startswith(b"GET ")
        self.writes += chunk.startswith(_WRITE_METHODS)

    def _count_down(self, chunk: bytes) -> None:
        self.bytes_down += len(chunk)
