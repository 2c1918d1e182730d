"""Submissions while the store is silent: refused at once, but never a job that may run.

Load: outages in which each submission took 0.8 s and ended in a 504, which callers can't repeat
safely, and callers that repeat an id during the outage.
"""

import json

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.submission_attempts import SubmissionAttempts
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.entry.tests.interface_client import running_interface
from fireflydeck.entry.tests.processes import IntakeProcess
from fireflydeck.platform.standin.documents import CALLER_HEADERS, submission_document
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.job_builders import JOB_ID, build_spec
from fireflydeck.testing.rows import RowStoreFault
from fireflydeck.workload import job_key

pytestmark = pytest.mark.anyio

_OTHER_ID = "00000000000000b2"
_BODY = submission_document("text", tasks=1)


async def test_new_submission_is_refused_without_a_write():
    process = IntakeProcess(FakeClock())
    process.fall_silent()
    started_ms = process.clock.now_ms()
    error = (await process.submit()).error
    assert (error.ran, error.retry_after_ms) == (Ran.NO, 1000)
    assert process.clock.now_ms() - started_ms <= 10
    process.store.outage = None
    assert process.store.rows.get(job_key(JOB_ID)) is None


@pytest.mark.parametrize(
    ("silent_ms", "retry_after_ms"), [(300, 1000), (2500, 2500), (30_000, 5000)]
)
async def test_retry_after_grows_with_the_silence(silent_ms, retry_after_ms):
    process = IntakeProcess(FakeClock())
    process.fall_silent()
    await process.clock.advance_ms(silent_ms)
    assert (await process.submit()).error.retry_after_ms == retry_after_ms


@pytest.mark.parametrize("fault", [RowStoreFault.LATE, RowStoreFault.ANSWER_LOST])
async def test_repeated_submission_with_an_earlier_attempt_is_not_refused(fault):
    """Guard against a 503 for a job whose first write takes effect 12 s later."""
    process = IntakeProcess(FakeClock())
    process.store.next_commits = [fault, *[RowStoreFault.NO_EFFECT] * 100]
    assert (await process.submit()).error.ran == Ran.UNKNOWN
    await process.clock.advance_ms(11_000)
    assert process.silence.is_silent
    assert (await process.submit()).error.ran == Ran.UNKNOWN
    assert (await process.submit(_OTHER_ID)).error.ran == Ran.NO


async def test_store_that_refuses_does_not_settle_an_earlier_attempt():
    process = IntakeProcess(FakeClock())
    process.store.next_commits = [RowStoreFault.LATE, *[RowStoreFault.NO_EFFECT] * 100]
    assert (await process.submit()).error.ran == Ran.UNKNOWN
    process.silence.record_answer()
    process.store.outage = Ran.NO
    assert (await process.submit()).error.ran == Ran.UNKNOWN
    assert (await process.submit(_OTHER_ID)).error.ran == Ran.NO


async def test_accepted_job_stays_accepted_during_the_silence():
    """Guard against a 503 for a request that is repeated seconds after its 200."""
    process = IntakeProcess(FakeClock())
    await process.submit()
    process.fall_silent()
    assert (await process.submit()).ok == SubmissionOutcome.KNOWN


async def test_submission_that_the_store_refused_is_not_sent_into_a_silence():
    process = IntakeProcess(FakeClock())
    process.store.next_commits = [RowStoreFault.REFUSED]
    async with anyio.create_task_group() as tasks:
        results = []

        async def run():
            results.append(await process.intake.submit(build_spec(), deadline_ms=2000))

        tasks.start_soon(run)
        await process.clock.advance_ms(10)
        process.fall_silent()
        await process.clock.advance_ms(100)
    assert results[0].error.ran == Ran.NO


async def test_disconnected_caller_leaves_an_uncertain_attempt():
    process = IntakeProcess(FakeClock())
    process.store.answer_delay_ms = 500
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.submit)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert process.intake.attempts.may_be_stored(JOB_ID)


async def test_attempts_are_forgotten_after_five_minutes_and_bounded():
    clock = FakeClock()
    attempts = SubmissionAttempts(clock)
    for number in range(20_050):
        attempts.record_elsewhere(str(number), is_stored=None)
    assert not attempts.may_be_stored("49")
    assert attempts.may_be_stored("50")
    await clock.advance_ms(300_001)
    assert not attempts.may_be_stored("50")


async def test_end_of_one_attempt_does_not_settle_another_in_progress():
    attempts = SubmissionAttempts(FakeClock())
    attempts.begin(JOB_ID)
    attempts.begin(JOB_ID)
    attempts.end(JOB_ID, is_stored=False)
    assert attempts.may_be_stored(JOB_ID)
    attempts.end(JOB_ID, is_stored=False)
    assert not attempts.may_be_stored(JOB_ID)


async def test_caller_is_refused_at_once_or_served_by_another_process():
    async with running_interface() as client:
        client.store.outage = Ran.UNKNOWN
        await client.wait_for_outage()
        before = len(client.store.commits)
        status, body, headers = await client.call("POST", f"/swatch/{JOB_ID}", _BODY)
        assert (status, json.loads(body)["error"]) == (503, "store-unavailable")
        assert 1 <= int(headers["Retry-After"]) <= 5
        client.forwarder.answer = CallerAnswer(200, b"{}", configuration_version=3)
        assert (await client.call("POST", f"/swatch/{JOB_ID}", _BODY))[0] == 200
        client.forwarder.answer = None
        status, _, headers = await client.call("POST", f"/swatch/{JOB_ID}", _BODY)
        assert (status, "Retry-After" in headers) == (200, False)
        assert len(client.store.commits) == before


async def test_job_that_the_holder_knows_is_accepted_without_the_store():
    """Guard against a 503 for a job that another process stored before the outage."""
    async with running_interface() as client:
        client.store.outage = Ran.UNKNOWN
        await client.wait_for_outage()
        client.holder.state = "running"
        assert (await client.call("POST", f"/swatch/{JOB_ID}", _BODY))[0] == 200


async def test_repeat_after_an_uncertain_forward_is_not_refused():
    """Guard against a 503 from a process that had passed the job on and then lost that peer."""
    async with running_interface() as client:
        client.store.outage = Ran.UNKNOWN
        await client.wait_for_outage()
        client.forwarder.is_uncertain = True
        assert (await client.call("POST", f"/swatch/{JOB_ID}", _BODY))[0] == 504
        client.forwarder.is_uncertain = False
        assert (await client.call("POST", f"/swatch/{JOB_ID}", _BODY))[0] == 504
        assert (await client.call("POST", f"/swatch/{_OTHER_ID}", _BODY))[0] == 503


async def test_forwarded_request_of_an_attempted_job_is_not_refused():
    """Guard against a peer whose 503 would let the process that forwards refuse the job."""
    async with running_interface() as client:
        client.store.outage = Ran.UNKNOWN
        await client.wait_for_outage()
        client.forwarder.is_uncertain = True
        assert (await client.call("POST", f"/swatch/{JOB_ID}", _BODY))[0] == 504
        request = CallerRequest(
            method="POST",
            host=CALLER_HEADERS["Host"],
            path=f"/swatch/{JOB_ID}",
            key="key-1",
            timeout_ms=1000,
            body=_BODY,
            was_forwarded=True,
        )
        answer = await client.interface.answer(request)
        assert (answer.status, answer.is_store_unavailable) == (504, True)
