"""Selection of the tasks to start and of their backend servers."""

from collections.abc import Callable

from attrs import define, evolve, field

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.policy.job_order import SortKey, rank_job
from fireflydeck.policy.server_choice import Candidate, choose_server
from fireflydeck.scheduling.demand import (
    Inflow,
    PoolDemand,
    min_vms,
    needed_cores,
    required_labels,
    waiting_core_s,
)
from fireflydeck.scheduling.hidden_usage import HiddenUsage
from fireflydeck.scheduling.order_sender import (
    MAX_RETRY_PAUSE_MS,
    RETRY_PAUSE_MS,
    OrderSender,
)
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.scheduling.work_estimates import StepKey, WorkEstimates
from fireflydeck.workload.lifecycle import (
    Attempt,
    Job,
    Task,
    create_due_occurrences,
    has_used_attempts,
    ready_tasks,
    start_attempt,
)

__all__ = ["StartPlanner"]

_RUN_NUMBERS_PER_TOKEN = 1000
"""Run numbers reserved for each fencing token, so that they exceed those of earlier holders."""


@define(eq=False)
class _QueuedJob:
    """An open job with cached values for the order of jobs in its pool.

    Parameters
    ----------
    ready
        Tasks that may start; `None` if they and the two estimates have to be computed again.
    max_attempts
        Number of attempts of a task for which the ready tasks were last checked.
    deadline_ms, remaining_ms
        Estimates of `WorkEstimates` when the ready tasks were computed, in milliseconds.
    """

    job: Job
    is_long_running: bool
    ready: list[Task] | None = None
    max_attempts: int | None = None
    deadline_ms: float = 0.0
    remaining_ms: float = 0.0


@define(eq=False, kw_only=True)
class StartPlanner:
    """Planner that selects tasks to start and reserves capacity for them.

    Parameters
    ----------
    first_token
        Lowest fencing token of the current tenure.
    reserve
        Reserves the capacity that an attempt uses.
    drop
        Forgets an attempt and frees its capacity.
    may_start
        Returns whether tasks of a queue may be started in its pool.
    fail_job
        Fails a job that has a task without further attempts.
    """

    first_token: int
    operators: OperatorDocuments
    clock: Clock
    usage: OrganisationUsage
    ticket_cache: TicketCache
    sender: OrderSender
    reserve: Callable[[Attempt], None]
    drop: Callable[[Attempt], None]
    may_start: Callable[[JobQueue], bool]
    fail_job: Callable[[Job], None]
    _queued: dict[str, _QueuedJob] = field(factory=dict, init=False)
    _inflow: Inflow = field(factory=Inflow, init=False)
    _hidden_usage: HiddenUsage = field(factory=HiddenUsage, init=False)
    _estimates: WorkEstimates = field(factory=WorkEstimates, init=False)

    # Jobs

    def add_job(self, job: Job) -> None:
        """Add a job to the schedule."""
        long_running = any(step.long_running for step in job.spec.steps)
        self._queued[job.id] = _QueuedJob(job, long_running)
        configuration = self.operators.configuration
        queue = configuration.queue(job.spec.queue) if configuration else None
        if queue is not None and not long_running:
            now_ms = self.clock.now_ms()
            left_ms = self._estimates.deadline_ms(job, queue) - job.accepted_at_ms
            cores = needed_cores(job, self._estimates, left_ms=left_ms)
            self._inflow.add(queue.pool, cores, objective_ms=left_ms, now_ms=now_ms)

    def remove_job(self, job: Job) -> None:
        """Remove a job from the schedule."""
        self._queued.pop(job.id, None)
        self._estimates.forget(job)
        self.ticket_cache.forget_job(job.id)

    def invalidate_ready_tasks(self, job: Job) -> None:
        """Compute the ready tasks of a job again at the next planning pass."""
        queued = self._queued.get(job.id)
        if queued is not None:
            queued.ready = None

    def record_end(
        self, server: Server, task: Task, attempt: Attempt | None, ended: EndedRun
    ) -> None:
        """Update the estimates after a run ended, and delay a task whose run failed.

        The delay doubles with each failure of the task, up to `MAX_RETRY_PAUSE_MS`.
        """
        if ended.end == RunEnd.DONE and attempt is not None:
            self._estimates.record_completion(attempt, self.clock.now_ms())
        if ended.end == RunEnd.FAILED:
            exponent = min(task.failures, 4)
            pause_ms = min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS << exponent)
            task.not_before_ms = self.clock.now_ms() + pause_ms
        server.backoff_until_ms = 0

    # Planning

    def demand(self) -> dict[str, PoolDemand]:
        """Return the pending work, queued and expected, by pool."""
        configuration = self.operators.configuration
        if configuration is None:
            return {}
        now_ms = self.clock.now_ms()
        demand = {
            pool.name: PoolDemand(
                needed_cores=self._inflow.cores(pool.name, now_ms),
                steady_cores=self._inflow.steady_cores(pool.name, now_ms),
            )
            for pool in configuration.pools
        }
        open_cores: dict[str, float] = {}
        for queued in self._queued.values():
            queue = configuration.queue(queued.job.spec.queue)
            if queue is None or queue.pool not in demand or not queued.job.is_open:
                continue
            cores = self._needed_cores(queued, queue, now_ms)
            open_cores[queue.pool] = open_cores.get(queue.pool, 0.0) + cores
            demand[queue.pool] = self._add_job(demand[queue.pool], queued)
        return {
            pool: evolve(item, needed_cores=max(item.needed_cores, open_cores.get(pool, 0.0)))
            for pool, item in demand.items()
        }

    def _needed_cores(self, queued: _QueuedJob, queue: JobQueue, now_ms: int) -> float:
        if queued.is_long_running:
            return 0.0
        left_ms = self._estimates.deadline_ms(queued.job, queue) - now_ms
        return needed_cores(queued.job, self._estimates, left_ms=left_ms)

    def _add_job(self, demand: PoolDemand, queued: _QueuedJob) -> PoolDemand:
        job = queued.job
        work = 0.0 if queued.is_long_running else waiting_core_s(job, self._estimates)
        return evolve(
            demand,
            waiting_core_s=demand.waiting_core_s + work,
            min_vms=max(demand.min_vms, min_vms(job)),
            required_labels=demand.required_labels | required_labels(job),
        )

    def plan(self, servers: dict[str, Server], hidden: HiddenUsage) -> list[tuple[Server, Attempt]]:
        """Select the starts to send and reserve capacity for them.

        Parameters
        ----------
        servers
            Known backend servers by id.
        hidden
            Runs of earlier holders that are not known. The tasks that may be among them are not
            started.
        """
        configuration = self.operators.configuration
        if configuration is None or not self.sender.has_fresh_documents():
            return []
        now_ms = self.clock.now_ms()
        self._hidden_usage = hidden
        rooms = self._rooms(servers, now_ms)
        starts: list[tuple[Server, Attempt]] = []
        for queue, queued in self._ranked_jobs(configuration, now_ms):
            room = rooms.get(queue.pool)
            if room is None:
                continue
            if hidden.may_include(queued.job) or not self.may_start(queue):
                continue
            starts.extend(self._place_job(configuration, queued, room, now_ms))
        return starts

    def _place_job(
        self, configuration: FleetConfiguration, queued: _QueuedJob, room: PoolRoom, now_ms: int
    ) -> list[tuple[Server, Attempt]]:
        """Place the ready tasks of a job; after one that finds no place its step waits."""
        starts: list[tuple[Server, Attempt]] = []
        waiting_steps: set[StepKey] = set()
        for tasks in self._start_units(queued, now_ms):
            step = (tasks[0].key.occurrence, tasks[0].key.step)
            if step in waiting_steps:
                continue
            placed = self._place_all_or_none(configuration, tasks, room)
            if not placed:
                waiting_steps.add(step)
            starts.extend(placed)
        return starts

    def _start_units(self, queued: _QueuedJob, now_ms: int) -> list[list[Task]]:
        """Return the ready tasks in groups that start together: single tasks and complete gangs."""
        units: list[list[Task]] = []
        gangs: dict[tuple[int, int], list[Task]] = {}
        for task in queued.ready or ():
            if task.not_before_ms > now_ms or task.attempts:
                continue
            if task.step.gang:
                gangs.setdefault((task.key.occurrence, task.key.step), []).append(task)
            else:
                units.append([task])
        whole = [members for members in gangs.values() if len(members) == members[0].step.count]
        return units + whole

    def _place_all_or_none(
        self, configuration: FleetConfiguration, tasks: list[Task], room: PoolRoom
    ) -> list[tuple[Server, Attempt]]:
        """Reserve capacity for all tasks under one run number, or for none of them."""
        first_run = (self.first_token - 1) * _RUN_NUMBERS_PER_TOKEN + 1
        min_run = max([first_run, *(task.last_run + 1 for task in tasks)])
        starts: list[tuple[Server, Attempt]] = []
        for task in tasks:
            start = self._place(configuration, task, room, min_run)
            if start is None:
                for _, attempt in starts:
                    self.drop(attempt)
                if starts:
                    room.forget_full()
                return []
            starts.append(start)
        return starts

    def _rooms(self, servers: dict[str, Server], now_ms: int) -> dict[str, PoolRoom]:
        """Return the servers that accept starts, by pool."""
        evacuated = self.operators.evacuated_data_centres
        by_pool: dict[str, list[Server]] = {}
        for server in servers.values():
            if server.accepts_starts(now_ms) and server.registration.data_centre not in evacuated:
                by_pool.setdefault(server.registration.pool, []).append(server)
        return {pool: PoolRoom(members) for pool, members in by_pool.items()}

    def _ranked_jobs(
        self, configuration: FleetConfiguration, now_ms: int
    ) -> list[tuple[JobQueue, _QueuedJob]]:
        ranked: list[tuple[SortKey, str, JobQueue, _QueuedJob]] = []
        for queued in self._queued.values():
            queue = configuration.queue(queued.job.spec.queue)
            if queue is None or not queued.job.is_open:
                continue
            if not self._ready(queued, queue) or self._has_failed(queued, queue):
                continue
            job_rank = rank_job(
                deadline_ms=queued.deadline_ms,
                remaining_ms=queued.remaining_ms,
                priority=queue.priority,
                is_long_running=queued.is_long_running,
                has_started=queued.job.is_in_progress,
                now_ms=now_ms,
            )
            ranked.append((job_rank.sort_key, queued.job.id, queue, queued))
        ranked.sort(key=lambda item: item[:2])
        return [(queue, queued) for _, _, queue, queued in ranked]

    def _ready(self, queued: _QueuedJob, queue: JobQueue) -> list[Task]:
        job = queued.job
        if job.spec.occurrences > job.created_occurrences:
            created = job.created_occurrences
            create_due_occurrences(job, self.clock.wall_ms())
            if job.created_occurrences > created:
                queued.ready = None
        if queued.ready is None:
            queued.ready = list(ready_tasks(job))
            queued.max_attempts = None
            queued.deadline_ms = self._estimates.deadline_ms(job, queue)
            queued.remaining_ms = self._estimates.remaining_ms(job)
        else:
            queued.ready = [task for task in queued.ready if not (task.done or task.attempts)]
        return queued.ready

    def _has_failed(self, queued: _QueuedJob, queue: JobQueue) -> bool:
        """Fail the job if a ready task has used all attempts; return whether it has.

        The number of attempts may have been unknown, or higher, when the runs failed.
        """
        if queued.max_attempts == queue.max_attempts:
            return False
        queued.max_attempts = queue.max_attempts
        if not any(has_used_attempts(task, queue.max_attempts) for task in queued.ready or ()):
            return False
        self.fail_job(queued.job)
        return True

    def _place(
        self, configuration: FleetConfiguration, task: Task, room: PoolRoom, min_run: int
    ) -> tuple[Server, Attempt] | None:
        step = task.step
        usable = room.servers_with_room(step)
        queue = configuration.queue(task.job.spec.queue)
        if queue is not None and queue.advisor is not None:
            with_ticket = self.ticket_cache.servers_with_ticket(task, room.servers, queue.advisor)
            usable = [server for server in usable if server in with_ticket]
        organisation = task.job.spec.organisation
        if not usable or not self.usage.allows(
            configuration, organisation, step.demand, self._hidden_usage
        ):
            return None
        racks = _racks_of_step(task, room.servers) if step.same_rack else set()
        candidates = [self._candidate(server, task, racks) for server in usable]
        server_id = choose_server(step, candidates)
        if server_id is None:
            return None
        server = next(server for server in usable if server.id == server_id)
        now_ms = self.clock.now_ms()
        attempt = start_attempt(task, server_id, min_run=min_run, now_ms=now_ms)
        self.reserve(attempt)
        return server, attempt

    def _candidate(self, server: Server, task: Task, racks: set[str]) -> Candidate:
        step = task.step
        same_step_tasks = 0
        interferes = False
        is_load_relevant = step.max_per_server > 0 or step.fill or step.target_tail_ms > 0
        for attempt in server.attempts.values() if is_load_relevant else ():
            other = attempt.task
            if other.job is task.job and other.key.step == task.key.step:
                same_step_tasks += other.key.occurrence == task.key.occurrence
            if step.fill:
                interferes = interferes or other.step.target_tail_ms > 0
            elif step.target_tail_ms > 0:
                interferes = interferes or other.step.fill
        return Candidate(
            server_id=server.id,
            free=server.free,
            labels=server.registration.labels,
            rack=server.registration.rack,
            same_step_tasks=same_step_tasks,
            has_failed_before=server.id in task.failed_servers,
            interferes=interferes,
            has_pending_maintenance=server.has_pending_maintenance,
            splits_step=bool(racks) and server.registration.rack not in racks,
        )


def _racks_of_step(task: Task, pool: list[Server]) -> set[str]:
    """Return the racks in which tasks of the same step and occurrence run."""
    return {
        server.registration.rack
        for server in pool
        for attempt in server.attempts.values()
        if attempt.task.job is task.job
        and attempt.task.key.step == task.key.step
        and attempt.task.key.occurrence == task.key.occurrence
    }
