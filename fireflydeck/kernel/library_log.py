"""Forwarding of the `logging` records of libraries to the event log."""

import logging
import traceback

from fireflydeck.kernel.events import Event, EventLog

__all__ = ["forward_library_log"]


class _EventHandler(logging.Handler):
    """Handler that writes each log record as one event."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as an event."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.emit(
            Event.LIBRARY_MESSAGE,
            logger=record.name,
            severity=record.levelname.lower(),
            detail=record.getMessage(),
            trace="".join(traceback.format_exception(error)) if error else "",
        )


def forward_library_log(log: EventLog) -> None:
    """Write warnings and errors of libraries to the event log instead of standard error."""
    logging.basicConfig(handlers=[_EventHandler(log)], level=logging.WARNING, force=True)
