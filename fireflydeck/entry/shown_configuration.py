"""Newest configuration that the answers of a process have shown to its callers."""

from fireflydeck.core import Clock
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.observation.operator_documents import OperatorDocuments

__all__ = ["ShownConfiguration"]


class ShownConfiguration:
    """Least configuration version by which this process may still answer (monotonic reads).

    Relayed answers of other processes may be decided by a newer configuration than the process's
    own copy. The copy then decides no answer until it is as new.
    """

    def __init__(self, operators: OperatorDocuments, clock: Clock) -> None:
        self._operators = operators
        self._clock = clock
        self._version = 0
        self._unknown_version_shown_ms: int | None = None

    @property
    def version(self) -> int:
        """Return the newest version that an answer is known to have shown; 0 without one."""
        return self._version

    def record(self, answer: CallerAnswer) -> None:
        """Record an answer before it is sent to the caller."""
        if answer.is_store_unavailable:
            return
        if answer.configuration_version is None:
            self._unknown_version_shown_ms = self._clock.now_ms()
        else:
            self._version = max(self._version, answer.configuration_version)

    def is_newer_than_copy(self) -> bool:
        """Return whether a newer version was shown than that of the process's own copy.

        A version that a relayed answer does not tell counts as newer, until the copy is confirmed
        by a call to the store that was sent after that answer.
        """
        return self._operators.version < self._version or self._may_unknown_version_be_newer()

    def _may_unknown_version_be_newer(self) -> bool:
        shown_ms, age_ms = self._unknown_version_shown_ms, self._operators.age_ms
        if shown_ms is None:
            return False
        return age_ms is None or self._clock.now_ms() - age_ms <= shown_ms
