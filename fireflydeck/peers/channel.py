"""Bounded queue for the outgoing messages of a connection, and its writer."""

from collections import deque

import anyio
from attrs import define

from fireflydeck.core import Clock, Failure, FireflydeckError, Ran, Reason
from fireflydeck.peers.codec import LENGTH_BYTES, encode
from fireflydeck.peers.messages import Message
from fireflydeck.peers.stream import MessageStream

__all__ = ["Channel", "Delivery"]

_MAX_BATCH_BYTES = 64 * 1024
"""Maximum size of one write that joins several frames."""


@define(eq=False)
class Delivery:
    """One outgoing frame.

    Parameters
    ----------
    is_started
        Whether any byte of the frame may have been sent.
    """

    frame: bytes
    is_started: bool = False


class Channel:
    """Messages of one connection; outgoing ones are queued and written by a single task.

    Senders add whole frames to the queue, so a cancelled sender never leaves a partial frame on the
    connection.

    Parameters
    ----------
    stream
        The connection.
    clock
        Source of time.
    max_outbox_bytes
        Maximum number of bytes that wait to be written; a frame larger than this is queued only
        when nothing else waits.
    """

    def __init__(self, stream: MessageStream, clock: Clock, max_outbox_bytes: int) -> None:
        self._stream = stream
        self._clock = clock
        self._max_outbox_bytes = max_outbox_bytes
        self._queue: deque[Delivery] = deque()
        self._queued_bytes = 0
        self._is_closed = False
        self._not_empty = anyio.Event()
        self._space_freed = anyio.Event()
        self._write_started_ms: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether this process closed the connection."""
        return self._is_closed

    @property
    def queued_bytes(self) -> int:
        """Number of bytes that wait to be written."""
        return self._queued_bytes

    @property
    def stalled_ms(self) -> int:
        """Milliseconds since the current write started; 0 if there is none."""
        if self._write_started_ms is None:
            return 0
        return self._clock.now_ms() - self._write_started_ms

    def offer(self, message: Message) -> Delivery | None:
        """Queue the message if there is space, without waiting.

        Returns
        -------
        Delivery or None
            `None` if the queue is full or the connection is closed.
        """
        frame = self._encode(message)
        if self._is_closed or not self._has_space(len(frame)):
            return None
        return self._append(frame)

    async def put(self, message: Message) -> Delivery:
        """Queue the message, waiting for space.

        Raises
        ------
        FireflydeckError
            With reason `PEER_UNREACHABLE` if the connection is closed, or `BODY_TOO_LARGE` if the
            message exceeds the maximum frame size; nothing was sent.
        """
        frame = self._encode(message)
        while not self._is_closed and not self._has_space(len(frame)):
            await self._space_freed.wait()
        if self._is_closed:
            raise self._error(Reason.PEER_UNREACHABLE, "connection closed")
        return self._append(frame)

    def withdraw(self, delivery: Delivery) -> bool:
        """Remove a frame from the queue; return whether no byte of it was or will be sent."""
        if delivery.is_started:
            return False
        if delivery in self._queue:
            self._queue.remove(delivery)
            self._free_space(len(delivery.frame))
        return True

    async def run_writer(self) -> None:
        """Write queued frames until the connection fails.

        Raises
        ------
        FireflydeckError
            With reason `PEER_LOST`.
        """
        while True:
            while not self._queue:
                self._not_empty = anyio.Event()
                await self._not_empty.wait()
            batch = self._take_batch()
            self._write_started_ms = self._clock.now_ms()
            await self._stream.send_frames(batch)
            self._write_started_ms = None
            self._free_space(len(batch))

    async def receive(self) -> Message:
        """Return the next message; raises as `MessageStream.receive` does."""
        return await self._stream.receive()

    async def close(self) -> None:
        """Close the connection; queued frames are dropped."""
        self._is_closed = True
        self._queue.clear()
        self._space_freed.set()
        await self._stream.close()

    def _encode(self, message: Message) -> bytes:
        frame = encode(message)
        length = len(frame) - LENGTH_BYTES
        if length > self._stream.max_frame_bytes:
            detail = f"message of {length} bytes exceeds {self._stream.max_frame_bytes}"
            raise self._error(Reason.BODY_TOO_LARGE, detail)
        return frame

    def _has_space(self, size: int) -> bool:
        return self._queued_bytes == 0 or self._queued_bytes + size <= self._max_outbox_bytes

    def _append(self, frame: bytes) -> Delivery:
        delivery = Delivery(frame)
        self._queue.append(delivery)
        self._queued_bytes += len(frame)
        self._not_empty.set()
        return delivery

    def _take_batch(self) -> bytes:
        frames = []
        size = 0
        while self._queue and (not frames or size + len(self._queue[0].frame) <= _MAX_BATCH_BYTES):
            delivery = self._queue.popleft()
            delivery.is_started = True
            frames.append(delivery.frame)
            size += len(delivery.frame)
        return b"".join(frames)

    def _free_space(self, size: int) -> None:
        self._queued_bytes -= size
        self._space_freed.set()
        self._space_freed = anyio.Event()

    def _error(self, reason: Reason, detail: str) -> FireflydeckError:
        failure = Failure(
            reason, step="peer.send", peer=self._stream.peer, detail=detail, ran=Ran.NO
        )
        return FireflydeckError(failure)
