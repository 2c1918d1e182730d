"""Pending work and the cores that it needs, by pool."""

from collections import deque

from attrs import frozen

from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Job

__all__ = [
    "Inflow",
    "PoolDemand",
    "min_vms",
    "needed_cores",
    "required_labels",
    "waiting_core_s",
]

_MILLICORE_MS_PER_CORE_S = 1_000_000
_MS_PER_S = 1000
_MIN_PLANNING_TIME_S = 1.5
"""Shortest time over which the work of a job is spread; about the time that a VM move takes."""
_OVERDUE_PLANNING_TIME_S = 4.0
"""Time over which the work of a job that missed its deadline is spread."""
_RATE_WINDOW_MS = 600
_MIN_ARRIVALS = 16
"""Fewer jobs in the window say too little about their rate."""
_MIN_HALF_FRACTION = 0.25
"""Smallest part of the jobs that must have arrived in each half of the window."""
_RUNNING_REMAINING_FRACTION = 0.5
"""Part of the work of a running task that is left on average."""


@frozen
class _Arrival:
    """An accepted job: time of its acceptance and its work in core-seconds."""

    at_ms: int
    core_s: float


@frozen
class PoolDemand:
    """Demand on a pool.

    Parameters
    ----------
    waiting_core_s
        Work of tasks that are neither running nor done, in core-seconds.
    needed_cores
        Cores with which both the open jobs and jobs at the current arrival rate would be completed
        in time: the larger of the two needs.
    steady_cores
        Cores that the jobs of the last moments need if they go on arriving so; see
        `Inflow.steady_cores`.
    min_vms
        Minimum number of VMs for the open jobs, from their limits on tasks per backend server.
    required_labels
        Labels that tasks of open jobs require.
    """

    waiting_core_s: float = 0.0
    needed_cores: float = 0.0
    steady_cores: float = 0.0
    min_vms: int = 0
    required_labels: frozenset[str] = frozenset()


def waiting_core_s(job: Job, estimates: WorkEstimates) -> float:
    """Return the work of the tasks of a job that are neither done nor sent to a backend server.

    Long-running tasks don't count.

    Returns
    -------
    float
        Work in core-seconds.
    """
    work = sum(
        task.step.demand.cpu * estimates.task_ms(task)
        for task in job.tasks.values()
        if not (task.done or task.attempts or task.step.long_running)
    )
    return work / _MILLICORE_MS_PER_CORE_S


def needed_cores(job: Job, estimates: WorkEstimates, *, left_ms: float) -> float:
    """Return the cores with which a job would be completed within `left_ms`.

    Long-running tasks don't count.
    """
    work = 0.0
    for task in job.tasks.values():
        if not (task.done or task.step.long_running):
            fraction = _RUNNING_REMAINING_FRACTION if task.attempts else 1.0
            work += fraction * task.step.demand.cpu * estimates.task_ms(task)
    left_s = left_ms / _MS_PER_S if left_ms > 0 else _OVERDUE_PLANNING_TIME_S
    return work / _MILLICORE_MS_PER_CORE_S / max(_MIN_PLANNING_TIME_S, left_s)


def min_vms(job: Job) -> int:
    """Return the minimum number of VMs of a job, from the limits on tasks per backend server."""
    required_vms = 0
    for (_, number), open_count in job.open_tasks.items():
        step = job.spec.steps[number]
        if step.max_per_server > 0:
            required_vms = max(required_vms, -(-open_count // step.max_per_server))
    return required_vms


def required_labels(job: Job) -> set[str]:
    """Return the labels that the open steps of a job require."""
    steps = (job.spec.steps[number] for (_, number), count in job.open_tasks.items() if count > 0)
    return {step.required_label for step in steps if step.required_label}


class Inflow:
    """Cores needed to complete arriving jobs in time, by pool.

    Each job counts as its work divided by its objective time. It counts for all of this time, even
    if it is completed sooner, because similar jobs are expected to follow.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, list[tuple[int, float]]] = {}
        self._arrivals: dict[str, deque[_Arrival]] = {}

    def add(self, pool: str, cores: float, *, objective_ms: float, now_ms: int) -> None:
        """Count an accepted job that needs `cores` to be completed in time."""
        duration_ms = max(int(_MIN_PLANNING_TIME_S * _MS_PER_S), int(objective_ms))
        self._jobs.setdefault(pool, []).append((now_ms + duration_ms, cores))
        arrival = _Arrival(now_ms, cores * duration_ms / _MS_PER_S)
        self._arrivals.setdefault(pool, deque()).append(arrival)

    def cores(self, pool: str, now_ms: int) -> float:
        """Return the cores that jobs need at the current arrival rate, and drop expired entries."""
        current = [item for item in self._jobs.get(pool, []) if item[0] > now_ms]
        self._jobs[pool] = current
        return sum(cores for _, cores in current)

    def steady_cores(self, pool: str, now_ms: int) -> float:
        """Return the cores that the jobs of the last moments need if they go on arriving so.

        Unlike `cores`, this does not rise over the jobs' objective time when a burst begins. It is
        0 while too few jobs arrive for a rate, or while they arrive at one instant.
        """
        arrivals = self._arrivals.get(pool, deque())
        while arrivals and arrivals[0].at_ms <= now_ms - _RATE_WINDOW_MS:
            arrivals.popleft()
        late = sum(arrival.at_ms > now_ms - _RATE_WINDOW_MS // 2 for arrival in arrivals)
        smaller_half = min(late, len(arrivals) - late)
        if len(arrivals) < _MIN_ARRIVALS or smaller_half < len(arrivals) * _MIN_HALF_FRACTION:
            return 0.0
        return sum(arrival.core_s for arrival in arrivals) * _MS_PER_S / _RATE_WINDOW_MS
