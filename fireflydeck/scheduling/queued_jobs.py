"""Open jobs of the lease holder, and the order in which their tasks are started."""

from collections.abc import Callable, Iterator, Mapping

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.policy.job_order import SortKey, rank_job
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.share_tracker import ShareLevel, ShareTracker, has_weighted_shares
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import (
    Job,
    Task,
    create_due_occurrences,
    has_used_attempts,
    ready_tasks,
)

__all__ = ["QueuedJob", "QueuedJobs"]


@define(eq=False)
class QueuedJob:
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
class QueuedJobs:
    """Open jobs, ranked anew in each planning pass.

    Parameters
    ----------
    fail_job
        Fails a job that has a task without further attempts.
    """

    clock: Clock
    estimates: WorkEstimates
    shares: ShareTracker
    fail_job: Callable[[Job], None]
    _queued: dict[str, QueuedJob] = field(factory=dict, init=False)
    _new_jobs: dict[str, QueuedJob] = field(factory=dict, init=False)

    def __iter__(self) -> Iterator[QueuedJob]:
        return iter(self._queued.values())

    def add(self, job: Job) -> QueuedJob:
        """Add a job."""
        long_running = any(step.long_running for step in job.spec.steps)
        queued = QueuedJob(job, long_running)
        self._queued[job.id] = queued
        if not long_running:
            self._new_jobs[job.id] = queued
        return queued

    def remove(self, job: Job) -> None:
        """Remove a job."""
        self._queued.pop(job.id, None)
        self._new_jobs.pop(job.id, None)
        self.shares.forget(job)

    def invalidate_ready_tasks(self, job: Job) -> None:
        """Compute the ready tasks of a job again at the next planning pass."""
        queued = self._queued.get(job.id)
        if queued is not None:
            queued.ready = None

    def assign_shares(
        self, configuration: FleetConfiguration, rooms: Mapping[str, PoolRoom], now_ms: int
    ) -> None:
        """Assign new jobs to the shares of their organisations, if these have different weights.

        Jobs whose pool has no servers yet are assigned in a later pass.
        """
        if not self._new_jobs or not has_weighted_shares(configuration):
            return
        pools_with_new_jobs = {
            queue.pool
            for queued in self._new_jobs.values()
            if queued.job.is_open
            if (queue := configuration.queue(queued.job.spec.queue)) is not None
        }
        cores = {
            pool: rooms[pool].cores_for_jobs() for pool in pools_with_new_jobs if pool in rooms
        }
        if not cores:
            return
        self.shares.assign(configuration, self._timed_jobs(configuration), cores, now_ms)
        self._new_jobs = {
            job_id: queued
            for job_id, queued in self._new_jobs.items()
            if self.shares.level(queued.job) is None
        }

    def overload(self, configuration: FleetConfiguration) -> dict[str, PoolOverload]:
        """Return the overloaded pools by name."""
        return self.shares.overload(self._timed_jobs(configuration), self.clock.now_ms())

    def _timed_jobs(self, configuration: FleetConfiguration) -> list[tuple[JobQueue, Job]]:
        """Return the open jobs without long-running steps, and their queues."""
        return [
            (queue, queued.job)
            for queued in self._queued.values()
            if not queued.is_long_running and queued.job.is_open
            if (queue := configuration.queue(queued.job.spec.queue)) is not None
        ]

    def ranked(
        self, configuration: FleetConfiguration, now_ms: int
    ) -> list[tuple[JobQueue, QueuedJob]]:
        """Return the jobs with ready tasks and their queues, the first to be served first."""
        ranked: list[tuple[SortKey, str, JobQueue, QueuedJob]] = []
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
                is_beyond_share=self.shares.level(queued.job) == ShareLevel.BEYOND,
            )
            ranked.append((job_rank.sort_key, queued.job.id, queue, queued))
        ranked.sort(key=lambda item: item[:2])
        return [(queue, queued) for _, _, queue, queued in ranked]

    def _ready(self, queued: QueuedJob, queue: JobQueue) -> list[Task]:
        job = queued.job
        if job.spec.occurrences > job.created_occurrences:
            created = job.created_occurrences
            create_due_occurrences(job, self.clock.wall_ms())
            if job.created_occurrences > created:
                queued.ready = None
        if queued.ready is None:
            queued.ready = list(ready_tasks(job))
            queued.max_attempts = None
            queued.deadline_ms = self.estimates.deadline_ms(job, queue)
            queued.remaining_ms = self.estimates.remaining_ms(job)
        else:
            queued.ready = [task for task in queued.ready if not (task.done or task.attempts)]
        return queued.ready

    def _has_failed(self, queued: QueuedJob, queue: JobQueue) -> bool:
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
