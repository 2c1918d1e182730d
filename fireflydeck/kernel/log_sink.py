"""Output of log lines with a bounded buffer, which never blocks the process."""

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

__all__ = ["BoundedLogSink", "configure_bounded_logging"]

_FLUSH_INTERVAL_S = 0.05
_MAX_BUFFERED_BYTES = 512 * 1024
"""Lines that do not fit into the buffer are dropped and counted."""
_MAX_WRITE_BYTES = 64 * 1024


class BoundedLogSink(Service, TextIOBase):
    """Bounded buffer of log lines, written in the background.

    Parameters
    ----------
    descriptor
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "log"

    def state(self) -> dict[str, object]:
        """Return the state to dump: buffered bytes and dropped lines."""
        return {"buffered_bytes": self._buffered_bytes, "dropped_lines": self._dropped_lines}

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to write buffered lines in the background."""
        tasks.start_soon(self._write_lines)

    async def stop(self) -> None:
        """Write the remaining lines as far as possible without blocking."""
        self.flush_lines()

    def write(self, text: str) -> int:
        """Add text to the buffer, or drop and count it if the buffer is full."""
        content = text.encode()
        if self._buffered_bytes + len(content) > _MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return len(text)
        self._lines.append(content)
        self._buffered_bytes += len(content)
        return len(text)

    def flush(self) -> None:
        """Do nothing: a write after each line would cost one system call per line."""

    def flush_lines(self) -> None:
        """Write as many buffered lines as the file accepts without blocking.

        If lines were dropped, report their number as an event once the buffer is less than half
        full.
        """
        if self._dropped_lines and self._buffered_bytes < _MAX_BUFFERED_BYTES // 2:
            event = Event.LOG_LINES_DROPPED
            line = {"event": event.text, "number": event.number, "count": self._dropped_lines}
            self._dropped_lines = 0
            self.write(orjson.dumps(line).decode() + "\n")
        while self._lines:
            chunk = b"".join(self._take_lines(_MAX_WRITE_BYTES))
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader of the log is gone, and there is no other place to report it.
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                return

    def _take_lines(self, max_bytes: int) -> list[bytes]:
        taken: list[bytes] = []
        size = 0
        while self._lines and size < max_bytes:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return taken

    async def _write_lines(self) -> None:
        while True:
            await anyio.sleep(_FLUSH_INTERVAL_S)
            self.flush_lines()


def configure_bounded_logging(level: str = "info") -> BoundedLogSink:
    """Send the log of the process to standard output as JSON lines.

    Returns
    -------
    BoundedLogSink
        The sink; it writes only while it runs as a service of the process.
    """
    sink = BoundedLogSink(sys.stdout.fileno())
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
