"""Tests of the cores that open jobs need."""

import pytest

from fireflydeck.core.placement import Resources
from fireflydeck.scheduling.demand import (
    Inflow,
    min_vms,
    needed_cores,
    required_labels,
    waiting_core_s,
)
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.testing.job_builders import build_job, build_step
from fireflydeck.workload import start_attempt

_ESTIMATES = WorkEstimates()


def _job():
    return build_job(build_step(count=10, demand=Resources(2000, 0), estimated_ms=600))


def test_waiting_work_excludes_running_tasks():
    job = _job()
    assert waiting_core_s(job, _ESTIMATES) == pytest.approx(12.0)
    start_attempt(next(iter(job.tasks.values())), "s", min_run=1, now_ms=0)
    assert waiting_core_s(job, _ESTIMATES) == pytest.approx(10.8)


@pytest.mark.parametrize(("left_ms", "cores"), [(6000, 2.0), (100, 8.0), (0, 3.0), (-500, 3.0)])
def test_needed_cores_depend_on_the_remaining_time(left_ms, cores):
    assert needed_cores(_job(), _ESTIMATES, left_ms=left_ms) == pytest.approx(cores)


def test_long_running_tasks_need_no_cores():
    job = build_job(build_step(count=5, long_running=True))
    assert needed_cores(job, _ESTIMATES, left_ms=1000) == 0
    assert waiting_core_s(job, _ESTIMATES) == 0


def test_arriving_short_jobs_count_before_a_backlog_forms():
    """Thirty jobs a second of twelve core-seconds each need 360 cores, even if completed."""
    inflow = Inflow()
    for number in range(60):
        cores = needed_cores(_job(), _ESTIMATES, left_ms=2000)
        inflow.add("paint", cores, objective_ms=2000, now_ms=number * 33)
    assert inflow.cores("paint", 1980) == pytest.approx(360, rel=0.02)
    assert inflow.cores("paint", 4000) == 0


def _inflow_of(times_ms):
    inflow = Inflow()
    for at_ms in times_ms:
        inflow.add("paint", 6.0, objective_ms=2000, now_ms=at_ms)
    return inflow


def test_turn_of_a_queue_is_known_by_its_rate_soon_after_it_began():
    """Eighty jobs a second of twelve core-seconds need 960 cores; VMs take two seconds to come."""
    inflow = _inflow_of(range(10_000, 10_600, 12))
    assert inflow.cores("paint", 10_599) < 320
    assert inflow.steady_cores("paint", 10_599) == pytest.approx(1000, rel=0.05)


@pytest.mark.parametrize(
    "times_ms",
    [[10_000] * 60, range(10_000, 10_600, 50), range(9000, 9900, 12)],
    ids=["burst at one instant", "too few for a rate", "turn that is over"],
)
def test_what_is_no_steady_rate(times_ms):
    assert _inflow_of(times_ms).steady_cores("paint", 10_599) == 0


def test_large_job_counts_over_its_own_time():
    inflow = Inflow()
    cores = needed_cores(_job(), _ESTIMATES, left_ms=12_000)
    inflow.add("carve", cores, objective_ms=12_000, now_ms=0)
    assert inflow.cores("carve", 11_000) == pytest.approx(1.0)


def test_limit_of_tasks_per_server_requires_vms():
    job = build_job(build_step(count=5, max_per_server=2), build_step(count=9))
    assert min_vms(job) == 3


def test_labels_of_open_steps():
    job = build_job(build_step(required_label="gpu"), build_step())
    assert required_labels(job) == {"gpu"}
