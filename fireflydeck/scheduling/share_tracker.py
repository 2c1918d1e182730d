"""Share levels of jobs: whether a job belongs to its organisation's share of a full pool."""

from collections import Counter, deque
from collections.abc import Iterable
from enum import IntEnum

from attrs import define, field, frozen

from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.policy.fair_share import ShareClaim, divide_fairly, is_within_share
from fireflydeck.policy.job_order import NEW_JOB_TIME_FACTOR
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Job

__all__ = ["ShareLevel", "ShareTracker", "has_weighted_shares"]

_MS_PER_S = 1000
_MILLICORE_MS_PER_CORE_S = 1_000_000
_RUNNING_REMAINING_FRACTION = 0.5
"""Part of the work of running tasks that is left on average."""
_OVERLOAD_WINDOW_MS = 2000
"""Time after a job was beyond its organisation's share in which its pool counts as overloaded."""
_MIN_WEIGHT = 1e-3
"""Weight used for organisations without one; they still get a small share."""


class ShareLevel(IntEnum):
    """Place of a job relative to its organisation's share; the lowest level is served first."""

    WITHIN = 0
    BEYOND = 1


@frozen
class _Assignment:
    """A job that got its share level, at a time on the process's clock."""

    at_ms: int
    organisation: str
    level: ShareLevel


def has_weighted_shares(configuration: FleetConfiguration) -> bool:
    """Return whether the configuration gives organisations different weights."""
    return len({organisation.weight for organisation in configuration.organisations}) > 1


@define(eq=False, kw_only=True)
class ShareTracker:
    """Tracker that assigns each job its share level when it is first considered for a start.

    A job is within its organisation's share if the outstanding work of such jobs leaves the pool
    enough time for it, or if its organisation has less than its fair share of that work. The level
    of a job does not change, so that two organisations do not displace each other's jobs in turns.
    """

    estimates: WorkEstimates
    log: EventLog
    metrics: Metrics
    _levels: dict[str, ShareLevel] = field(factory=dict, init=False)
    _recent: dict[str, deque[_Assignment]] = field(factory=dict, init=False)
    _cores: dict[str, float] = field(factory=dict, init=False)

    def level(self, job: Job) -> ShareLevel | None:
        """Return the share level of a job, or `None` if it has none yet."""
        return self._levels.get(job.id)

    def forget(self, job: Job) -> None:
        """Remove a job."""
        self._levels.pop(job.id, None)

    def assign(
        self,
        configuration: FleetConfiguration,
        jobs: Iterable[tuple[JobQueue, Job]],
        cores: dict[str, float],
        now_ms: int,
    ) -> None:
        """Assign levels to the jobs that have none, in the order of their acceptance.

        Parameters
        ----------
        jobs
            Open jobs without long-running steps, and their queues.
        cores
            Cores for such jobs, by pool; jobs of other pools get no level yet.
        """
        by_pool: dict[str, list[tuple[JobQueue, Job]]] = {}
        for queue, job in jobs:
            if cores.get(queue.pool, 0.0) > 0:
                by_pool.setdefault(queue.pool, []).append((queue, job))
        for pool, members in by_pool.items():
            new = [(queue, job) for queue, job in members if job.id not in self._levels]
            if not new:
                continue
            self._cores[pool] = cores[pool]
            claims = self._claims(configuration, (job for _, job in members))
            for queue, job in sorted(new, key=lambda item: (item[1].accepted_at_ms, item[1].id)):
                self._assign_level(queue, job, claims, cores=cores[pool], now_ms=now_ms)
            self._publish(pool, claims, cores[pool])

    def _claims(
        self, configuration: FleetConfiguration, jobs: Iterable[Job]
    ) -> dict[str, ShareClaim]:
        """Return the outstanding work within the shares, for all organisations with open jobs."""
        work: dict[str, float] = {}
        for job in jobs:
            is_within = self._levels.get(job.id) == ShareLevel.WITHIN
            amount = self._outstanding_core_s(job) if is_within else 0.0
            name = job.spec.organisation
            work[name] = work.get(name, 0.0) + amount
        claims: dict[str, ShareClaim] = {}
        for name, amount in work.items():
            known = configuration.organisation(name)
            weight = max(_MIN_WEIGHT, known.weight if known is not None else 0.0)
            claims[name] = ShareClaim(weight=weight, demand=amount)
        return claims

    def _assign_level(
        self,
        queue: JobQueue,
        job: Job,
        claims: dict[str, ShareClaim],
        *,
        cores: float,
        now_ms: int,
    ) -> None:
        """Assign a level to a job, and add its work to the claims if it is within the share."""
        needed_ms = self.estimates.remaining_ms(job) * NEW_JOB_TIME_FACTOR
        slack_ms = max(0.0, self.estimates.deadline_ms(job, queue) - now_ms - needed_ms)
        work = self._outstanding_core_s(job)
        capacity = cores * slack_ms / _MS_PER_S
        name = job.spec.organisation
        if is_within_share(name, work, capacity=capacity, claims=claims):
            self._set_level(queue, job, ShareLevel.WITHIN, now_ms)
            own = claims[name]
            claims[name] = ShareClaim(weight=own.weight, demand=own.demand + work)
            return
        self._set_level(queue, job, ShareLevel.BEYOND, now_ms)
        self.metrics.count("jobs_beyond_share_total", pool=queue.pool, organisation=name)
        self.log.emit(
            Event.JOB_BEYOND_SHARE,
            job=job.id,
            organisation=name,
            pool=queue.pool,
            work_core_s=round(work, 1),
            organisation_core_s=round(claims[name].demand, 1),
            all_core_s=round(sum(claim.demand for claim in claims.values()), 1),
            pool_core_s=round(capacity, 1),
        )

    def _set_level(self, queue: JobQueue, job: Job, level: ShareLevel, now_ms: int) -> None:
        self._levels[job.id] = level
        assignment = _Assignment(now_ms, job.spec.organisation, level)
        self._recent.setdefault(queue.pool, deque()).append(assignment)

    def overload(
        self, jobs: Iterable[tuple[JobQueue, Job]], now_ms: int
    ) -> dict[str, PoolOverload]:
        """Return the overloaded pools: those in which a recent job was beyond its share.

        Parameters
        ----------
        jobs
            Open jobs without long-running steps, and their queues.
        """
        accepted = {
            pool: _accepted_fractions(assignments, now_ms)
            for pool, assignments in self._recent.items()
        }
        work: Counter[str] = Counter()
        for queue, job in jobs:
            if accepted.get(queue.pool):
                work[queue.pool] += self._outstanding_core_s(job)
        return {
            pool: PoolOverload(int(amount / self._cores[pool] * _MS_PER_S), accepted[pool])
            for pool, amount in work.items()
        }

    def _publish(self, pool: str, claims: dict[str, ShareClaim], cores: float) -> None:
        """Set the gauges of the used and the due share, for one second of the pool's cores."""
        due = divide_fairly(cores, claims)
        for name, claim in claims.items():
            labels = {"pool": pool, "organisation": name}
            self.metrics.set("share_used_core_seconds", claim.demand, **labels)
            self.metrics.set("share_due_core_seconds", due[name], **labels)

    def _outstanding_core_s(self, job: Job) -> float:
        """Return the work of the tasks of a job that are not done, in core-seconds."""
        if job.open_task_count == 0:
            return 0.0
        work = sum(
            count * job.spec.steps[step].demand.cpu * self.estimates.step_ms(job, occurrence, step)
            for (occurrence, step), count in job.open_tasks.items()
            if count > 0
        )
        running = min(1.0, job.attempt_count / job.open_task_count)
        return work * (1 - running * (1 - _RUNNING_REMAINING_FRACTION)) / _MILLICORE_MS_PER_CORE_S


def _accepted_fractions(assignments: deque[_Assignment], now_ms: int) -> dict[str, float]:
    """Return the recent fraction of jobs within the share, for organisations beyond theirs.

    Assignments that are not recent are removed.
    """
    while assignments and assignments[0].at_ms <= now_ms - _OVERLOAD_WINDOW_MS:
        assignments.popleft()
    all_jobs = Counter(item.organisation for item in assignments)
    beyond = Counter(item.organisation for item in assignments if item.level == ShareLevel.BEYOND)
    return {name: 1 - count / all_jobs[name] for name, count in beyond.items()}
