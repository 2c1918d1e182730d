"""Run time estimates by queue and organisation from finished tasks.

Run times that callers declare are not used.
"""

from attrs import define, field

__all__ = ["DEFAULT_RUN_TIME_MS", "RunTimeEstimates"]

DEFAULT_RUN_TIME_MS = 100.0
"""Estimate for a queue without a finished task."""

_SMOOTHING = 0.2


@define
class RunTimeEstimates:
    """Exponentially weighted mean run times by queue and organisation.

    Examples
    --------
    >>> estimates = RunTimeEstimates()
    >>> estimates.learn("records", "museum", 40)
    >>> estimates.run_time_ms("records", "museum"), estimates.run_time_ms("records", "school")
    (40.0, 40.0)
    """

    _by_organisation: dict[tuple[str, str], float] = field(factory=dict, init=False)
    _by_queue: dict[str, float] = field(factory=dict, init=False)

    def run_time_ms(self, queue: str, organisation: str) -> float:
        """Return the expected run time in milliseconds.

        For an organisation without a finished task in the queue, it is the mean of the queue.
        """
        mean = self._by_organisation.get((queue, organisation))
        return mean if mean is not None else self._by_queue.get(queue, DEFAULT_RUN_TIME_MS)

    def is_known(self, queue: str) -> bool:
        """Return whether a task of the queue has finished."""
        return queue in self._by_queue

    def learn(self, queue: str, organisation: str, run_time_ms: float) -> None:
        """Add the run time of a finished task to the means."""
        self._by_organisation[queue, organisation] = _smooth(
            self._by_organisation.get((queue, organisation)), run_time_ms
        )
        self._by_queue[queue] = _smooth(self._by_queue.get(queue), run_time_ms)


def _smooth(mean: float | None, sample: float) -> float:
    return float(sample) if mean is None else mean + _SMOOTHING * (sample - mean)
