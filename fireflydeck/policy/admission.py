"""Decision to refuse a new job while its pool has more work than it can do in time."""

from hashlib import blake2b
from math import ceil

from attrs import frozen

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.policy.job_order import longest_chain_ms, objective_ms
from fireflydeck.workload.specification import JobSpec

__all__ = ["JobRefusal", "decide_refusal"]

_USELESS_AFTER_OBJECTIVES = 3
"""A job is of no use any more after this many times its objective."""
_MIN_RETRY_S = 1
_MAX_RETRY_S = 10
_MIN_RETRY_SPREAD_S = 2
_MS_PER_S = 1000
_HASH_BYTES = 4
_HASH_RANGE = 2 ** (8 * _HASH_BYTES)


@frozen
class JobRefusal:
    """Refusal of a job and what it was decided by, for the answer and the log.

    Parameters
    ----------
    retry_after_s
        Time after which the caller may try again, in seconds.
    """

    retry_after_s: int
    wait_ms: int
    objective_ms: int
    accepted: float


def decide_refusal(
    spec: JobSpec, queue: JobQueue, overload: PoolOverload | None
) -> JobRefusal | None:
    """Return the refusal of a new job, or `None` if it is accepted.

    The decision depends on the arguments only, so that all entry processes decide alike, also when
    the job is submitted again. Jobs without an objective are accepted: those that run until they
    are cancelled, those with a schedule, and those for which a step has no estimate.

    Parameters
    ----------
    overload
        Overload of the queue's pool; `None` if it is not overloaded.

    Examples
    --------
    >>> from fireflydeck.core.placement import Resources
    >>> from fireflydeck.workload.specification import StepSpec
    >>> queue = JobQueue(name="q", host="h", path_prefix="/q/", pool="p", target_latency_ms=500)
    >>> step = StepSpec(count=1, demand=Resources(1, 1), estimated_ms=1000)
    >>> spec = JobSpec(job_id="a1", queue="q", organisation="o", payload="", steps=(step,))
    >>> decide_refusal(spec, queue, PoolOverload(4500, {"o": 0.0})) is None
    True
    >>> decide_refusal(spec, queue, PoolOverload(4501, {"o": 0.0})).objective_ms
    1500
    """
    if overload is None or spec.organisation not in overload.accepted:
        return None
    if _has_no_objective(spec):
        return None
    chain_ms = longest_chain_ms(spec.steps, [step.estimated_ms for step in spec.steps])
    job_objective_ms = objective_ms(chain_ms, queue)
    if overload.wait_ms <= job_objective_ms * _USELESS_AFTER_OBJECTIVES:
        return None
    accepted = overload.accepted[spec.organisation]
    digest = blake2b(spec.job_id.encode(), digest_size=2 * _HASH_BYTES).digest()
    if _unit_interval(digest[:_HASH_BYTES]) < accepted:
        return None
    retry_after_s = _retry_after_s(overload.wait_ms, _unit_interval(digest[_HASH_BYTES:]))
    return JobRefusal(retry_after_s, overload.wait_ms, int(job_objective_ms), accepted)


def _has_no_objective(spec: JobSpec) -> bool:
    if spec.first_due_ms > 0 or spec.occurrences > 0:
        return True
    return any(step.long_running or step.estimated_ms <= 0 for step in spec.steps)


def _unit_interval(digest: bytes) -> float:
    """Return a number from 0 up to but excluding 1."""
    return int.from_bytes(digest, "big") / _HASH_RANGE


def _retry_after_s(wait_ms: int, position: float) -> int:
    """Return a time between half and one and a half of the wait, within the bounds.

    Parameters
    ----------
    position
        Position in that range; it differs between jobs, so that their callers do not return at
        the same time.
    """
    wait_s = min(_MAX_RETRY_S, wait_ms / _MS_PER_S)
    earliest_s = max(_MIN_RETRY_S, ceil(wait_s / 2))
    latest_s = min(_MAX_RETRY_S, max(earliest_s + _MIN_RETRY_SPREAD_S, int(wait_s * 1.5)))
    return earliest_s + int(position * (latest_s - earliest_s + 1))
