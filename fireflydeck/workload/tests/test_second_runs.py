"""Second runs of a task: which is the copy, checkpoints of both, runs that may be unknown.

Guarded failures: the copy's checkpoint replaces a later one, a holder takes the first run for the
copy, and two runs of a task count once towards a limit.
"""

import pytest

from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.testing.job_builders import build_job, build_step
from fireflydeck.workload.lifecycle import (
    confirm_attempt,
    record_run_end,
    start_attempt,
    tasks_of_unknown_runs,
)


def _task(**step):
    job = build_job(build_step(**{"speculative": True, "checkpointing": True, **step}))
    return next(iter(job.tasks.values()))


def _end(task, run, end, checkpoint=""):
    record_run_end(task, EndedRun(1, task.name, run, end, checkpoint), max_attempts=3, now_ms=0)


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_adopted_run_with_the_higher_number_is_the_copy(order):
    task = _task()
    for run in order:
        confirm_attempt(task, run, f"s{run}", 0)
    assert [task.attempts[run].is_copy for run in (1, 2)] == [False, True]


def test_later_run_of_another_step_is_no_copy():
    task = _task(speculative=False)
    assert not any(confirm_attempt(task, run, "s1", 0).is_copy for run in (1, 2))


def test_copy_starts_from_the_latest_checkpoint():
    task = _task()
    assert not start_attempt(task, "s1", min_run=1, now_ms=0).is_resumed
    task.checkpoint = "half"
    assert start_attempt(task, "s2", min_run=1, now_ms=0).is_resumed


@pytest.mark.parametrize(("ended_run", "checkpoint"), [(1, "of run 1"), (2, "half")])
def test_checkpoint_of_the_copy_is_not_kept_while_the_first_run_is_active(ended_run, checkpoint):
    task = _task()
    task.checkpoint = "half"
    for run in (1, 2):
        start_attempt(task, f"s{run}", min_run=run, now_ms=0)
    _end(task, ended_run, RunEnd.STOPPED, f"of run {ended_run}")
    assert task.checkpoint == checkpoint


def test_each_task_may_have_two_unknown_runs_until_it_is_known_to_have_them():
    task = _task()
    assert list(tasks_of_unknown_runs(task.job)) == [task, task]
    start_attempt(task, "s1", min_run=1, now_ms=0)
    assert list(tasks_of_unknown_runs(task.job)) == [task]
    start_attempt(task, "s2", min_run=1, now_ms=0)
    assert list(tasks_of_unknown_runs(task.job)) == []
    _end(task, 1, RunEnd.DONE)
    _end(task, 2, RunEnd.DONE)
    assert list(tasks_of_unknown_runs(task.job)) == [task]


def test_task_of_another_step_may_have_one_unknown_run():
    task = _task(speculative=False)
    assert list(tasks_of_unknown_runs(task.job)) == [task]
