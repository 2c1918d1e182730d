"""Size of the stored progress of jobs with many tasks or occurrences, and its content."""

import random

import pytest

from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.testing.job_builders import JOB_ID, build_job, build_step
from fireflydeck.workload.lifecycle import create_occurrence_of, record_run_end, restore_progress
from fireflydeck.workload.progress import decode_progress, encode_progress

_MAX_ROW_BYTES = 65_536
_MAX_ATTEMPTS = 3


def _end(task, run, end):
    ended = EndedRun(1, task.name, run, end, "")
    record_run_end(task, ended, max_attempts=_MAX_ATTEMPTS, now_ms=0)


def _restored(job, **fields):
    progress = decode_progress(job.id, encode_progress(job))
    later = build_job(*job.spec.steps, **fields)
    restore_progress(
        later,
        progress.done,
        progress.failed_runs,
        done_occurrences=progress.done_occurrences,
    )
    return later


def _state(job):
    return {
        name: (task.done, set() if task.done else task.failed_runs)
        for name, task in job.tasks.items()
    }


@pytest.mark.parametrize("count", [3, 500, 501, 10_000])
def test_progress_of_many_tasks(count):
    """Each task is done or has failed as often as it may without failing the job."""
    chance = random.Random(7)
    job = build_job(build_step(count=count))
    for task in job.tasks.values():
        for term in sorted(chance.sample(range(60), chance.randrange(_MAX_ATTEMPTS))):
            _end(task, term * 1000 + 1, RunEnd.FAILED)
        if chance.random() < 0.5:
            _end(task, 60_001, RunEnd.DONE)
    assert len(encode_progress(job)) <= _MAX_ROW_BYTES
    later = _restored(job)
    assert _state(later) == _state(job)
    assert later.open_task_count == job.open_task_count


def test_progress_of_many_occurrences():
    """Suspected in the review: a job with many occurrences fills its row over the day."""
    fields = {"occurrences": 20_000, "interval_ms": 1000}
    job = build_job(build_step(count=2), build_step(depends_on=(0,)), **fields)
    create_occurrence_of(job, f"{JOB_ID}.3999.0.0", max_open_tasks=100_000)
    chance = random.Random(7)
    for task in job.tasks.values():
        if task.key.occurrence < 3000 or chance.random() < 0.5:
            _end(task, 1, RunEnd.DONE)
    assert len(encode_progress(job)) <= _MAX_ROW_BYTES
    later = _restored(job, **fields)
    assert {name for name, task in later.tasks.items() if task.done} == {
        name for name, task in job.tasks.items() if task.done
    }
