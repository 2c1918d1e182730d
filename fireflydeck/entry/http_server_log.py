"""Log events for requests that the HTTP library can't parse."""

import logging

from aiohttp.http_exceptions import HttpProcessingError

from fireflydeck.kernel import Event, EventLog

__all__ = ["http_server_logger"]

_LIBRARY_LOGGER = "aiohttp.server"
_MAX_DETAIL_CHARS = 120
"""Limit of the library's message, which contains what the caller sent."""


class _ParseErrorHandler(logging.Handler):
    """Handler that emits one event per request that can't be parsed.

    Other records are passed to the library's logger if they are warnings or worse.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.DEBUG)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Emit an event for a parse error, or pass the record on."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            detail = error.message.partition("\n")[0][:_MAX_DETAIL_CHARS]
            self._log.emit(Event.REQUEST_UNREADABLE, status=error.code, detail=detail)
        elif record.levelno >= logging.WARNING:
            logging.getLogger(_LIBRARY_LOGGER).handle(record)


def http_server_logger(log: EventLog) -> logging.Logger:
    """Return a logger for the HTTP server that reports parse errors as events."""
    logger = logging.Logger("http-server", logging.DEBUG)
    logger.addHandler(_ParseErrorHandler(log))
    return logger
