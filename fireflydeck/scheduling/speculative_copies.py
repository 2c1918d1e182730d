"""Speculative copies: second runs of tasks that take clearly longer than expected."""

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.policy.speculation import (
    CopyDecision,
    CopyRecord,
    RunProgress,
    choose_copies,
    copy_budget,
)
from fireflydeck.scheduling.hidden_usage import HiddenUsage
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.queued_jobs import QueuedJob, QueuedJobs
from fireflydeck.scheduling.run_durations import RunDurations
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.task_placement import Start, TaskPlacer
from fireflydeck.workload.lifecycle import Attempt, AttemptPhase, Job, Task, may_have_copy

__all__ = ["SpeculativeCopies"]

_CHECK_INTERVAL_MS = 50
"""Time between two planning passes that check runs."""
_MAX_CHECKED_RUNS = 200
"""Number of runs that a planning pass checks, to bound its duration."""
_MIN_RECHECK_MS = 100
_MAX_RECHECK_MS = 5000
"""Bounds of the time between two checks of a run; the upper one lets ended runs be forgotten."""
_MILLICORE_MS_PER_CORE_S = 1_000_000


@define(eq=False, kw_only=True)
class SpeculativeCopies:
    """Planner of copies, for steps whose tasks may have two runs at once.

    Its only state is what it has learned: the spread of durations, and how the copies of each queue
    ended. The copies are those that the backend servers report, so the next holder of the lease
    counts them too.

    Parameters
    ----------
    is_enabled
        Whether copies are started; those of an earlier holder are kept in any case.
    may_start
        Returns whether tasks of a queue may be started in its pool.
    """

    clock: Clock
    log: EventLog
    metrics: Metrics
    durations: RunDurations
    is_enabled: bool = True
    placer: TaskPlacer = field(init=False)
    may_start: Callable[[JobQueue], bool] = field(init=False)
    _active: dict[str, Task] = field(factory=dict, init=False)
    _with_copy: dict[str, Task] = field(factory=dict, init=False)
    # Runs by the time at which they are checked next; numbered, since attempts have no order.
    _checks: list[tuple[float, int, Attempt]] = field(factory=list, init=False)
    _check_number: int = field(default=0, init=False)
    _next_check_ms: int = field(default=0, init=False)
    _records: dict[str, CopyRecord] = field(factory=dict, init=False)

    # Runs

    def on_reserved(self, attempt: Attempt) -> None:
        """Record that a run is about to start or was adopted."""
        if may_have_copy(attempt.task.step):
            task = attempt.task
            self._active[task.name] = task
            if len(task.attempts) > 1:
                self._with_copy[task.name] = task
            self.durations.begin(attempt)
            if self.is_enabled:
                self._check_at(attempt, self.clock.now_ms() + _MIN_RECHECK_MS)

    def on_released(self, attempt: Attempt) -> None:
        """Record that a run is over; without `on_ended` before, it ended early."""
        if may_have_copy(attempt.task.step):
            now_ms = self.clock.now_ms()
            was_cut_off = self.durations.cut_off(attempt, now_ms)
            if was_cut_off and attempt.is_copy and attempt.stop_requested:
                used = attempt.task.step.demand.cpu * attempt.min_elapsed_ms(now_ms)
                self._record_of(attempt.task).lost += 1
                self.metrics.count("speculative_copies_stopped_total")
                self.metrics.count(
                    "speculative_copies_stopped_core_seconds_total", used / _MILLICORE_MS_PER_CORE_S
                )
            if len(attempt.task.attempts) < 2:
                self._with_copy.pop(attempt.task.name, None)
            if not attempt.task.attempts:
                self._active.pop(attempt.task.name, None)

    def on_ended(self, attempt: Attempt, end: RunEnd) -> None:
        """Record the end of a run whose capacity is still reserved."""
        if not may_have_copy(attempt.task.step):
            return
        now_ms = self.clock.now_ms()
        if end == RunEnd.DONE:
            self.durations.complete(attempt, now_ms)
            if attempt.is_copy and len(attempt.task.attempts) > 1:
                self._record_of(attempt.task).won += 1
                self.metrics.count("speculative_copies_won_total")
        if end == RunEnd.FAILED and attempt.is_copy:
            self.metrics.count("speculative_copies_failed_total")

    def _record_of(self, task: Task) -> CopyRecord:
        return self._records.setdefault(task.job.spec.queue, CopyRecord())

    def forget(self, job: Job) -> None:
        """Remove the durations of a job's steps."""
        self.durations.forget(job)

    # Planning

    def plan(
        self,
        configuration: FleetConfiguration,
        servers: dict[str, Server],
        rooms: dict[str, PoolRoom],
        jobs: QueuedJobs,
        hidden: HiddenUsage,
    ) -> list[Start]:
        """Reserve capacity for copies and return their starts; called after all other starts.

        Parameters
        ----------
        rooms
            Servers that accept starts, by pool.
        jobs
            Open jobs, to tell whether anything of a pool waits for capacity.
        hidden
            Runs of earlier holders that are not known. The tasks that may be among them get no
            copy, since they may have one.
        """
        now_ms = self.clock.now_ms()
        if not self.is_enabled or now_ms < self._next_check_ms:
            return []
        self._next_check_ms = now_ms + _CHECK_INTERVAL_MS
        starts: list[Start] = []
        for pool, runs in self._due_runs(configuration, hidden, now_ms).items():
            decisions = choose_copies(runs) if pool in rooms else []
            if not decisions or self._has_waiting(configuration, pool, jobs, now_ms):
                continue
            copies = self._count_copies(configuration, pool)
            budget = copy_budget(_count_runs(servers, pool) - copies)
            for decision in decisions:
                if copies >= budget:
                    break
                task = self._active[decision.run.task]
                start = self._place(configuration, task, servers, rooms[pool])
                if start is not None:
                    copies += 1
                    starts.append(start)
                    self._log_start(pool, start, decision, copies=copies, budget=budget)
        return starts

    def _due_runs(
        self, configuration: FleetConfiguration, hidden: HiddenUsage, now_ms: int
    ) -> dict[str, list[RunProgress]]:
        """Return the stragglers by pool, and set the time of the next check of each run."""
        due: dict[str, list[RunProgress]] = defaultdict(list)
        for _ in range(_MAX_CHECKED_RUNS):
            if not self._checks or self._checks[0][0] > now_ms:
                break
            _, _, attempt = heappop(self._checks)
            task = attempt.task
            if attempt.run not in task.attempts:
                continue
            run = self.durations.progress(attempt, now_ms)
            wait_ms = (run.straggler_ms - run.elapsed_ms) / 2
            self._check_at(attempt, now_ms + min(max(_MIN_RECHECK_MS, wait_ms), _MAX_RECHECK_MS))
            queue = configuration.queue(task.job.spec.queue)
            if queue is None or wait_ms > 0 or not _may_get_copy(task, now_ms):
                continue
            if not self._record_of(task).is_promising:
                continue
            if self.may_start(queue) and not hidden.may_include(task.job):
                due[queue.pool].append(run)
        return due

    def _check_at(self, attempt: Attempt, at_ms: float) -> None:
        self._check_number += 1
        heappush(self._checks, (at_ms, self._check_number, attempt))

    def _count_copies(self, configuration: FleetConfiguration, pool: str) -> int:
        """Return the number of tasks of a pool's queues that have two runs."""
        queues = (configuration.queue(task.job.spec.queue) for task in self._with_copy.values())
        return sum(queue is not None and queue.pool == pool for queue in queues)

    def _has_waiting(
        self, configuration: FleetConfiguration, pool: str, jobs: QueuedJobs, now_ms: int
    ) -> bool:
        """Return whether a ready task of a pool waits for capacity.

        A task whose organisation is at its limit would not start with more capacity either.
        """
        for queued in jobs:
            if not queued.ready or not queued.job.is_open:
                continue
            queue = configuration.queue(queued.job.spec.queue)
            if queue is None or queue.pool != pool:
                continue
            if self._waits(configuration, queued, now_ms):
                return True
        return False

    def _waits(self, configuration: FleetConfiguration, queued: QueuedJob, now_ms: int) -> bool:
        checked_steps: set[int] = set()
        for task in queued.ready or ():
            if task.done or task.attempts or task.not_before_ms > now_ms:
                continue
            if task.key.step in checked_steps:
                continue
            checked_steps.add(task.key.step)
            organisation = queued.job.spec.organisation
            if self.placer.usage.allows(
                configuration, organisation, task.step.demand, self.placer.hidden_usage
            ):
                return True
        return False

    def _place(
        self,
        configuration: FleetConfiguration,
        task: Task,
        servers: dict[str, Server],
        room: PoolRoom,
    ) -> Start | None:
        """Place a copy on another server, if possible in another rack.

        The tasks of a step that belongs in certain racks stay there.
        """
        used = {attempt.server_id for attempt in task.attempts.values()}
        others = [server for server in room.servers if server.id not in used]
        choices = [others]
        if not (task.step.same_rack or task.step.data_rack):
            racks = {servers[name].registration.rack for name in used if name in servers}
            other_racks = [server for server in others if server.registration.rack not in racks]
            choices = [other_racks, others]
        for choice in choices:
            placed = self.placer.place_all_or_none(configuration, [task], PoolRoom(choice))
            if placed:
                return placed[0]
        return None

    def _log_start(
        self, pool: str, start: Start, decision: CopyDecision, *, copies: int, budget: int
    ) -> None:
        server, copy = start
        first = min(copy.task.attempts.values(), key=lambda attempt: attempt.run)
        self.metrics.count("speculative_copies_started_total", pool=pool)
        self.log.emit(
            Event.COPY_PLANNED,
            task=copy.task.name,
            run=copy.run,
            server=server.id,
            first_run=first.run,
            first_server=first.server_id,
            elapsed_ms=round(decision.run.elapsed_ms),
            expected_ms=round(decision.run.expected_ms),
            straggler_ms=round(decision.run.straggler_ms),
            remaining_ms=round(decision.remaining_ms),
            copy_ms=round(decision.copy_ms),
            copies=copies,
            budget=budget,
        )


def _may_get_copy(task: Task, now_ms: int) -> bool:
    """Return whether the task has one run, none that failed, and may be started again.

    Best-effort tasks get no copy: they are slow while they are throttled to protect serving tasks.
    """
    if (
        task.step.fill
        or len(task.attempts) != 1
        or task.failed_runs
        or task.done
        or not task.job.is_open
    ):
        return False
    attempt = next(iter(task.attempts.values()))
    is_running = attempt.phase == AttemptPhase.RUNNING and not attempt.stop_requested
    return is_running and task.not_before_ms <= now_ms


def _count_runs(servers: dict[str, Server], pool: str) -> int:
    """Return the number of runs on the servers of a pool."""
    members = (server for server in servers.values() if server.registration.pool == pool)
    return sum(len(server.attempts) for server in members)
