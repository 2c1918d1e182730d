"""Work in sight, and the cores that it needs, by pool."""

from attrs import frozen

from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.life import Job

__all__ = [
    "Inflow",
    "PoolDemand",
    "least_vms",
    "needed_cores",
    "required_labels",
    "waiting_core_s",
]

_CORE_SECOND = 1_000_000
"""Thousandths of a core, times milliseconds."""
_MS_PER_S = 1000
_LEAST_TIME_S = 1.5
"""A job near its deadline is planned over at least this time; about that of a move."""
_LATE_TIME_S = 4.0
"""Time over which a job that is late already is planned."""
_RUNNING_SHARE = 0.5
"""Part of its work that a running task still has to do, on average."""


@frozen
class PoolDemand:
    """Demand of a pool.

    Parameters
    ----------
    waiting_core_s
        Work that neither runs nor is done, in core-seconds.
    needed_cores
        Cores with which the open jobs would be done in time.
    least_vms
        VMs that a job needs whose tasks may be only so many on one.
    required_labels
        Labels that tasks of open jobs require.
    """

    waiting_core_s: float = 0.0
    needed_cores: float = 0.0
    least_vms: int = 0
    required_labels: frozenset[str] = frozenset()


def waiting_core_s(job: Job, estimates: WorkEstimates) -> float:
    """Return the work of a job's tasks that are neither done nor at a backend server."""
    work = sum(
        task.step.demand.cpu * estimates.task_ms(task)
        for task in job.tasks.values()
        if not (task.done or task.attempts or task.step.long_running)
    )
    return work / _CORE_SECOND


def needed_cores(job: Job, estimates: WorkEstimates, *, left_ms: float) -> float:
    """Return the cores with which a job would be done in the time that is left for it."""
    work = 0.0
    for task in job.tasks.values():
        if not (task.done or task.step.long_running):
            share = _RUNNING_SHARE if task.attempts else 1.0
            work += share * task.step.demand.cpu * estimates.task_ms(task)
    left_s = left_ms / _MS_PER_S if left_ms > 0 else _LATE_TIME_S
    return work / _CORE_SECOND / max(_LEAST_TIME_S, left_s)


def least_vms(job: Job) -> int:
    """Return the VMs over which the widest open step of a job has to spread."""
    widest = 0
    for (_, number), open_count in job.open_tasks.items():
        step = job.spec.steps[number]
        if step.max_per_server > 0:
            widest = max(widest, -(-open_count // step.max_per_server))
    return widest


def required_labels(job: Job) -> set[str]:
    """Return the labels that the open steps of a job require."""
    steps = (job.spec.steps[number] for (_, number), count in job.open_tasks.items() if count > 0)
    return {step.required_label for step in steps if step.required_label}


class Inflow:
    """Cores with which jobs as they come in are done in time, by pool.

    Each job counts with its work over the time of its objective, for that time, whether it is done
    sooner or not: jobs of its kind will follow.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, list[tuple[int, float]]] = {}

    def add(self, pool: str, cores: float, *, objective_ms: float, now_ms: int) -> None:
        """Count a job that was accepted and needs `cores` to be done in time."""
        until_ms = now_ms + max(int(_LEAST_TIME_S * _MS_PER_S), int(objective_ms))
        self._jobs.setdefault(pool, []).append((until_ms, cores))

    def cores(self, pool: str, now_ms: int) -> float:
        """Return the cores that jobs need as they come in now."""
        current = [item for item in self._jobs.get(pool, []) if item[0] > now_ms]
        self._jobs[pool] = current
        return sum(cores for _, cores in current)
