"""Tasks of the backend server stand-in: slots, leases, checkpoints and a log of events.

The end of a task follows from its start, its lease and the current time, so nothing runs in the
background: `TaskTable.end_due_tasks` ends each task whose end has passed, with the time of that
end.
"""

from collections import deque
from enum import StrEnum

import anyio
from attrs import define, frozen

from fireflydeck.core import Clock

__all__ = ["LogEntry", "Refusal", "Task", "TaskIdentity", "TaskState", "TaskTable", "Work"]

CHECKPOINT_INTERVAL_MS = 200
_MAX_LOG_ENTRIES = 200_000
_MAX_LONG_TASKS = 10_000


class TaskState(StrEnum):
    """State of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class Refusal(StrEnum):
    """Reason why a task was not started."""

    FULL = "no free slot"
    DRAINING = "draining"
    RUNNING_ALREADY = "running already"


@frozen(kw_only=True)
class TaskIdentity:
    """Origin of a task.

    Parameters
    ----------
    dispatcher
        Member name of the dispatcher that sent the task.
    attempt
        Number of the attempt of a long task; 0 for a synchronous request.
    """

    request_id: str
    organisation: str = ""
    dispatcher: str = ""
    attempt: int = 0


@frozen(kw_only=True)
class Work:
    """Run time and outcome of the work of a task.

    Parameters
    ----------
    task_id
        Id of a long task; empty for a synchronous request.
    run_ms
        Total run time of the work, over all attempts.
    resumed_ms
        Run time that earlier attempts completed.
    fail
        Whether the work fails at its end.
    """

    task_id: str = ""
    run_ms: int = 0
    resumed_ms: int = 0
    fail: bool = False
    body: bytes = b""

    @property
    def is_long(self) -> bool:
        """Whether this is a long task."""
        return bool(self.task_id)


@frozen(kw_only=True)
class LogEntry:
    """Log entry of a start, an end or a refusal, in the monotonic time of the machine.

    Parameters
    ----------
    outcome
        State at the end, or the reason for a refusal; empty for a start.
    """

    at_ms: int
    event: str
    request_id: str
    organisation: str
    dispatcher: str
    attempt: int
    data_centre: str
    long: bool
    outcome: str = ""


@define(kw_only=True, eq=False)
class Task:
    """A task that was started.

    Attributes
    ----------
    ended_ms
        Time of the end; `None` while the task runs.
    scope
        Cancel scope of the request that waits for the end, if any; cancelled at the end.
    """

    identity: TaskIdentity
    work: Work
    started_ms: int
    lease_end_ms: int
    state: TaskState = TaskState.RUNNING
    ended_ms: int | None = None
    scope: anyio.CancelScope | None = None

    @property
    def task_id(self) -> str:
        """Id of a long task, or the request id of a synchronous request."""
        return self.work.task_id or self.identity.request_id

    @property
    def finish_ms(self) -> int:
        """Time at which the work would finish if the lease lasted that long."""
        return self.started_ms + max(0, self.work.run_ms - self.work.resumed_ms)

    @property
    def expected_end_ms(self) -> int:
        """Time at which the work finishes or the lease expires, whichever is earlier."""
        return min(self.finish_ms, self.lease_end_ms)

    def checkpoint(self, now_ms: int) -> str:
        """Return the last checkpoint: the run time in milliseconds, or an empty string if none."""
        end_ms = now_ms if self.ended_ms is None else self.ended_ms
        elapsed_ms = self.work.resumed_ms + end_ms - self.started_ms
        reached_ms = min(elapsed_ms, self.work.run_ms)
        checkpoint_ms = reached_ms // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
        checkpoint_ms = max(checkpoint_ms, self.work.resumed_ms)
        return str(checkpoint_ms) if checkpoint_ms else ""


class TaskTable:
    """Running and finished tasks of one backend server.

    Parameters
    ----------
    slots
        Maximum number of tasks that run concurrently.
    data_centre
        Data centre that is written to the log entries.
    clock
        Source of time.
    """

    def __init__(self, slots: int, data_centre: str, clock: Clock) -> None:
        self._slots = slots
        self._data_centre = data_centre
        self._clock = clock
        self._running: dict[int, Task] = {}
        self._long_tasks: dict[str, Task] = {}
        self._log: deque[LogEntry] = deque(maxlen=_MAX_LOG_ENTRIES)
        self._logged_entries = 0
        self.draining = False

    @property
    def slots(self) -> int:
        """Maximum number of tasks that run concurrently."""
        return self._slots

    @property
    def log(self) -> list[LogEntry]:
        """Log of starts, ends and refusals, oldest first."""
        self.end_due_tasks()
        return list(self._log)

    @property
    def log_dropped(self) -> int:
        """Number of log entries that were discarded, oldest first."""
        return self._logged_entries - len(self._log)

    def running(self) -> list[Task]:
        """Return the running tasks in the order of their starts."""
        self.end_due_tasks()
        return list(self._running.values())

    def find(self, task_id: str) -> Task | None:
        """Return the long task, running or ended; `None` if it is unknown."""
        self.end_due_tasks()
        return self._long_tasks.get(task_id)

    def start(self, identity: TaskIdentity, work: Work, lease_ms: int) -> Task | Refusal:
        """Start a task; return it, or the reason why it was refused."""
        self.end_due_tasks()
        refusal = self._find_refusal(work)
        if refusal is not None:
            self._append_to_log("refused", identity, work, refusal, self._clock.now_ms())
            return refusal
        now_ms = self._clock.now_ms()
        task = Task(identity=identity, work=work, started_ms=now_ms, lease_end_ms=now_ms + lease_ms)
        self._running[id(task)] = task
        if work.is_long:
            self._store_long_task(task)
        self._append_to_log("start", identity, work, "", now_ms)
        return task

    def renew(self, task_id: str, lease_ms: int) -> bool:
        """Restart the lease of a running long task; return whether the task runs."""
        task = self.find(task_id)
        if task is None or task.state is not TaskState.RUNNING:
            return False
        task.lease_end_ms = self._clock.now_ms() + lease_ms
        return True

    def stop(self, task_id: str) -> bool:
        """Stop all running tasks with that id; return whether the id is known."""
        stopped = [task for task in self.running() if task.task_id == task_id]
        for task in stopped:
            self._end(task, TaskState.STOPPED, self._clock.now_ms())
        return bool(stopped) or task_id in self._long_tasks

    def end_due_tasks(self) -> None:
        """End the tasks whose expected end has passed, in the order of their ends."""
        now_ms = self._clock.now_ms()
        due = [task for task in self._running.values() if task.expected_end_ms <= now_ms]
        for task in sorted(due, key=lambda task: task.expected_end_ms):
            self._end(task, _state_at_end(task), task.expected_end_ms)

    def _find_refusal(self, work: Work) -> Refusal | None:
        known = self._long_tasks.get(work.task_id) if work.is_long else None
        if known is not None and known.state is TaskState.RUNNING:
            return Refusal.RUNNING_ALREADY
        if self.draining:
            return Refusal.DRAINING
        if len(self._running) >= self._slots:
            return Refusal.FULL
        return None

    def _store_long_task(self, task: Task) -> None:
        self._long_tasks.pop(task.task_id, None)
        self._long_tasks[task.task_id] = task
        if len(self._long_tasks) > _MAX_LONG_TASKS:
            oldest = next(iter(self._long_tasks.values()))
            if oldest.state is not TaskState.RUNNING:
                del self._long_tasks[oldest.task_id]

    def _end(self, task: Task, state: TaskState, at_ms: int) -> None:
        task.state = state
        task.ended_ms = at_ms
        del self._running[id(task)]
        self._append_to_log("end", task.identity, task.work, state, at_ms)
        if task.scope is not None:
            task.scope.cancel()

    def _append_to_log(
        self, event: str, identity: TaskIdentity, work: Work, outcome: str, at_ms: int
    ) -> None:
        self._logged_entries += 1
        self._log.append(
            LogEntry(
                at_ms=at_ms,
                event=event,
                request_id=identity.request_id,
                organisation=identity.organisation,
                dispatcher=identity.dispatcher,
                attempt=identity.attempt,
                data_centre=self._data_centre,
                long=work.is_long,
                outcome=outcome,
            )
        )


def _state_at_end(task: Task) -> TaskState:
    if task.lease_end_ms < task.finish_ms:
        return TaskState.STOPPED
    return TaskState.FAILED if task.work.fail else TaskState.DONE
