"""Refused jobs never run: races of refusals with attempts of the same job, in the store's terms.

Load: callers that repeat an id at any process after a refusal, a lost answer or none, while writes
without an answer take effect up to 12 s later.
"""

import pytest

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.entry.tests.processes import IntakeProcess
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.job_builders import JOB_ID
from fireflydeck.testing.rows import RowStoreFault
from fireflydeck.workload.records import refusal_key

pytestmark = pytest.mark.anyio

_UNANSWERED = [RowStoreFault.NO_EFFECT] * 100
_LATE_MS = 12_000
_KEPT_MS = 60_000


def _processes(number=2):
    clock = FakeClock()
    first = IntakeProcess(clock)
    others = [IntakeProcess(clock, first.store.rows, f"m{n}") for n in range(2, number + 1)]
    return [first, *others]


async def _attempt_late(process, fault=RowStoreFault.LATE, **options):
    """Submit a job whose write takes effect when the test delivers it."""
    process.store.next_commits = [fault, *_UNANSWERED]
    result = await process.submit(**options)
    assert result.error.ran == Ran.UNKNOWN
    process.store.next_commits = []
    process.silence.record_answer()


async def test_refusal_is_stored_and_told():
    (process,) = _processes(1)
    assert (await process.refuse()).ok == SubmissionOutcome.REFUSED
    assert process.stored() == "refusal"
    assert len(process.store.commits) == 1
    assert process.metrics.value("refusal_rows_kept") == 1


@pytest.mark.parametrize("process_number", [0, 1])
async def test_earlier_attempt_that_was_stored_is_not_refused(process_number):
    processes = _processes()
    await processes[0].submit()
    assert (await processes[process_number].refuse()).ok == SubmissionOutcome.KNOWN
    assert processes[0].stored() == "job"


@pytest.mark.parametrize("process_number", [0, 1])
async def test_late_write_of_an_earlier_attempt_stores_nothing_after_a_refusal(process_number):
    processes = _processes()
    await _attempt_late(processes[0])
    assert (await processes[process_number].refuse()).ok == SubmissionOutcome.REFUSED
    await processes[0].clock.advance_ms(_LATE_MS)
    assert processes[0].store.deliver_late() == [False]
    assert processes[0].stored() == "refusal"


async def test_late_write_that_takes_effect_before_the_refusal_is_accepted():
    first, second = _processes()
    await _attempt_late(first)
    assert first.store.deliver_late() == [True]
    assert (await second.refuse()).ok == SubmissionOutcome.KNOWN


@pytest.mark.parametrize("process_number", [0, 1])
async def test_caller_that_returns_after_a_refusal_is_accepted(process_number):
    processes = _processes()
    await processes[0].refuse()
    await processes[0].clock.advance_ms(1000)
    await processes[1].observe()
    result = await processes[process_number].submit()
    assert result.ok == SubmissionOutcome.ACCEPTED
    assert processes[0].stored() == "job"
    await processes[0].clock.advance_ms(_KEPT_MS)
    await processes[0].refusals.remove_old()
    assert processes[0].stored() == "job"


async def test_repeated_refusal_stops_a_replacement_on_its_way():
    """Guard against a 429 without a write, while another process replaces the refusal.

    Both requests came after the first refusal; the write of the accepted one is late.
    """
    first, second = _processes()
    await first.refuse()
    await second.observe()
    await second.submit("00000000000000b2")
    second.store.next_commits = [None, RowStoreFault.LATE, *_UNANSWERED]
    assert (await second.submit()).error.ran == Ran.UNKNOWN
    assert (await first.refuse()).ok == SubmissionOutcome.REFUSED
    assert second.store.deliver_late() == [False]
    assert first.stored() == "refusal"


async def test_submission_that_was_on_its_way_before_the_refusal_does_not_replace_it():
    """Guard against a request that the caller gave up, and that stores the job after its 429."""
    first, second = _processes()
    await second.observe()

    def refuse_elsewhere(_):
        second.store.on_commit = None
        write = RowWrite(refusal_key(JOB_ID), b"of another process")
        assert not first.store.rows.commit(RowTransaction(writes=(write,)))

    second.store.on_commit = refuse_elsewhere
    assert (await second.submit()).ok == SubmissionOutcome.REFUSED
    assert first.stored() == "refusal"


async def test_young_refusal_is_not_replaced():
    """Guard against a 429 on its way to the caller while the repeated request stores the job."""
    first, second = _processes()
    await first.refuse()
    await second.monitored.read_changes("lease", after=0, wait_ms=0)
    assert (await second.submit()).ok == SubmissionOutcome.REFUSED
    await first.observe()
    await first.clock.advance_ms(1000)
    assert (await first.submit()).ok == SubmissionOutcome.ACCEPTED


async def test_refusal_that_is_stored_slowly_is_not_told():
    (process,) = _processes(1)
    process.store.answer_delay_ms = 301
    assert (await process.refuse()).error.ran == Ran.UNKNOWN
    process.store.answer_delay_ms = 0
    assert (await process.submit()).ok == SubmissionOutcome.ACCEPTED


async def test_forwarded_submission_does_not_replace_a_refusal():
    """It reached the process that forwards it earlier, perhaps before the refusal."""
    first, second = _processes()
    await first.refuse()
    await second.observe()
    assert (await second.submit(may_replace=False)).ok == SubmissionOutcome.REFUSED
    assert (await first.submit(may_replace=False)).ok == SubmissionOutcome.REFUSED
    assert first.stored() == "refusal"


async def test_refusal_without_an_answer_is_unknown_and_leaves_the_job_open():
    first, second = _processes()
    await _attempt_late(first, is_refused=True)
    assert (await second.submit()).ok == SubmissionOutcome.ACCEPTED
    assert first.store.deliver_late() == [False]
    assert first.stored() == "job"


async def test_late_refusal_is_removed_after_its_minute():
    (process,) = _processes(1)
    await _attempt_late(process, is_refused=True)
    await process.clock.advance_ms(_LATE_MS)
    assert process.store.deliver_late() == [True]
    await process.clock.advance_ms(_KEPT_MS)
    await process.refusals.remove_old()
    assert process.stored() == ""
    assert process.metrics.value("refusal_rows_kept") == 0


async def test_refusal_with_a_lost_answer_is_settled_by_its_repetition():
    (process,) = _processes(1)
    process.store.next_commits = [RowStoreFault.ANSWER_LOST]
    assert (await process.refuse()).ok == SubmissionOutcome.REFUSED
    assert process.stored() == "refusal"


async def test_refusal_that_the_store_refuses_is_not_stored():
    (process,) = _processes(1)
    process.store.outage = Ran.NO
    assert (await process.refuse()).error.ran == Ran.NO
    assert process.metrics.value("refusal_rows_kept") == 0


async def test_silence_refuses_nothing_for_overload():
    (process,) = _processes(1)
    process.fall_silent()
    assert (await process.refuse()).error.retry_after_ms > 0


async def test_refusal_settles_the_uncertain_attempts_of_its_process():
    """Guard against 504s for a job of which the store says that it can't run any more."""
    (process,) = _processes(1)
    await _attempt_late(process)
    await process.refuse()
    assert not process.intake.attempts.may_be_stored(JOB_ID)


async def test_rows_are_kept_for_a_minute_after_the_last_refusal():
    (process,) = _processes(1)
    job_ids = [f"{number:016x}" for number in range(100)]
    for job_id in job_ids:
        await process.refuse(job_id)
    await process.clock.advance_ms(_KEPT_MS - 10_000)
    await process.refuse(job_ids[0])
    await process.refusals.remove_old()
    assert process.metrics.value("refusal_rows_kept") == 100
    await process.clock.advance_ms(10_000)
    await process.refusals.remove_old()
    assert [process.stored(job_id) for job_id in job_ids] == ["refusal"] + [""] * 99
    await process.clock.advance_ms(_KEPT_MS)
    await process.refusals.remove_old()
    assert process.stored(job_ids[0]) == ""


async def test_row_that_another_process_wrote_anew_is_left_to_it():
    first, second = _processes()
    await first.refuse()
    await first.refuse("00000000000000b2")
    await first.clock.advance_ms(_KEPT_MS)
    await second.refuse()
    await first.refusals.remove_old()
    assert (first.stored(), first.stored("00000000000000b2")) == ("refusal", "")
    assert first.metrics.value("refusal_rows_kept") == 0


async def test_rows_stay_kept_while_the_store_does_not_answer():
    (process,) = _processes(1)
    await process.refuse()
    await process.clock.advance_ms(_KEPT_MS)
    process.store.outage = Ran.UNKNOWN
    await process.refusals.remove_old()
    process.store.outage = None
    await process.refusals.remove_old()
    assert process.stored() == ""


async def test_older_build_stores_a_refused_job_and_it_counts_as_accepted():
    """Describes the gap during an update: an older build inserts without the refusal's condition.

    A job that it stores late runs although it was refused; from then on all processes accept it.
    """
    first, second = _processes()
    await first.refuse()
    assert first.insert_as_older_build()
    assert (await first.refuse()).ok == SubmissionOutcome.KNOWN
    assert (await second.submit()).ok == SubmissionOutcome.KNOWN


async def test_deployment_without_overload_makes_no_additional_call():
    (process,) = _processes(1)
    for number in range(20):
        await process.submit(f"{number:016x}")
    await process.submit(f"{3:016x}")
    assert (len(process.store.commits), process.reads) == (20, 0)
    await process.clock.advance_ms(_KEPT_MS)
    await process.refusals.remove_old()
    assert (len(process.store.commits), process.reads) == (20, 0)


async def test_repeated_job_that_only_the_store_knows_costs_one_read():
    first, second = _processes()
    await first.submit()
    assert (await second.submit()).ok == SubmissionOutcome.KNOWN
    assert second.reads == 1
