"""Log lines on a store that stops to answer and answers again."""

from fireflydeck.core import Failure, Reason
from fireflydeck.kernel.events import Event, EventLog

__all__ = ["StoreHealth", "log_store_failure"]


def log_store_failure(log: EventLog, failure: Failure, **fields: object) -> None:
    """Log one failed call."""
    log.emit(
        Event.STORE_CALL_FAILED,
        step=failure.step,
        reason=failure.reason,
        detail=failure.detail,
        **fields,
    )


class StoreHealth:
    """Logs the first failure after an answer, and the first answer after that.

    Parameters
    ----------
    table
        Table that the calls are about.
    """

    def __init__(self, log: EventLog, table: str) -> None:
        self._log = log
        self._table = table
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._is_lost

    def note_failure(self, failure: Failure) -> None:
        """Take over a failed call; history that was discarded is none."""
        if self._is_lost or failure.reason == Reason.NOT_FOUND:
            return
        self._is_lost = True
        log_store_failure(self._log, failure, table=self._table)

    def note_answer(self) -> None:
        """Take over an answer."""
        if self._is_lost:
            self._is_lost = False
            self._log.emit(Event.STORE_REGAINED, table=self._table)
