"""Load: one organisation submits far more than a pool can do, beside others that submit little."""

import pytest

from fireflydeck.core.fleet_configuration import FleetConfiguration, JobOrganisation
from fireflydeck.core.placement import Resources
from fireflydeck.kernel import Metrics
from fireflydeck.scheduling.share_tracker import ShareLevel, ShareTracker, has_weighted_shares
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.testing.job_builders import build_job, build_queue, build_step
from fireflydeck.testing.recording_log import RecordingLog

_CORES = 32.0
_QUEUE = build_queue()
_LARGE_STEP = build_step(count=8, demand=Resources(4000, 1000), estimated_ms=1000)


def _organisation(name, weight):
    return JobOrganisation(name=name, keys=frozenset(), weight=weight)


_CONFIGURATION = FleetConfiguration(
    version=1, organisations=(_organisation("flood", 3), _organisation("small", 1))
)


def _jobs(organisation, count, first=0, **fields):
    return [
        build_job(_LARGE_STEP, job_id=f"{first + number:016x}", organisation=organisation)
        for number in range(count)
    ]


def _tracker():
    return ShareTracker(estimates=WorkEstimates(), log=RecordingLog(), metrics=Metrics())


def _assign(tracker, jobs):
    tracker.assign(_CONFIGURATION, [(_QUEUE, job) for job in jobs], {"paint": _CORES}, 0)


def _count(tracker, jobs, level):
    return sum(tracker.level(job) == level for job in jobs)


def test_jobs_that_the_pool_can_do_in_time_are_all_within_the_shares():
    tracker, jobs = _tracker(), _jobs("flood", 1) + _jobs("small", 1, first=100)
    _assign(tracker, jobs)
    assert _count(tracker, jobs, ShareLevel.WITHIN) == 2


def test_flood_is_limited_and_the_small_organisation_keeps_its_share():
    tracker = _tracker()
    flood = _jobs("flood", 30)
    _assign(tracker, flood)
    assert 0 < _count(tracker, flood, ShareLevel.WITHIN) < 5
    small = _jobs("small", 1, first=100)
    _assign(tracker, flood + small)
    assert tracker.level(small[0]) == ShareLevel.WITHIN


def test_level_of_a_job_stays():
    """Two organisations at their shares would otherwise displace each other's jobs in turns."""
    tracker, jobs = _tracker(), _jobs("flood", 30)
    _assign(tracker, jobs)
    before = [tracker.level(job) for job in jobs]
    for job in jobs[:2]:
        job.open_tasks.clear()
        job.open_task_count = 0
    _assign(tracker, jobs)
    assert [tracker.level(job) for job in jobs] == before


def test_next_holder_assigns_the_same_levels():
    """The levels are not stored: a holder that reads the same open jobs computes them again."""
    jobs = _jobs("flood", 30) + _jobs("small", 3, first=100)
    first, second = _tracker(), _tracker()
    _assign(first, jobs)
    _assign(second, list(reversed(jobs)))
    assert [first.level(job) for job in jobs] == [second.level(job) for job in jobs]


def test_overload_names_the_organisation_beyond_its_share_and_ends():
    """Entry processes refuse jobs by these figures; they must not outlast the flood."""
    tracker, jobs = _tracker(), _jobs("flood", 30) + _jobs("small", 1, first=100)
    _assign(tracker, jobs)
    open_jobs = [(_QUEUE, job) for job in jobs]
    overload = tracker.overload(open_jobs, 500)["paint"]
    assert overload.wait_ms == 31 * 32 / _CORES * 1000
    assert set(overload.accepted) == {"flood"}
    assert 0 < overload.accepted["flood"] < 0.2
    assert tracker.overload(open_jobs, 3000) == {}


def test_pool_without_servers_assigns_no_level_yet():
    tracker, jobs = _tracker(), _jobs("flood", 2)
    tracker.assign(_CONFIGURATION, [(_QUEUE, job) for job in jobs], {}, 0)
    assert [tracker.level(job) for job in jobs] == [None, None]


@pytest.mark.parametrize(("weights", "expected"), [((1, 1), False), ((1, 2), True)])
def test_shares_are_used_only_if_weights_differ(weights, expected):
    organisations = tuple(
        _organisation(str(number), weight) for number, weight in enumerate(weights)
    )
    configuration = FleetConfiguration(version=1, organisations=organisations)
    assert has_weighted_shares(configuration) is expected
