"""Events for failed calls to the store and for its recovery."""

from fireflydeck.core import Failure, Reason
from fireflydeck.kernel.events import Event, EventLog

__all__ = ["StoreHealth", "log_store_failure"]


def log_store_failure(log: EventLog, failure: Failure, **fields: object) -> None:
    """Log one failed call to the store; `fields` are added to the event."""
    log.emit(
        Event.STORE_CALL_FAILED,
        step=failure.step,
        reason=failure.reason,
        detail=failure.detail,
        **fields,
    )


class StoreHealth:
    """Writer of events for the beginning and the end of a series of failed calls to the store.

    Only the first failure after an answer and the first answer after a failure are logged.

    Parameters
    ----------
    table
        Table that the calls read or write, for the log.
    """

    def __init__(self, log: EventLog, table: str) -> None:
        self._log = log
        self._table = table
        self._is_failing = False

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._is_failing

    def record_failure(self, failure: Failure) -> None:
        """Record a failed call.

        `NOT_FOUND` is not counted as a failure: the store answered that it has discarded the
        requested history.
        """
        if self._is_failing or failure.reason == Reason.NOT_FOUND:
            return
        self._is_failing = True
        log_store_failure(self._log, failure, table=self._table)

    def record_answer(self) -> None:
        """Record an answered call."""
        if self._is_failing:
            self._is_failing = False
            self._log.emit(Event.STORE_REGAINED, table=self._table)
