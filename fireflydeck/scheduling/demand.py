"""Work in sight, and the cores that it needs, by pool."""

from attrs import frozen

from fireflydeck.workload.life import Job

__all__ = ["PoolDemand", "needed_cores", "waiting_core_s"]

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
    """

    waiting_core_s: float = 0.0
    needed_cores: float = 0.0


def waiting_core_s(job: Job) -> float:
    """Return the work of a job's tasks that are neither done nor at a backend server."""
    work = sum(
        task.step.demand.cpu * task.step.estimated_ms
        for task in job.tasks.values()
        if not (task.done or task.attempts or task.step.long_running)
    )
    return work / _CORE_SECOND


def needed_cores(job: Job, *, left_ms: int) -> float:
    """Return the cores with which a job would be done in the time that is left for it."""
    work = 0.0
    for task in job.tasks.values():
        if not (task.done or task.step.long_running):
            share = _RUNNING_SHARE if task.attempts else 1.0
            work += share * task.step.demand.cpu * task.step.estimated_ms
    left_s = left_ms / _MS_PER_S if left_ms > 0 else _LATE_TIME_S
    return work / _CORE_SECOND / max(_LEAST_TIME_S, left_s)
