"""Log of the reasons why tasks wait, bounded in its rate."""

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.kernel import Event, EventLog
from fireflydeck.workload.lifecycle import Task

__all__ = ["WaitLog"]

_INTERVAL_MS = 1000
"""Shortest time between two lines about one job, and length of the period of `_MAX_LINES`."""
_MAX_LINES = 20
"""Number of lines per period; thousands of tasks may wait at a time."""
_MIN_WAIT_MS = 200
"""Shorter waits are part of normal operation."""


@define(eq=False, kw_only=True)
class WaitLog:
    """Writer of an event for a waiting task or gang, at most one per job and second.

    The first jobs that wait in each second are logged; these rank highest.
    """

    clock: Clock
    log: EventLog
    _logged_ms: dict[str, int] = field(factory=dict, init=False)
    _period_start_ms: int = field(default=0, init=False)
    _lines: int = field(default=0, init=False)

    def may_log(self, task: Task) -> bool:
        """Return whether a line about the job of a task may be written now."""
        now_ms = self.clock.now_ms()
        if now_ms - self._period_start_ms >= _INTERVAL_MS:
            self._period_start_ms = now_ms
            self._lines = 0
            self._logged_ms = {
                job_id: at_ms
                for job_id, at_ms in self._logged_ms.items()
                if now_ms - at_ms < _INTERVAL_MS
            }
        if self._lines >= _MAX_LINES or task.job.id in self._logged_ms:
            return False
        return now_ms - _waiting_since_ms(task) >= _MIN_WAIT_MS

    def write(
        self,
        tasks: list[Task],
        reason: str,
        *,
        expected_in_ms: int | None = None,
        reserved_on: dict[str, int] | None = None,
        held_ms: float = 0.0,
    ) -> None:
        """Write why tasks that start together wait, if a line may be written.

        Parameters
        ----------
        expected_in_ms
            Time until they are expected to start; `None` if it is not known.
        reserved_on
            Number of the tasks by the server on which their capacity is reserved.
        held_ms
            Time for which capacity was held idle for them.
        """
        task = tasks[0]
        if not self.may_log(task):
            return
        now_ms = self.clock.now_ms()
        self._logged_ms[task.job.id] = now_ms
        self._lines += 1
        self.log.emit(
            Event.TASK_WAITS,
            job=task.job.id,
            task=task.name,
            tasks=len(tasks),
            cpu=task.step.demand.cpu,
            memory_mb=task.step.demand.memory_mb,
            reason=reason,
            expected_in_ms=expected_in_ms,
            reserved_on=reserved_on or {},
            waited_ms=now_ms - _waiting_since_ms(task),
            held_ms=round(held_ms),
        )


def _waiting_since_ms(task: Task) -> int:
    return max(task.job.accepted_at_ms, task.waiting_since_ms)
