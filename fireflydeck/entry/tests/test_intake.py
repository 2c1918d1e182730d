"""Submissions, cancellations and job states at the store, under each of its faults."""

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.fleet_fakes import FakeAnnouncer
from fireflydeck.testing.job_builders import JOB_ID, build_spec
from fireflydeck.testing.rows import FakeRowStore, RowStoreFault
from fireflydeck.workload import (
    JobOutcome,
    cancellation_key,
    encode_ended_row,
    encode_outcome,
    job_key,
    outcome_key,
)

pytestmark = pytest.mark.anyio

_DEADLINE_MS = 2000


async def _result(clock, function, *args, **kwargs):
    """Return the result of a call that runs while the clock advances."""
    results = []

    async def run():
        results.append(await function(*args, deadline_ms=clock.now_ms() + _DEADLINE_MS, **kwargs))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        for _ in range(_DEADLINE_MS // 50 + 10):
            await clock.advance_ms(50)
            if results:
                break
    return results[0]


def _store():
    clock = FakeClock()
    return clock, FakeRowStore(clock)


async def test_submission_is_stored_once():
    clock, store = _store()
    intake = Intake(store, clock, FakeAnnouncer())
    assert (await _result(clock, intake.submit, build_spec())).ok == SubmissionOutcome.ACCEPTED
    assert (await _result(clock, intake.submit, build_spec())).ok == SubmissionOutcome.KNOWN
    assert len(store.commits) == 1


async def test_submission_is_announced_once_it_is_stored():
    clock, store = _store()
    announcer = FakeAnnouncer()
    intake = Intake(store, clock, announcer)
    store.next_commits = [RowStoreFault.REFUSED]
    await _result(clock, intake.submit, build_spec())
    await _result(clock, intake.submit, build_spec())
    assert announcer.rows == [store.rows.get(job_key(JOB_ID))]


@pytest.mark.parametrize("fault", [RowStoreFault.ANSWER_LOST, RowStoreFault.NO_EFFECT])
async def test_submission_without_an_answer_is_resolved(fault):
    clock, store = _store()
    store.next_commits = [fault]
    result = await _result(clock, Intake(store, clock, FakeAnnouncer()).submit, build_spec())
    assert result.is_ok()
    assert store.rows.get(job_key(JOB_ID)) is not None


async def test_refusal_is_only_returned_if_the_job_is_certainly_not_stored():
    clock, store = _store()
    store.outage = Ran.NO
    result = await _result(clock, Intake(store, clock, FakeAnnouncer()).submit, build_spec())
    assert result.error.ran == Ran.NO


async def test_refusal_after_a_call_without_an_answer_is_not_returned():
    """The first call may still take effect, even if the store refuses all retries."""
    clock, store = _store()
    store.next_commits = [RowStoreFault.LATE, *[RowStoreFault.REFUSED] * 100]
    result = await _result(clock, Intake(store, clock, FakeAnnouncer()).submit, build_spec())
    assert result.error.ran == Ran.UNKNOWN
    assert store.deliver_late() == [True]


async def test_caller_learns_soon_that_the_outcome_is_unknown():
    """Guard against calls that are kept waiting until most of the caller's deadline has passed."""
    clock, store = _store()
    store.outage = Ran.UNKNOWN
    started_ms = clock.now_ms()
    result = await _result(clock, Intake(store, clock, FakeAnnouncer()).submit, build_spec())
    assert result.error.ran == Ran.UNKNOWN
    assert clock.now_ms() - started_ms <= 1000


async def test_refused_store_is_not_waited_for_until_the_deadline():
    clock, store = _store()
    store.outage = Ran.NO
    await _result(clock, Intake(store, clock, FakeAnnouncer()).submit, build_spec())
    assert clock.now_ms() < _DEADLINE_MS / 2


async def test_cancellation_needs_a_job():
    clock, store = _store()
    intake = Intake(store, clock, FakeAnnouncer())
    assert (await _result(clock, intake.cancel, JOB_ID)).ok is False
    await _result(clock, intake.submit, build_spec())
    assert (await _result(clock, intake.cancel, JOB_ID)).ok
    assert (await _result(clock, intake.cancel, JOB_ID)).ok
    assert store.rows.get(cancellation_key(JOB_ID)) is not None
    assert len(store.commits) == 2


async def test_states_from_the_store():
    clock, store = _store()
    intake = Intake(store, clock, FakeAnnouncer())
    assert (await _result(clock, intake.read_state, JOB_ID)).ok is None
    await _result(clock, intake.submit, build_spec())
    assert (await _result(clock, intake.read_state, JOB_ID)).ok == "queued"
    await _result(clock, intake.cancel, JOB_ID)
    assert (await _result(clock, intake.read_state, JOB_ID)).ok == "cancelled"
    outcome = RowWrite(outcome_key(JOB_ID), encode_outcome(JobOutcome.COMPLETED, 0))
    store.rows.commit(RowTransaction(writes=(outcome,)))
    assert (await _result(clock, intake.read_state, JOB_ID)).ok == "completed"


async def test_shortened_row_gives_the_outcome_and_keeps_the_id():
    clock, store = _store()
    intake = Intake(store, clock, FakeAnnouncer())
    row = RowWrite(job_key(JOB_ID), encode_ended_row(JobOutcome.FAILED))
    store.rows.commit(RowTransaction(writes=(row,)))
    assert (await _result(clock, intake.read_state, JOB_ID)).ok == "failed"
    assert (await _result(clock, intake.submit, build_spec())).ok == SubmissionOutcome.KNOWN
    assert (await _result(clock, intake.cancel, JOB_ID)).ok
    assert (await _result(clock, intake.read_state, JOB_ID)).ok == "failed"


async def test_unreachable_store_gives_no_state():
    clock, store = _store()
    store.outage = Ran.UNKNOWN
    result = await _result(clock, Intake(store, clock, FakeAnnouncer()).read_state, JOB_ID)
    assert result.is_error()
