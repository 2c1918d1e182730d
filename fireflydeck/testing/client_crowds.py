"""Crowds of misbehaving HTTP clients on loopback, and the memory of the process they call."""

import asyncio
import socket
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from attrs import frozen

from fireflydeck.platform.standin.documents import CALLER_HEADERS, submission_document

__all__ = [
    "CROWDS",
    "MAX_BODY_BYTES",
    "Crowd",
    "descriptor_count",
    "peak_memory_kb",
    "running_crowd",
]

MAX_BODY_BYTES = 262_144
"""Limit on bodies in the configuration that the crowds are made for."""
_FIELD_COUNT = 20_000
_PIPELINED_REQUESTS = 200
_PIPELINED_PADDING_BYTES = 3000
_OVERSIZED_BYTES = 100_000_000
_SENT_OVERSIZED_BYTES = 2_000_000
_CHUNK_BYTES = 64
_RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of the clients; they never read, so that responses stay at the server."""


@frozen(kw_only=True)
class Crowd:
    """What each connection of a crowd sends.

    Parameters
    ----------
    content
        Bytes that are sent first.
    piece
        Bytes that are sent repeatedly afterwards; empty if the connection is only held open.
    interval_s
        Time between two pieces, in seconds.
    """

    content: bytes
    piece: bytes = b""
    interval_s: float = 0.05


def _head(path: str, *fields: str, method: str = "POST") -> bytes:
    common = [f"{name}: {value}" for name, value in CALLER_HEADERS.items()]
    return "\r\n".join((f"{method} {path} HTTP/1.1", *common, *fields, "", "")).encode()


def _held_body(path: str) -> Crowd:
    head = _head(path, f"Content-Length: {MAX_BODY_BYTES}")
    return Crowd(content=head + b" " * (MAX_BODY_BYTES - 1))


def _held_chunks(path: str) -> Crowd:
    chunk = b"%x\r\n" % _CHUNK_BYTES + b" " * _CHUNK_BYTES + b"\r\n"
    count = MAX_BODY_BYTES // _CHUNK_BYTES - 1
    return Crowd(content=_head(path, "Transfer-Encoding: chunked") + chunk * count)


def _single_byte_chunks(path: str) -> Crowd:
    count = MAX_BODY_BYTES - 1
    return Crowd(content=_head(path, "Transfer-Encoding: chunked") + b"1\r\n \r\n" * count)


def _oversized_body(path: str) -> Crowd:
    head = _head(path, f"Content-Length: {_OVERSIZED_BYTES}")
    return Crowd(content=head + b" " * _SENT_OVERSIZED_BYTES)


def _held_compressed(path: str) -> Crowd:
    compressor = zlib.compressobj()
    content = compressor.compress(b" " * (MAX_BODY_BYTES - 1))
    content += compressor.flush(zlib.Z_SYNC_FLUSH)
    fields = ("Content-Encoding: deflate", f"Content-Length: {len(content) + 1}")
    return Crowd(content=_head(path, *fields) + content)


def _short_fields(path: str) -> Crowd:
    fields = (f"f{number}: {number}" for number in range(_FIELD_COUNT))
    return Crowd(content=_head(path, *fields, method="GET"))


def _pipelined(path: str) -> Crowd:
    body = submission_document("text", tasks=1) + b" " * _PIPELINED_PADDING_BYTES
    request = _head(path, f"Content-Length: {len(body)}") + body
    return Crowd(content=request * _PIPELINED_REQUESTS)


def _slow_head(path: str) -> Crowd:
    return Crowd(content=_head(path)[:-2], piece=b"a: b\r\n")


def _slow_body(path: str) -> Crowd:
    head = _head(path, f"Content-Length: {MAX_BODY_BYTES}")
    return Crowd(content=head + b" " * (MAX_BODY_BYTES // 2), piece=b" ")


CROWDS = {
    "held-body": _held_body,
    "held-chunks": _held_chunks,
    "single-byte-chunks": _single_byte_chunks,
    "oversized-body": _oversized_body,
    "held-compressed": _held_compressed,
    "short-fields": _short_fields,
    "pipelined": _pipelined,
    "slow-head": _slow_head,
    "slow-body": _slow_body,
}
"""Functions that return a crowd which calls a path, by name."""


@asynccontextmanager
async def running_crowd(address: str, crowd: Crowd, connections: int) -> AsyncIterator[None]:
    """Connect all clients of a crowd to an address; they send in the background until the end.

    Connections that are refused or closed are not replaced.
    """
    host, _, port = address.rpartition(":")
    clients = [
        asyncio.create_task(_play_client((host, int(port)), crowd)) for _ in range(connections)
    ]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _play_client(address: tuple[str, int], crowd: Crowd) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as connection, suppress(OSError):
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        await loop.sock_connect(connection, address)
        await loop.sock_sendall(connection, crowd.content)
        while crowd.piece:
            await asyncio.sleep(crowd.interval_s)
            await loop.sock_sendall(connection, crowd.piece)
        await loop.create_future()


def peak_memory_kb(pid: int) -> int:
    """Return the peak of a process's resident memory since its start, in kilobytes."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1])


def descriptor_count(pid: int) -> int:
    """Return the number of file descriptors that a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
