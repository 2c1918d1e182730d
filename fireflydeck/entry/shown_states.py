"""Final states of jobs that a process has shown to its callers."""

from fireflydeck.core import Clock
from fireflydeck.workload.lifecycle import JobOutcome

__all__ = ["ShownStates"]

_FINAL_STATES = frozenset(outcome.value for outcome in JobOutcome)
_MEMORY_MS = 30_000
"""Longer than a lease holder can miss what the store holds."""
_MAX_JOBS = 4096


class ShownStates:
    """Final states that this process has shown lately (monotonic reads, and reads of own writes).

    The lease holder learns of a cancellation, and of the end of a commit without an answer, later
    than a process that reads the store. Its answer then goes back to an earlier state.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, tuple[str, int]] = {}

    def record(self, job_id: str, state: str) -> None:
        """Record the state of a job before it is shown."""
        if state not in _FINAL_STATES:
            return
        self._states.pop(job_id, None)
        self._states[job_id] = (state, self._clock.now_ms())
        if len(self._states) > _MAX_JOBS:
            del self._states[next(iter(self._states))]

    def latest(self, job_id: str, state: str) -> str:
        """Return a job's state, or the final one that was shown before if it is not final."""
        shown, shown_ms = self._states.get(job_id, (state, 0))
        if state in _FINAL_STATES or self._clock.now_ms() - shown_ms > _MEMORY_MS:
            return state
        return shown
