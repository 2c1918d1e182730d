"""Selection of the tasks to start and of their backend servers."""

from collections.abc import Callable

from attrs import define, evolve, field

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.observation.operator_documents import OperatorDocuments
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
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.queued_jobs import QueuedJob, QueuedJobs
from fireflydeck.scheduling.reservations import Reservations
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.speculative_copies import SpeculativeCopies
from fireflydeck.scheduling.task_placement import Start, TaskPlacer
from fireflydeck.scheduling.work_estimates import StepKey, WorkEstimates
from fireflydeck.workload.lifecycle import Attempt, Job, Task

__all__ = ["StartPlanner"]


@define(eq=False, kw_only=True)
class StartPlanner:
    """Planner that selects tasks to start and reserves capacity for them.

    Parameters
    ----------
    jobs
        Open jobs in the order in which they are served.
    estimates
        Expected durations of tasks.
    placer
        Chooses backend servers and reserves capacity on them.
    copies
        Plans speculative copies after all other starts.
    may_start
        Returns whether tasks of a queue may be started in its pool.
    reservations
        Reserves capacity for waiting tasks; `None` if nothing is reserved.
    """

    operators: OperatorDocuments
    clock: Clock
    sender: OrderSender
    jobs: QueuedJobs
    estimates: WorkEstimates
    placer: TaskPlacer
    copies: SpeculativeCopies
    may_start: Callable[[JobQueue], bool]
    reservations: Reservations | None = None
    _inflow: Inflow = field(factory=Inflow, init=False)

    # Jobs

    def add_job(self, job: Job) -> None:
        """Add a job to the schedule."""
        queued = self.jobs.add(job)
        configuration = self.operators.configuration
        queue = configuration.queue(job.spec.queue) if configuration else None
        if queue is not None and not queued.is_long_running:
            now_ms = self.clock.now_ms()
            left_ms = self.estimates.deadline_ms(job, queue) - job.accepted_at_ms
            cores = needed_cores(job, self.estimates, left_ms=left_ms)
            self._inflow.add(queue.pool, cores, objective_ms=left_ms, now_ms=now_ms)

    def remove_job(self, job: Job) -> None:
        """Remove a job from the schedule."""
        self.jobs.remove(job)
        self.estimates.forget(job)
        self.copies.forget(job)
        self.placer.ticket_cache.forget_job(job.id)
        if self.reservations is not None:
            self.reservations.forget_job(job.id)

    def invalidate_ready_tasks(self, job: Job) -> None:
        """Compute the ready tasks of a job again at the next planning pass."""
        self.jobs.invalidate_ready_tasks(job)

    def record_end(
        self, server: Server, task: Task, attempt: Attempt | None, ended: EndedRun
    ) -> None:
        """Update the estimates after a run ended, and delay a task whose run failed.

        The delay doubles with each failure of the task, up to `MAX_RETRY_PAUSE_MS`.
        """
        if ended.end == RunEnd.DONE and attempt is not None:
            self.estimates.record_completion(attempt, self.clock.now_ms())
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
        for queued in self.jobs:
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

    def _needed_cores(self, queued: QueuedJob, queue: JobQueue, now_ms: int) -> float:
        if queued.is_long_running:
            return 0.0
        left_ms = self.estimates.deadline_ms(queued.job, queue) - now_ms
        return needed_cores(queued.job, self.estimates, left_ms=left_ms)

    def _add_job(self, demand: PoolDemand, queued: QueuedJob) -> PoolDemand:
        job = queued.job
        work = 0.0 if queued.is_long_running else waiting_core_s(job, self.estimates)
        return evolve(
            demand,
            waiting_core_s=demand.waiting_core_s + work,
            min_vms=max(demand.min_vms, min_vms(job)),
            required_labels=demand.required_labels | required_labels(job),
        )

    def overload(self) -> dict[str, PoolOverload]:
        """Return the overloaded pools by name."""
        configuration = self.operators.configuration
        return self.jobs.overload(configuration) if configuration is not None else {}

    def plan(self, servers: dict[str, Server], hidden: HiddenUsage) -> list[Start]:
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
        self.placer.hidden_usage = hidden
        if self.reservations is not None:
            self.reservations.begin_pass(configuration, hidden)
        rooms = self._rooms(servers, now_ms)
        self.jobs.assign_shares(configuration, rooms, now_ms)
        starts: list[Start] = []
        for queue, queued in self.jobs.ranked(configuration, now_ms):
            room = rooms.get(queue.pool)
            if room is None:
                continue
            if hidden.may_include(queued.job) or not self.may_start(queue):
                continue
            starts.extend(self._place_job(configuration, queued, room, now_ms))
        starts.extend(self.copies.plan(configuration, servers, rooms, self.jobs, hidden))
        if self.reservations is not None:
            self.reservations.end_pass(rooms)
        return starts

    def _place_job(
        self, configuration: FleetConfiguration, queued: QueuedJob, room: PoolRoom, now_ms: int
    ) -> list[Start]:
        """Place the ready tasks of a job; after one that finds no place its step waits."""
        starts: list[Start] = []
        waiting_steps: set[StepKey] = set()
        for tasks in self._start_units(queued, now_ms):
            step = (tasks[0].key.occurrence, tasks[0].key.step)
            if step in waiting_steps:
                continue
            placed = self.placer.place_all_or_none(configuration, tasks, room)
            if not placed:
                waiting_steps.add(step)
                if self.reservations is not None:
                    self.reservations.add_waiting(queued, tasks, room)
            starts.extend(placed)
        return starts

    def _start_units(self, queued: QueuedJob, now_ms: int) -> list[list[Task]]:
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

    def _rooms(self, servers: dict[str, Server], now_ms: int) -> dict[str, PoolRoom]:
        """Return the servers that accept starts, by pool."""
        evacuated = self.operators.evacuated_data_centres
        by_pool: dict[str, list[Server]] = {}
        for server in servers.values():
            if server.accepts_starts(now_ms) and server.registration.data_centre not in evacuated:
                by_pool.setdefault(server.registration.pool, []).append(server)
        open_room = self.reservations.open_room if self.reservations is not None else PoolRoom
        return {pool: open_room(members) for pool, members in by_pool.items()}
