"""Work in sight and of late, by pool."""

import math

from attrs import frozen

from fireflydeck.workload.life import Job
from fireflydeck.workload.specification import JobSpec

__all__ = ["ArrivalRates", "PoolDemand", "job_core_s", "waiting_core_s"]

_CORE_SECOND = 1_000_000
"""Thousandths of a core, times milliseconds."""
_WINDOW_MS = 1500
"""Time over which arrivals are averaged; about the time of a move."""

_MEMORY_MS = 120_000
"""Time in which a remembered peak fades to about a third."""
_LEARNING_MS = 20_000
"""No peak is taken as known before this much was observed."""


@frozen
class PoolDemand:
    """Work that waits, in core-seconds, and arrivals, in core-seconds a second.

    Parameters
    ----------
    peak_cores
        Highest arrivals that are remembered; infinite while too little is known.
    """

    waiting_core_s: float = 0.0
    arriving_cores: float = 0.0
    peak_cores: float = math.inf


def job_core_s(spec: JobSpec) -> float:
    """Return the work of one occurrence of a job by the caller's estimates, in core-seconds."""
    work = sum(
        step.count * step.demand.cpu * step.estimated_ms
        for step in spec.steps
        if not step.long_running
    )
    return work / _CORE_SECOND


def waiting_core_s(job: Job) -> float:
    """Return the work of a job's tasks that are neither done nor at a backend server."""
    work = sum(
        task.step.demand.cpu * task.step.estimated_ms
        for task in job.tasks.values()
        if not (task.done or task.attempts or task.step.long_running)
    )
    return work / _CORE_SECOND


class ArrivalRates:
    """Exponential averages of the work that arrived, and their peaks, by pool.

    Parameters
    ----------
    since_ms
        When the observation began.
    """

    def __init__(self, since_ms: int) -> None:
        self._since_ms = since_ms
        self._rates: dict[str, tuple[float, int]] = {}
        self._peaks: dict[str, tuple[float, int]] = {}

    def add(self, pool: str, core_s: float, now_ms: int) -> None:
        """Count work that arrived now."""
        rate = self.rate(pool, now_ms) + core_s * 1000 / _WINDOW_MS
        self._rates[pool] = (rate, now_ms)
        if rate >= self.peak(pool, now_ms):
            self._peaks[pool] = (rate, now_ms)

    def known_peak(self, pool: str, now_ms: int) -> float:
        """Return the remembered peak; infinite as long as too little was observed."""
        if now_ms - self._since_ms < _LEARNING_MS:
            return math.inf
        return self.peak(pool, now_ms)

    def peak(self, pool: str, now_ms: int) -> float:
        """Return the highest rate so far, which fades over minutes."""
        peak, at_ms = self._peaks.get(pool, (0.0, now_ms))
        return peak * math.exp((at_ms - now_ms) / _MEMORY_MS)

    def rate(self, pool: str, now_ms: int) -> float:
        """Return the arrivals in core-seconds a second."""
        rate, at_ms = self._rates.get(pool, (0.0, now_ms))
        return rate * math.exp((at_ms - now_ms) / _WINDOW_MS)
