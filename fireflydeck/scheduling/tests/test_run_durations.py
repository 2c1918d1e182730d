"""Learning of durations. Load: short tasks end first, and some tasks last seven times as long."""

import pytest

from fireflydeck.scheduling.run_durations import RunDurations
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.testing.job_builders import build_job, build_step
from fireflydeck.workload.lifecycle import confirm_attempt, remove_attempt, start_attempt


def _begin(durations, job, count):
    tasks = list(job.tasks.values())[:count]
    attempts = [start_attempt(task, "s1", min_run=1, now_ms=0) for task in tasks]
    for attempt in attempts:
        durations.begin(attempt)
    return attempts


def _complete(durations, attempt, took_ms):
    durations.complete(attempt, took_ms)
    remove_attempt(attempt, took_ms)


def _job(**step):
    return build_job(build_step(**{"count": 8, "speculative": True, **step}))


def test_median_of_a_step_counts_its_running_tasks():
    """Guards against a median of the short tasks alone, which makes the others look slow."""
    durations, job = RunDurations(WorkEstimates()), _job()
    attempts = _begin(durations, job, 8)
    for attempt, took_ms in zip(attempts, (300, 400, 500), strict=False):
        _complete(durations, attempt, took_ms)
    assert durations.progress(attempts[7], 900).expected_ms == 600
    _complete(durations, attempts[3], 900)
    assert durations.progress(attempts[7], 1000).expected_ms == 900


def test_spread_of_a_step_is_learned_when_its_job_is_closed():
    """Guards against a spread without the first, short runs of each step."""
    durations = RunDurations(WorkEstimates())
    for _ in range(3):
        job = _job()
        for attempt, took_ms in zip(
            _begin(durations, job, 8), (400, 500, 600, 600, 600, 700, 800, 4200), strict=True
        ):
            _complete(durations, attempt, took_ms)
        durations.forget(job)
    job = _job()
    attempts = _begin(durations, job, 8)
    for attempt in attempts[:4]:
        _complete(durations, attempt, 600)
    curve = durations.progress(attempts[7], 700).curve
    assert curve.quantile(0.1) == pytest.approx(400 / 600)
    assert curve.quantile(0.9) == pytest.approx(7)


def test_lost_run_counts_as_longer_than_it_has_run():
    durations, job = RunDurations(WorkEstimates()), _job()
    attempts = _begin(durations, job, 8)
    for attempt in attempts[:3]:
        _complete(durations, attempt, 600)
    for attempt in attempts[3:7]:
        assert durations.cut_off(attempt, 500)
    assert durations.progress(attempts[7], 600).expected_ms == 600
    for attempt in attempts[:7]:
        assert not durations.cut_off(attempt, 900)


def test_resumed_and_adopted_runs_teach_no_duration():
    """Both would look short: one began with a part of the work done, one before its adoption."""
    durations, job = RunDurations(WorkEstimates()), _job(checkpointing=True)
    tasks = list(job.tasks.values())
    for task in tasks:
        task.checkpoint = "half"
    for attempt in _begin(durations, job, 4):
        _complete(durations, attempt, 100)
    for task in tasks[4:7]:
        adopted = confirm_attempt(task, 1, "s1", 0)
        durations.begin(adopted)
        _complete(durations, adopted, 100)
    last = _begin(durations, _job(), 1)[0]
    run = durations.progress(last, 100)
    assert run.expected_ms == 600
    assert run.curve.ends == ()
