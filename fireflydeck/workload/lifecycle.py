"""Lifecycle of a job and its tasks.

A `Job` holds the known state of its tasks; each function below applies one event to it. Events may
arrive late, twice or out of order: removing an attempt that is no longer known changes nothing, and
a repeated end of a run does not change the progress again.
"""

import re
from collections.abc import Iterator
from enum import StrEnum

from attrs import Factory, define

from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.workload.specification import JobSpec, StepSpec, TaskKey

__all__ = [
    "Attempt",
    "AttemptPhase",
    "Job",
    "JobOutcome",
    "Task",
    "confirm_attempt",
    "create_due_occurrences",
    "create_occurrence_of",
    "has_active_run",
    "has_used_attempts",
    "is_finished",
    "job_state",
    "may_have_copy",
    "mark_running",
    "occurrence_due_ms",
    "ready_tasks",
    "record_run_end",
    "remove_attempt",
    "restore_progress",
    "start_attempt",
    "tasks_of_unknown_runs",
    "unaccounted_tasks",
]

_TASK_NAME_PATTERN = re.compile(r"[0-9a-f]+\.(?P<occurrence>[0-9]{1,9})\.[0-9]+\.[0-9]+")
_MAX_OPEN_TASKS = 10_000
"""A job with this many open tasks gets no further occurrences, to bound the use of memory."""


class JobOutcome(StrEnum):
    """Final state of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptPhase(StrEnum):
    """Known state of a run on a backend server.

    `UNCERTAIN`: the start got no answer; the run may have started, or may start later. `STOPPING`:
    the backend server has accepted an order to stop the run.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@define(eq=False)
class Attempt:
    """One run of a task; times are on the clock of the process.

    Parameters
    ----------
    run
        Number of the run; a later run of the task has a higher one.
    changed_ms
        Time of the last change of the phase, or of the last repeated order to stop.
    reported_available
        Whether the backend server last reported a `percent` of 100 for the run. For a long-running
        task this means that it is available: it does its work and is no longer starting up.
    stop_requested
        Whether the run is to be stopped, even if the backend server has not accepted an order yet.
    life_token
        Fencing token of the life of the backend server that is known to have the run; 0 while it
        may belong to another life of the server.
    pace
        Speed to which it was last throttled, in percent of full speed; 0 if it is not known.
    pace_ordered_ms
        Time of the last order that changed the speed.
    started_ms
        When the start was decided; `None` for a run that an earlier holder started.
    is_copy
        Whether it is the speculative copy of an earlier run.
    is_resumed
        Whether it starts from a checkpoint.
    """

    task: "Task"
    run: int
    server_id: str
    phase: AttemptPhase
    changed_ms: int
    reported_available: bool = False
    stop_requested: bool = False
    life_token: int = 0
    pace: int = 100
    pace_ordered_ms: int = 0
    started_ms: int | None = None
    is_copy: bool = False
    is_resumed: bool = False

    def min_elapsed_ms(self, now_ms: int) -> int:
        """Return how long the run has taken at least; its start may precede this tenure."""
        return now_ms - (self.changed_ms if self.started_ms is None else self.started_ms)

    def set_phase(self, phase: AttemptPhase, now_ms: int) -> None:
        """Change the phase and record the time of the change."""
        self.phase = phase
        self.changed_ms = now_ms


@define(eq=False)
class Task:
    """Known state of one task.

    Parameters
    ----------
    last_run
        Highest run number of this task so far.
    failed_runs
        Numbers of the runs that ended `failed`. They are kept since a backend server may report
        an end again to a later holder of the lease.
    not_before_ms
        Earliest time of the next start, which follows a pause after a failure or a rejection.
    waiting_since_ms
        Time since which the task waits for a start, if a run of it has ended or was removed;
        otherwise 0.
    attempts
        Runs that are not known to have ended, by run number.
    failed_servers
        Backend servers where a run of this task failed.
    is_end_held
        Whether a run has ended `done` and this is recorded once no other run of it can start.
    """

    job: "Job"
    key: TaskKey
    name: str
    last_run: int = 0
    failed_runs: set[int] = Factory(set)
    done: bool = False
    checkpoint: str = ""
    not_before_ms: int = 0
    waiting_since_ms: int = 0
    attempts: dict[int, Attempt] = Factory(dict)
    failed_servers: set[str] = Factory(set)
    is_end_held: bool = False

    @property
    def failures(self) -> int:
        """Return the number of runs that ended `failed`."""
        return len(self.failed_runs)

    @property
    def step(self) -> StepSpec:
        """Return the step of the task."""
        return self.job.spec.steps[self.key.step]


@define(eq=False)
class Job:
    """Known state of one job.

    Parameters
    ----------
    stored_version
        Version of the job's row in the store.
    accepted_at_ms
        When the job was accepted, on the clock of the process.
    open_tasks
        Number of tasks that are not done, by occurrence and step; `open_task_count` is their sum.
    created_occurrences
        Number of occurrences whose tasks have been created.
    attempt_count
        Number of attempts of all its tasks.
    has_started
        Whether a run of any of its tasks is known to have begun, in this tenure or an earlier one.
        An attempt alone does not show it: its start may be refused, lost or not sent.
    """

    spec: JobSpec
    stored_version: int
    accepted_at_ms: int
    tasks: dict[str, Task] = Factory(dict)
    open_tasks: dict[tuple[int, int], int] = Factory(dict)
    open_task_count: int = 0
    created_occurrences: int = 0
    attempt_count: int = 0
    cancelled: bool = False
    outcome: JobOutcome | None = None
    outcome_stored: bool = False
    has_started: bool = False

    @property
    def id(self) -> str:
        """Return the id of the job."""
        return self.spec.job_id

    @property
    def is_open(self) -> bool:
        """Return whether tasks may still be started."""
        return self.outcome is None and not self.cancelled

    @property
    def is_in_progress(self) -> bool:
        """Return whether a task has begun or is about to."""
        return self.has_started or self.attempt_count > 0


def create_due_occurrences(job: Job, wall_ms: int) -> None:
    """Create the tasks of the occurrences whose scheduled time has been reached.

    While the job has too many open tasks, no further occurrences are created.
    """
    spec = job.spec
    total = max(1, spec.occurrences)
    while job.created_occurrences < total and job.open_task_count < _MAX_OPEN_TASKS:
        number = job.created_occurrences
        if spec.occurrences > 0 and wall_ms < spec.first_due_ms + number * spec.interval_ms:
            return
        _create_occurrence(job, number)


def create_occurrence_of(
    job: Job, task_name: str, *, max_open_tasks: int = _MAX_OPEN_TASKS
) -> None:
    """Create the tasks up to the occurrence of a task that is known to have run.

    Parameters
    ----------
    max_open_tasks
        Number of open tasks at which no further occurrences are created.
    """
    match = _TASK_NAME_PATTERN.fullmatch(task_name)
    if match is None:
        return
    total = min(max(1, job.spec.occurrences), int(match["occurrence"]) + 1)
    while job.created_occurrences < total and job.open_task_count < max_open_tasks:
        _create_occurrence(job, job.created_occurrences)


def occurrence_due_ms(job: Job, number: int) -> int:
    """Return the scheduled time of an occurrence, on the clock of `accepted_at_ms`."""
    spec = job.spec
    if spec.occurrences <= 0:
        return job.accepted_at_ms
    due_in_ms = spec.first_due_ms + number * spec.interval_ms - spec.accepted_ms
    return job.accepted_at_ms + max(0, due_in_ms)


def _create_occurrence(job: Job, number: int) -> None:
    for step_number, step in enumerate(job.spec.steps):
        for index in range(step.count):
            key = TaskKey(job.id, number, step_number, index)
            name = str(key)
            job.tasks[name] = Task(job, key, name)
        job.open_tasks[number, step_number] = step.count
        job.open_task_count += step.count
    job.created_occurrences += 1


def ready_tasks(job: Job) -> Iterator[Task]:
    """Yield the tasks that wait for a start and whose step's dependencies are done."""
    if job.is_open:
        yield from (task for task in unaccounted_tasks(job) if not task.is_end_held)


def unaccounted_tasks(job: Job) -> Iterator[Task]:
    """Yield the tasks that have no known run and may have an unknown one, in any state of the job.

    They are not done, and their step's dependencies are. The progress of a job that has ended is
    not stored, so each of its tasks may have been started.
    """
    for task in job.tasks.values():
        if task.done or task.attempts:
            continue
        if not job.is_open or _dependencies_done(job, task.key):
            yield task


def tasks_of_unknown_runs(job: Job) -> Iterator[Task]:
    """Yield the task of each run that may exist without being known.

    A task that may have a copy is yielded again for its second run, also when it is done: the run
    that lost may still be active.
    """
    yield from unaccounted_tasks(job)
    if not any(map(may_have_copy, job.spec.steps)):
        return
    for task in job.tasks.values():
        has_second_run = may_have_copy(task.step) and len(task.attempts) < 2
        if has_second_run and (not job.is_open or _dependencies_done(job, task.key)):
            yield task


def _dependencies_done(job: Job, key: TaskKey) -> bool:
    step = job.spec.steps[key.step]
    return all(job.open_tasks[key.occurrence, earlier] == 0 for earlier in step.depends_on)


def start_attempt(task: Task, server_id: str, *, min_run: int, now_ms: int) -> Attempt:
    """Add an attempt whose start is about to be sent.

    Its run number is higher than that of any earlier attempt of the task, and at least `min_run`.
    """
    task.last_run = max(task.last_run + 1, min_run)
    attempt = _add_attempt(task, task.last_run, server_id, AttemptPhase.STARTING, now_ms)
    attempt.started_ms = now_ms
    attempt.is_resumed = task.step.checkpointing and bool(task.checkpoint)
    return attempt


def _add_attempt(task: Task, run: int, server_id: str, phase: AttemptPhase, now_ms: int) -> Attempt:
    attempt = Attempt(task, run, server_id, phase, now_ms)
    for other in task.attempts.values() if may_have_copy(task.step) else ():
        attempt.is_copy = attempt.is_copy or other.run < run
        other.is_copy = other.is_copy or run < other.run
    task.attempts[run] = attempt
    task.job.attempt_count += 1
    return attempt


def _pop_attempt(task: Task, run: int) -> Attempt | None:
    attempt = task.attempts.pop(run, None)
    if attempt is not None:
        task.job.attempt_count -= 1
    return attempt


def confirm_attempt(task: Task, run: int, server_id: str, now_ms: int) -> Attempt:
    """Record that a backend server has the run, and add its attempt if it was not known before."""
    attempt = task.attempts.get(run)
    if attempt is None:
        attempt = _add_attempt(task, run, server_id, AttemptPhase.RUNNING, now_ms)
        task.last_run = max(task.last_run, run)
    mark_running(attempt, now_ms)
    return attempt


def mark_running(attempt: Attempt, now_ms: int) -> None:
    """Record that the run of an attempt has begun, by the server's answer or report."""
    attempt.task.job.has_started = True
    if attempt.phase in (AttemptPhase.STARTING, AttemptPhase.UNCERTAIN):
        attempt.set_phase(AttemptPhase.RUNNING, now_ms)


def remove_attempt(attempt: Attempt, now_ms: int) -> None:
    """Remove an attempt that is certain not to run, now or later."""
    task = attempt.task
    if _pop_attempt(task, attempt.run) is not None:
        task.waiting_since_ms = now_ms


def record_run_end(task: Task, ended: EndedRun, *, max_attempts: int | None, now_ms: int) -> bool:
    """Record the end of a run; return whether the job's stored progress changes.

    The job fails once `max_attempts` runs of the task have failed and no other run of it is active.
    While that number is not known (`None`), a failed run is recorded and leaves the job open.
    """
    known = _pop_attempt(task, ended.run)
    task.job.has_started = True
    task.last_run = max(task.last_run, ended.run)
    task.waiting_since_ms = now_ms
    if ended.checkpoint and not (known is not None and known.is_copy and task.attempts):
        task.checkpoint = ended.checkpoint
    job = task.job
    if task.done or not job.is_open or task.step.long_running:
        return False
    if ended.end == RunEnd.DONE:
        for member in _gang_of(task):
            _finish_task(member)
        return True
    if ended.end == RunEnd.FAILED and ended.run not in task.failed_runs:
        task.failed_runs.add(ended.run)
        if known is not None:
            task.failed_servers.add(known.server_id)
        has_used_all = max_attempts is not None and has_used_attempts(task, max_attempts)
        if has_used_all and not has_active_run(task):
            job.outcome = JobOutcome.FAILED
        return True
    return False


def may_have_copy(step: StepSpec) -> bool:
    """Return whether two runs of a task of the step may be active at once."""
    return step.speculative and not (step.gang or step.long_running)


def has_active_run(task: Task) -> bool:
    """Return whether another run of a task that may have a copy has ended `done` or still can."""
    return may_have_copy(task.step) and (
        task.is_end_held or any(not attempt.stop_requested for attempt in task.attempts.values())
    )


def has_used_attempts(task: Task, max_attempts: int) -> bool:
    """Return whether `max_attempts` runs of a task have failed, so that it may not run again.

    The tasks of a gang start under one run number, and failed runs of a gang with the same number
    count as one.
    """
    if task.step.long_running or not task.failed_runs:
        return False
    failed_runs = set().union(*(member.failed_runs for member in _gang_of(task)))
    return len(failed_runs) >= max_attempts


def _gang_of(task: Task) -> list[Task]:
    """Return the tasks that finish and fail together: the gang, or the task alone."""
    if not task.step.gang:
        return [task]
    return [
        other
        for other in task.job.tasks.values()
        if other.key.occurrence == task.key.occurrence and other.key.step == task.key.step
    ]


def _finish_task(task: Task) -> None:
    job = task.job
    if task.done:
        return
    task.done = True
    job.open_tasks[task.key.occurrence, task.key.step] -= 1
    job.open_task_count -= 1
    if is_finished(job):
        job.outcome = JobOutcome.COMPLETED


def is_finished(job: Job) -> bool:
    """Return whether all tasks of all occurrences are done."""
    return job.created_occurrences >= max(1, job.spec.occurrences) and not job.open_task_count


def restore_progress(
    job: Job, done: list[str], failed_runs: dict[str, list[int]], *, done_occurrences: int = 0
) -> None:
    """Apply the stored progress of a job; names that are no tasks of the job are ignored.

    Parameters
    ----------
    done, failed_runs
        Names of the tasks that are done, and the failed runs of the others.
    done_occurrences
        Number of leading occurrences whose tasks are all done.
    """
    _finish_occurrences(job, done_occurrences)
    # All tasks count as open until the stored ones are marked as done below.
    max_open_tasks = _MAX_OPEN_TASKS + len(done)
    for name in [*done, *failed_runs]:
        create_occurrence_of(job, name, max_open_tasks=max_open_tasks)
    done = [name for name in done if name in job.tasks]
    failed_runs = {name: runs for name, runs in failed_runs.items() if name in job.tasks}
    for name, runs in failed_runs.items():
        job.tasks[name].failed_runs.update(runs)
    for name in done:
        if not job.tasks[name].done:
            _finish_task(job.tasks[name])
    job.has_started = job.has_started or bool(done or failed_runs or done_occurrences)


def _finish_occurrences(job: Job, count: int) -> None:
    """Mark the tasks of the leading occurrences as done; missing occurrences are created."""
    for number in range(min(count, max(1, job.spec.occurrences))):
        if number >= job.created_occurrences:
            _create_occurrence(job, number)
        for step_number, step in enumerate(job.spec.steps):
            for index in range(step.count):
                _finish_task(job.tasks[str(TaskKey(job.id, number, step_number, index))])


def job_state(job: Job) -> str:
    """Return the state of the job that callers are shown.

    `completed` and `failed` are returned only once the outcome is stored.
    """
    if job.outcome is not None and job.outcome_stored:
        return job.outcome.value
    if job.cancelled:
        return JobOutcome.CANCELLED.value
    return "running" if job.has_started else "queued"
