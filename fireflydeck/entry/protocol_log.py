"""Requests that the HTTP library can't parse, as events."""

import logging

from aiohttp.http_exceptions import HttpProcessingError

from fireflydeck.kernel import Event, EventLog

__all__ = ["protocol_logger"]

_LIBRARY_LOGGER = "aiohttp.server"
_MAX_DETAIL = 120
"""Characters of the library's message, which holds what the caller sent."""


class _ProtocolErrors(logging.Handler):
    """Writes one event a request that can't be parsed; passes everything else on."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.DEBUG)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            detail = error.message.partition("\n")[0][:_MAX_DETAIL]
            self._log.emit(Event.REQUEST_UNREADABLE, status=error.code, detail=detail)
        elif record.levelno >= logging.WARNING:
            logging.getLogger(_LIBRARY_LOGGER).handle(record)


def protocol_logger(log: EventLog) -> logging.Logger:
    """Return a logger for the HTTP server."""
    logger = logging.Logger("http-server", logging.DEBUG)
    logger.addHandler(_ProtocolErrors(log))
    return logger
