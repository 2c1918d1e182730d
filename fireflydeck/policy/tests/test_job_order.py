"""Order of the jobs of a pool."""

import pytest

from fireflydeck.policy.job_order import longest_chain_ms, objective_ms, rank_job
from fireflydeck.testing.job_builders import build_queue, build_spec, build_step

_QUEUE = build_queue()


def _rank(deadline_ms, **fields):
    known = {
        "priority": 0,
        "is_long_running": False,
        "now_ms": 1000,
        "remaining_ms": 0,
        "has_started": False,
    }
    return rank_job(deadline_ms=deadline_ms, **{**known, **fields})


@pytest.mark.parametrize(
    ("steps", "chain_ms"),
    [
        ([{"estimated_ms": 700}], 700),
        ([{"estimated_ms": 700}, {"estimated_ms": 300}], 700),
        ([{"estimated_ms": 700}, {"estimated_ms": 300, "depends_on": (0,)}], 1000),
    ],
)
def test_longest_chain(steps, chain_ms):
    spec = build_spec(*(build_step(**step) for step in steps))
    durations = [step["estimated_ms"] for step in steps]
    assert longest_chain_ms(spec.steps, durations) == chain_ms


def test_objective_grows_with_the_chain():
    assert objective_ms(1000, _QUEUE) == pytest.approx(2200)


def test_nearest_deadline_goes_first():
    assert _rank(1500) < _rank(2000)


def test_jobs_that_can_meet_their_deadline_go_before_late_ones():
    """In a burst of five times the mean load, late jobs wait, since they would delay all others."""
    assert _rank(5000) < _rank(900)


def test_jobs_that_cannot_meet_their_deadline_wait_before_they_are_late():
    """A burst of five times the mean load, served by nearest deadline, misses all deadlines."""
    cannot_meet_deadline = _rank(1500, remaining_ms=800)
    assert _rank(5000, remaining_ms=800) < cannot_meet_deadline


def test_started_jobs_go_before_new_ones():
    assert _rank(5000, remaining_ms=800, has_started=True) < _rank(2500, remaining_ms=800)


def test_new_job_needs_a_margin():
    assert _rank(1900, remaining_ms=800, has_started=True) < _rank(5000, remaining_ms=800)
    assert _rank(5000, remaining_ms=800) < _rank(1900, remaining_ms=800)


def test_long_running_work_goes_first():
    assert _rank(9000, is_long_running=True) < _rank(1001)


def test_urgent_queues_go_first_among_those_in_time():
    assert _rank(9000, priority=0) < _rank(1001, priority=1)


def test_new_jobs_within_the_share_go_before_those_beyond():
    """Load: one organisation floods a full pool."""
    assert _rank(5000, remaining_ms=800) < _rank(3000, remaining_ms=800, is_beyond_share=True)
    assert _rank(3000, remaining_ms=800, is_beyond_share=True) < _rank(900)


def test_started_job_beyond_the_share_is_finished():
    """Jobs that stop half-way take the capacity of a mildly overloaded pool without any result."""
    started = _rank(5000, remaining_ms=800, is_beyond_share=True, has_started=True)
    assert started < _rank(3000, remaining_ms=800)
