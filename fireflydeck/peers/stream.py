"""Stream of messages over a byte stream."""

import anyio
from anyio.abc import ByteStream

from fireflydeck.core import Failure, FireflydeckError, Reason
from fireflydeck.peers.codec import LENGTH_BYTES, decode, encode, frame_length
from fireflydeck.peers.messages import Message
from fireflydeck.peers.traffic import Traffic

__all__ = ["DEFAULT_MAX_FRAME_BYTES", "MessageStream"]

DEFAULT_MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Default maximum of the accepted payload in bytes."""

_CLOSE_TIMEOUT_S = 1
_CHUNK_BYTES = 64 * 1024


class MessageStream:
    """Stream that sends and receives complete messages.

    Parameters
    ----------
    stream
        The connection.
    peer
        Name or address of the peer, for errors.
    max_frame_bytes
        Maximum accepted payload.
    traffic
        Byte counters; connections may share them to be counted together.
    """

    def __init__(
        self,
        stream: ByteStream,
        peer: str,
        max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES,
        traffic: Traffic | None = None,
    ) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._peer = peer
        self._max_frame_bytes = max_frame_bytes
        self._traffic = traffic or Traffic()
        self._send_lock = anyio.Lock(fast_acquire=True)

    @property
    def peer(self) -> str:
        """Name or address of the peer."""
        return self._peer

    @property
    def max_frame_bytes(self) -> int:
        """Maximum accepted payload; smaller during the handshake than in the session after it."""
        return self._max_frame_bytes

    @max_frame_bytes.setter
    def max_frame_bytes(self, value: int) -> None:
        self._max_frame_bytes = value

    async def send(self, message: Message) -> None:
        """Send one message; messages of concurrent callers are not interleaved.

        Raises
        ------
        FireflydeckError
            With reason `PEER_LOST` if the connection is closed.
        """
        await self.send_frames(encode(message))

    async def send_frames(self, frames: bytes) -> None:
        """Send encoded frames; raises as `send` does."""
        try:
            async with self._send_lock:
                await self._stream.send(frames)
                self._traffic.bytes_sent += len(frames)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._error(Reason.PEER_LOST, "peer.send", repr(error)) from error

    async def receive(self) -> Message:
        """Return the next message.

        Raises
        ------
        FireflydeckError
            With reason `PEER_LOST` at the end of the stream, `BAD_REQUEST` for a bad frame.
        """
        length = frame_length(await self._read_exactly(LENGTH_BYTES))
        if length > self._max_frame_bytes:
            detail = f"frame of {length} bytes exceeds {self._max_frame_bytes}"
            raise self._error(Reason.BAD_REQUEST, "peer.receive", detail)
        return decode(await self._read_exactly(length))

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            self._buffer += await self._receive_chunk()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    async def _receive_chunk(self) -> bytes:
        try:
            chunk = await self._stream.receive(_CHUNK_BYTES)
        except anyio.EndOfStream as error:
            detail = "closed within a frame" if self._buffer else "closed by the peer"
            raise self._error(Reason.PEER_LOST, "peer.receive", detail) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._error(Reason.PEER_LOST, "peer.receive", repr(error)) from error
        self._traffic.bytes_received += len(chunk)
        return chunk

    async def close(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(_CLOSE_TIMEOUT_S):
            await self._stream.aclose()

    def _error(self, reason: Reason, step: str, detail: str) -> FireflydeckError:
        return FireflydeckError(Failure(reason, step=step, peer=self._peer, detail=detail))
