"""In which order the jobs of a pool are served."""

from collections.abc import Sequence

from attrs import frozen

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.workload.specification import StepSpec

__all__ = ["JobRank", "longest_chain_ms", "objective_ms", "rank"]

_NEW_JOB_MARGIN = 1.2
"""A job that has not begun needs this many times its expected time to count as possible."""


@frozen(order=True)
class JobRank:
    """Smaller goes first: long-running work, then what can still be in time, by its deadline.

    Of what can still be in time, jobs that have begun go first: the work done on them is lost if
    they become late.
    """

    group: int
    priority: int
    deadline_ms: float


def longest_chain_ms(steps: Sequence[StepSpec], durations_ms: Sequence[float]) -> float:
    """Return the longest chain of dependent steps, whose durations are given, in milliseconds."""
    ends: list[float] = []
    for step, duration_ms in zip(steps, durations_ms, strict=True):
        begin = max((ends[number] for number in step.depends_on), default=0.0)
        ends.append(begin + duration_ms)
    return max(ends, default=0.0)


def objective_ms(chain_ms: float, queue: JobQueue) -> float:
    """Return the time from the submission in which the job should be completed."""
    return chain_ms * queue.slack_factor + queue.target_latency_ms


def rank(
    *,
    deadline_ms: float,
    remaining_ms: float,
    priority: int,
    is_long_running: bool,
    has_begun: bool,
    now_ms: int,
) -> JobRank:
    """Rank a job.

    Parameters
    ----------
    deadline_ms
        When the job should be completed, on the same clock as `now_ms`.
    remaining_ms
        What the job still takes if all its tasks start as soon as they may.
    """
    if is_long_running:
        return JobRank(0, priority, deadline_ms)
    margin = 1.0 if has_begun else _NEW_JOB_MARGIN
    if now_ms + remaining_ms * margin > deadline_ms:
        return JobRank(3, priority, deadline_ms)
    return JobRank(1 if has_begun else 2, priority, deadline_ms)
