"""Tests of deadlines and remaining times of jobs."""

import pytest

from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.testing.job_builders import build_job, build_queue, build_step
from fireflydeck.workload import create_due_occurrences, occurrence_due_ms, start_attempt

_QUEUE = build_queue()


def _two_steps():
    return build_job(
        build_step(count=2, estimated_ms=1000),
        build_step(count=2, estimated_ms=500, depends_on=(0,)),
    )


def test_deadline_and_remaining_time_by_the_estimates():
    job, estimates = _two_steps(), WorkEstimates()
    assert estimates.deadline_ms(job, _QUEUE) == pytest.approx(1500 * 1.6 + 600)
    assert estimates.remaining_ms(job) == pytest.approx(1500)


def test_first_completed_task_sets_the_estimate_of_its_step():
    job, estimates = _two_steps(), WorkEstimates()
    task = job.tasks[f"{job.id}.0.0.0"]
    attempt = start_attempt(task, "s1", min_run=1, now_ms=0)
    estimates.record_completion(attempt, 400)
    assert estimates.remaining_ms(job) == pytest.approx(400 + 500)
    assert estimates.deadline_ms(job, _QUEUE) == pytest.approx(900 * 1.6 + 600)


def test_step_with_all_tasks_running_has_half_its_time_left():
    job, estimates = _two_steps(), WorkEstimates()
    for index in range(2):
        start_attempt(job.tasks[f"{job.id}.0.0.{index}"], "s1", min_run=1, now_ms=0)
    assert estimates.remaining_ms(job) == pytest.approx(500 + 500)


def test_each_occurrence_has_its_own_deadline():
    job = build_job(
        build_step(estimated_ms=1000),
        first_due_ms=5000,
        interval_ms=2000,
        occurrences=3,
        accepted_ms=1000,
    )
    create_due_occurrences(job, 8000)
    assert occurrence_due_ms(job, 1) == 6000
    estimates = WorkEstimates()
    assert estimates.deadline_ms(job, _QUEUE) == pytest.approx(4000 + 1600 + 600)
