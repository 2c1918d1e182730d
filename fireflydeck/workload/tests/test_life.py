"""Lifecycle of jobs with events that arrive in order, twice, late or not at all."""

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.strategies import data, integers

from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.testing.job_builders import JOB_ID, build_job, build_spec, build_step
from fireflydeck.workload.lifecycle import (
    AttemptPhase,
    Job,
    JobOutcome,
    confirm_attempt,
    create_due_occurrences,
    job_state,
    ready_tasks,
    record_run_end,
    remove_attempt,
    restore_progress,
    start_attempt,
)
from fireflydeck.workload.progress import decode_progress, encode_progress
from fireflydeck.workload.specification import decode_job_spec, encode_job_spec

_MAX_ATTEMPTS = 2


def _names(job):
    return [task.name.removeprefix(JOB_ID) for task in ready_tasks(job)]


def _end(task, run, end, number=1):
    ended = EndedRun(number, task.name, run, end, "")
    return record_run_end(task, ended, max_attempts=_MAX_ATTEMPTS, now_ms=0)


def _task(job, step=0, index=0):
    return job.tasks[f"{job.id}.0.{step}.{index}"]


def test_a_step_waits_for_the_steps_that_it_depends_on():
    job = build_job(build_step(count=2), build_step(depends_on=(0,)))
    assert _names(job) == [".0.0.0", ".0.0.1"]
    for index in range(2):
        task = _task(job, index=index)
        start_attempt(task, "s", min_run=1, now_ms=0)
        _end(task, 1, RunEnd.DONE)
    assert _names(job) == [".0.1.0"]


@pytest.mark.parametrize(
    ("ends", "done", "failures", "outcome"),
    [
        ([(1, RunEnd.DONE)], True, 0, JobOutcome.COMPLETED),
        ([(1, RunEnd.DONE), (1, RunEnd.DONE)], True, 0, JobOutcome.COMPLETED),
        ([(1, RunEnd.FAILED)], False, 1, None),
        ([(1, RunEnd.FAILED), (1, RunEnd.FAILED)], False, 1, None),
        ([(1, RunEnd.FAILED), (2, RunEnd.FAILED)], False, 2, JobOutcome.FAILED),
        ([(1, RunEnd.LAPSED), (2, RunEnd.STOPPED)], False, 0, None),
        ([(1, RunEnd.LAPSED), (2, RunEnd.DONE)], True, 0, JobOutcome.COMPLETED),
        ([(2, RunEnd.FAILED), (1, RunEnd.DONE)], True, 1, JobOutcome.COMPLETED),
        ([(1, RunEnd.BROKEN), (2, RunEnd.ALONE)], False, 0, None),
    ],
)
def test_ends_in_any_order_and_twice(ends, done, failures, outcome):
    job = build_job()
    task = _task(job)
    for run, end in ends:
        _end(task, run, end)
    assert (task.done, task.failures, job.outcome) == (done, failures, outcome)


def test_failed_end_of_a_run_that_only_an_earlier_holder_knew_counts():
    """The backend server reports the end again, since the earlier holder did not acknowledge it."""
    job = build_job()
    assert _end(_task(job), 1, RunEnd.FAILED)
    assert _task(job).failures == 1


def test_failed_end_that_is_stored_already_counts_once():
    job = build_job()
    _end(_task(job), 1, RunEnd.FAILED)
    progress = decode_progress(job.id, encode_progress(job))
    later = build_job()
    restore_progress(later, progress.done, progress.failed_runs)
    assert not _end(_task(later), 1, RunEnd.FAILED)
    assert _task(later).failures == 1


def test_progress_is_restored():
    job = build_job(build_step(count=2), build_step(depends_on=(0,)))
    _end(_task(job, index=1), 1, RunEnd.DONE)
    progress = decode_progress(job.id, encode_progress(job))
    later = build_job(build_step(count=2), build_step(depends_on=(0,)))
    restore_progress(later, progress.done, progress.failed_runs)
    assert _names(later) == [".0.0.0"]
    assert job_state(later) == "running"


def test_run_number_exceeds_those_of_runs_that_others_started():
    task = _task(build_job())
    assert start_attempt(task, "s", min_run=1, now_ms=0).run == 1
    confirm_attempt(task, 7, "s", 0)
    assert start_attempt(task, "s", min_run=1, now_ms=0).run == 8
    assert start_attempt(task, "s", min_run=1001, now_ms=0).run == 1001


def test_long_running_task_starts_again_however_it_ends():
    job = build_job(build_step(long_running=True))
    for run, end in enumerate(RunEnd, start=1):
        start_attempt(_task(job), "s", min_run=1, now_ms=0)
        assert not _end(_task(job), run, end)
        assert _names(job) == [".0.0.0"]
    assert job.outcome is None


def test_gang_is_done_when_its_first_member_is_done():
    job = build_job(build_step(count=3, gang=True), build_step(depends_on=(0,)))
    _end(_task(job, index=1), 1, RunEnd.DONE)
    assert _names(job) == [".0.1.0"]


def test_gang_counts_one_failure_per_run_whichever_member_failed():
    job = build_job(build_step(count=3, gang=True))
    _end(_task(job, index=0), 1, RunEnd.FAILED)
    _end(_task(job, index=1), 1, RunEnd.FAILED)
    assert job.outcome is None
    _end(_task(job, index=2), 2, RunEnd.FAILED)
    assert job.outcome == JobOutcome.FAILED


def test_occurrences_are_created_when_they_are_due():
    spec = build_spec(first_due_ms=1000, interval_ms=500, occurrences=2)
    job = Job(spec, 1, 0)
    create_due_occurrences(job, 999)
    assert _names(job) == []
    create_due_occurrences(job, 1000)
    assert _names(job) == [".0.0.0"]
    create_due_occurrences(job, 1500)
    assert _names(job) == [".0.0.0", ".1.0.0"]
    for task in list(job.tasks.values()):
        _end(task, 1, RunEnd.DONE)
    assert job.outcome == JobOutcome.COMPLETED


def test_occurrences_that_are_due_at_once_are_created_as_earlier_ones_end():
    spec = build_spec(build_step(count=500), first_due_ms=0, interval_ms=0, occurrences=10**12)
    job = Job(spec, 1, 0)
    create_due_occurrences(job, 1000)
    assert len(job.tasks) == 10_000
    for task in list(job.tasks.values())[:500]:
        _end(task, 1, RunEnd.DONE)
    create_due_occurrences(job, 1000)
    assert job.created_occurrences == 21


def test_final_states_are_shown_only_once_they_are_stored():
    job = build_job()
    assert job_state(job) == "queued"
    start_attempt(_task(job), "s", min_run=1, now_ms=0)
    _end(_task(job), 1, RunEnd.DONE)
    assert job_state(job) == "running"
    job.outcome_stored = True
    assert job_state(job) == "completed"


def test_spec_is_unchanged_after_encoding_and_decoding():
    spec = build_spec(
        build_step(depends_on=(), checkpointing=True, max_unavailable=1, long_running=True),
        build_step(depends_on=(0,), max_unavailable=None),
        accepted_ms=5,
    )
    assert decode_job_spec(encode_job_spec(spec)) == spec


def test_row_without_a_job_is_rejected():
    with pytest.raises(ValueError, match="not a job's row"):
        decode_job_spec(b"\x93\x01\x02\x03")


class LifecycleMachine(RuleBasedStateMachine):
    """State machine that starts, removes and ends runs of one job's tasks in any order."""

    def __init__(self):
        super().__init__()
        self.job = build_job(build_step(count=2), build_step(depends_on=(0,)))
        self.started = []
        self.done = set()
        self.number = 0

    @precondition(lambda self: list(ready_tasks(self.job)))
    @rule(choice=data())
    def start(self, choice):
        ready = list(ready_tasks(self.job))
        task = ready[choice.draw(_index(ready))]
        assert task.name not in self.done
        assert all(_task(self.job, index=i).done for i in range(2)) or task.key.step == 0
        attempt = start_attempt(task, "s", min_run=1, now_ms=0)
        assert all(attempt.run > run for known, run in self.started if known is task)
        self.started.append((task, attempt.run))

    @precondition(lambda self: self.started)
    @rule(choice=data())
    def remove(self, choice):
        task, run = self.started[choice.draw(_index(self.started))]
        if run in task.attempts:
            remove_attempt(task.attempts[run], 0)

    @precondition(lambda self: self.started)
    @rule(choice=data())
    def end(self, choice):
        task, run = self.started[choice.draw(_index(self.started))]
        ends = list(RunEnd)
        end = ends[choice.draw(_index(ends))]
        self.number += 1
        was_open = self.job.is_open
        _end(task, run, end, self.number)
        if end == RunEnd.DONE and was_open:
            self.done.add(task.name)

    @invariant()
    def done_tasks_stay_done(self):
        assert {task.name for task in self.job.tasks.values() if task.done} == self.done

    @invariant()
    def completed_means_all_done(self):
        all_done = all(task.done for task in self.job.tasks.values())
        assert (self.job.outcome == JobOutcome.COMPLETED) == all_done

    @invariant()
    def attempts_are_in_known_phases(self):
        for task in self.job.tasks.values():
            assert all(item.phase in AttemptPhase for item in task.attempts.values())


def _index(items):
    return integers(0, len(items) - 1)


LifecycleMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None, database=None
)
TestLifecycle = LifecycleMachine.TestCase


def test_progress_of_more_tasks_than_may_be_open_is_restored():
    """A done task that is left out would run again."""
    spec = build_spec(build_step(count=4), occurrences=3000, interval_ms=1)
    done = [f"{JOB_ID}.{number}.0.{index}" for number in range(2900) for index in range(4)]
    job = Job(spec, stored_version=1, accepted_at_ms=0)
    restore_progress(job, done, {})
    assert job.created_occurrences == 2900
    assert job.open_task_count == 0
