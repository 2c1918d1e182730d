"""Log events for requests that the HTTP library can't parse."""

import logging
import time

from aiohttp.http_exceptions import HttpProcessingError

from fireflydeck.kernel import Event, EventLog

__all__ = ["http_server_logger"]

_LIBRARY_LOGGER = "aiohttp.server"
_MAX_DETAIL_CHARS = 120
"""Limit of the library's message, which contains what the caller sent."""
_INTERVAL_S = 1.0
"""Least time between two events; a flood of invalid requests would fill the log."""


class _ParseErrorHandler(logging.Handler):
    """Handler that emits an event for requests that can't be parsed, at most one per second.

    Other records are passed to the library's logger if they are warnings or worse.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.DEBUG)
        self._log = log
        self._next_event_at = 0.0
        self._unlogged = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Emit an event for a parse error, or pass the record on."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            self._emit_error(error)
        elif record.levelno >= logging.WARNING:
            logging.getLogger(_LIBRARY_LOGGER).handle(record)

    def _emit_error(self, error: HttpProcessingError) -> None:
        now = time.monotonic()
        if now < self._next_event_at:
            self._unlogged += 1
            return
        detail = error.message.partition("\n")[0][:_MAX_DETAIL_CHARS]
        self._log.emit(
            Event.REQUEST_UNREADABLE, status=error.code, detail=detail, unlogged=self._unlogged
        )
        self._next_event_at = now + _INTERVAL_S
        self._unlogged = 0


def http_server_logger(log: EventLog) -> logging.Logger:
    """Return a logger for the HTTP server that reports parse errors as events."""
    logger = logging.Logger("http-server", logging.DEBUG)
    logger.addHandler(_ParseErrorHandler(log))
    return logger
