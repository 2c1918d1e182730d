"""Refusals of new jobs in an overloaded pool.

Load: an organisation sends 5 to 7 times its usual rate for 6 s to a pool that is full already.
"""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.policy.admission import decide_refusal
from fireflydeck.testing.job_builders import build_queue, build_spec, build_step

_QUEUE = build_queue()
_OBJECTIVE_MS = 600 * 1.6 + 600
_FULL = PoolOverload(60_000, {"museum": 0.0})


def _specs(number):
    return [build_spec(job_id=f"{index * 7919:016x}") for index in range(number)]


def test_job_is_refused_only_if_it_would_be_of_no_use():
    assert decide_refusal(build_spec(), _QUEUE, _FULL) is not None
    limit_ms = int(_OBJECTIVE_MS * 3)
    assert decide_refusal(build_spec(), _QUEUE, PoolOverload(limit_ms, {"museum": 0.0})) is None
    assert decide_refusal(build_spec(), _QUEUE, PoolOverload(limit_ms + 1, {"museum": 0.0}))


@pytest.mark.parametrize("overload", [None, PoolOverload(60_000, {"school": 0.0})])
def test_pool_without_overload_and_organisation_within_its_share_are_accepted(overload):
    assert decide_refusal(build_spec(), _QUEUE, overload) is None


@pytest.mark.parametrize(
    "spec",
    [
        build_spec(build_step(long_running=True)),
        build_spec(build_step(), build_step(estimated_ms=0)),
        build_spec(first_due_ms=1),
        build_spec(occurrences=3),
    ],
    ids=["long-running", "no estimate", "due later", "repeated"],
)
def test_job_without_an_objective_is_accepted(spec):
    assert decide_refusal(spec, _QUEUE, _FULL) is None


def test_chain_of_dependent_steps_counts_and_not_the_sum():
    """Guard against refusing wide jobs less often than deep ones of the same work."""
    parallel = build_spec(*[build_step() for _ in range(5)])
    chain = build_spec(
        *[build_step(depends_on=(number - 1,) if number else ()) for number in range(5)]
    )
    overload = PoolOverload(int(_OBJECTIVE_MS * 3) + 1, {"museum": 0.0})
    assert decide_refusal(parallel, _QUEUE, overload) is not None
    assert decide_refusal(chain, _QUEUE, overload) is None


@pytest.mark.parametrize("accepted", [0.0, 0.3, 0.8, 1.0])
def test_fraction_of_the_jobs_is_accepted(accepted):
    overload = PoolOverload(60_000, {"museum": accepted})
    refused = sum(decide_refusal(spec, _QUEUE, overload) is not None for spec in _specs(2000))
    assert refused / 2000 == pytest.approx(1 - accepted, abs=0.04)


def test_job_accepted_at_one_fraction_is_accepted_at_a_larger_one():
    """Guard against processes with different records that refuse and accept the same job by turns.

    Also against a rising fraction that leaves out jobs which were accepted before.
    """
    for spec in _specs(200):
        refused = [
            decide_refusal(spec, _QUEUE, PoolOverload(60_000, {"museum": step / 10})) is not None
            for step in range(11)
        ]
        assert refused == sorted(refused, reverse=True)


@given(wait_ms=st.integers(4681, 10**9), accepted=st.floats(0, 1))
def test_callers_are_told_to_return_within_bounds(wait_ms, accepted):
    overload = PoolOverload(wait_ms, {"museum": accepted})
    refusals = [decide_refusal(spec, _QUEUE, overload) for spec in _specs(50)]
    assert all(1 <= refusal.retry_after_s <= 10 for refusal in refusals if refusal)


@pytest.mark.parametrize(("wait_ms", "seconds"), [(5000, range(3, 8)), (60_000, range(5, 11))])
def test_callers_return_at_different_times(wait_ms, seconds):
    """Guard against a burst of refused jobs that comes back as a burst.

    The refused ones are not spread by the hash that selected them.
    """
    overload = PoolOverload(wait_ms, {"museum": 0.9})
    refusals = [decide_refusal(spec, _QUEUE, overload) for spec in _specs(4000)]
    counts = Counter(refusal.retry_after_s for refusal in refusals if refusal)
    assert sorted(counts) == list(seconds)
    assert max(counts.values()) < 2 * min(counts.values())
