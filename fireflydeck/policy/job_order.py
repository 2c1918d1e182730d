"""Order in which the jobs of a pool are served."""

from collections.abc import Sequence

from attrs import frozen

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.workload.specification import StepSpec

__all__ = [
    "NEW_JOB_TIME_FACTOR",
    "JobRank",
    "SortKey",
    "is_on_time",
    "longest_chain_ms",
    "objective_ms",
    "rank_job",
]

NEW_JOB_TIME_FACTOR = 1.2
"""Factor on the remaining time of a job that has not started, when its deadline is checked."""

_LONG_RUNNING_GROUP = 0
_STARTED_GROUP = 1
_WITHIN_SHARE_GROUP = 2
_BEYOND_SHARE_GROUP = 3
_LATE_GROUP = 4

SortKey = tuple[int, int, float]
"""Group, priority and deadline of a job."""


@frozen(order=True)
class JobRank:
    """Sort key of a job; the job with the smallest rank is served first.

    Long-running jobs come first, then jobs that can still meet their deadline, then the others.
    Among those that can still meet it, jobs that have started come first, since the work done on
    them is lost if they become late, then new jobs within their organisation's share, then the
    other new ones. Within a group the order is by priority, then by deadline.
    """

    group: int
    priority: int
    deadline_ms: float

    @property
    def sort_key(self) -> SortKey:
        """Return the rank as a tuple, which sorts faster."""
        return self.group, self.priority, self.deadline_ms


def longest_chain_ms(steps: Sequence[StepSpec], durations_ms: Sequence[float]) -> float:
    """Return the duration of the longest chain of dependent steps, in milliseconds.

    Parameters
    ----------
    durations_ms
        Duration of each of the steps.
    """
    ends: list[float] = []
    for step, duration_ms in zip(steps, durations_ms, strict=True):
        start_ms = max((ends[number] for number in step.depends_on), default=0.0)
        ends.append(start_ms + duration_ms)
    return max(ends, default=0.0)


def objective_ms(chain_ms: float, queue: JobQueue) -> float:
    """Return the time from submission within which the job should complete, in milliseconds."""
    return chain_ms * queue.slack_factor + queue.target_latency_ms


def is_on_time(
    *, deadline_ms: float, remaining_ms: float, has_started: bool, now_ms: float
) -> bool:
    """Return whether a job can still meet its deadline; see `rank_job` for the parameters."""
    factor = 1.0 if has_started else NEW_JOB_TIME_FACTOR
    return now_ms + remaining_ms * factor <= deadline_ms


def rank_job(
    *,
    deadline_ms: float,
    remaining_ms: float,
    priority: int,
    is_long_running: bool,
    has_started: bool,
    now_ms: int,
    is_beyond_share: bool = False,
) -> JobRank:
    """Return the rank of a job.

    Parameters
    ----------
    deadline_ms
        Time by which the job should complete, on the same clock as `now_ms`.
    remaining_ms
        Time that the job still needs if each of its tasks starts as soon as it may.
    priority
        Priority of the job's queue; the smallest number is served first.
    is_beyond_share
        Whether the job's organisation had its share of a full pool already.
    """
    if is_long_running:
        return JobRank(_LONG_RUNNING_GROUP, priority, deadline_ms)
    if not is_on_time(
        deadline_ms=deadline_ms,
        remaining_ms=remaining_ms,
        has_started=has_started,
        now_ms=now_ms,
    ):
        return JobRank(_LATE_GROUP, priority, deadline_ms)
    if has_started:
        return JobRank(_STARTED_GROUP, priority, deadline_ms)
    group = _BEYOND_SHARE_GROUP if is_beyond_share else _WITHIN_SHARE_GROUP
    return JobRank(group, priority, deadline_ms)
