"""In which order the jobs of a pool are served."""

from attrs import frozen

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.workload.specification import JobSpec

__all__ = ["JobRank", "longest_chain_ms", "objective_ms", "rank"]


@frozen(order=True)
class JobRank:
    """Smaller goes first: lasting work, then what can still be in time, by its deadline."""

    group: int
    priority: int
    deadline_ms: int


def longest_chain_ms(spec: JobSpec) -> int:
    """Return the longest chain of dependent steps by the caller's estimates, in milliseconds."""
    ends: list[int] = []
    for step in spec.steps:
        begin = max((ends[number] for number in step.depends_on), default=0)
        ends.append(begin + step.estimated_ms)
    return max(ends, default=0)


def objective_ms(spec: JobSpec, queue: JobQueue) -> int:
    """Return the time from the submission in which the job should be completed."""
    return int(longest_chain_ms(spec) * queue.slack_factor) + queue.target_latency_ms


def rank(*, deadline_ms: int, priority: int, is_lasting: bool, now_ms: int) -> JobRank:
    """Rank a job.

    Parameters
    ----------
    deadline_ms
        When the job should be completed, on the same clock as `now_ms`.
    """
    if is_lasting:
        return JobRank(0, priority, deadline_ms)
    return JobRank(1 if deadline_ms >= now_ms else 2, priority, deadline_ms)
