"""Log lines on standard output: bounded in volume, never blocking."""

import os
import sys
from collections import deque
from io import TextIOBase

import anyio
import orjson
import structlog
from anyio.abc import TaskGroup

from fireflydeck.kernel.events import Event
from fireflydeck.kernel.service import Registry, Service

__all__ = ["BoundedSink", "configure_bounded_logging"]

_FLUSH_S = 0.05
_MAX_BUFFERED_BYTES = 512 * 1024
"""Lines beyond this are dropped and counted."""
_MAX_WRITE_BYTES = 64 * 1024


class BoundedSink(Service, TextIOBase):
    """Gathers lines and writes them when the file takes them.

    Parameters
    ----------
    descriptor
        File descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "log"

    def state(self) -> dict[str, object]:
        """Return the state to dump."""
        return {"buffered_bytes": self._buffered, "dropped_lines": self._dropped}

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Write in the background."""
        tasks.start_soon(self._write_lines)

    async def stop(self) -> None:
        """Write what is left."""
        self.flush_lines()

    def write(self, text: str) -> int:
        """Add text; it is dropped if too much waits already."""
        content = text.encode()
        if self._buffered + len(content) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return len(text)
        self._lines.append(content)
        self._buffered += len(content)
        return len(text)

    def flush(self) -> None:
        """Leave the lines to the background; writing each would cost a system call."""

    def flush_lines(self) -> None:
        """Write as much as the file takes now."""
        if self._dropped and self._buffered < _MAX_BUFFERED_BYTES // 2:
            event = Event.LOG_LINES_DROPPED
            line = {"event": event.text, "number": event.number, "count": self._dropped}
            self._dropped = 0
            self.write(orjson.dumps(line).decode() + "\n")
        while self._lines:
            chunk = b"".join(self._take(_MAX_WRITE_BYTES))
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads the log any more; there is no place left to tell it.
                return
            self._buffered -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                return

    def _take(self, limit: int) -> list[bytes]:
        taken: list[bytes] = []
        size = 0
        while self._lines and size < limit:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return taken

    async def _write_lines(self) -> None:
        while True:
            await anyio.sleep(_FLUSH_S)
            self.flush_lines()


def configure_bounded_logging(level: str = "info") -> BoundedSink:
    """Send the process's log to standard output as JSON lines; returns the sink to run."""
    sink = BoundedSink(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sink),
        cache_logger_on_first_use=True,
    )
    return sink


def _serialize(event: dict[str, object], **_: object) -> str:
    return orjson.dumps(event, default=str).decode()
