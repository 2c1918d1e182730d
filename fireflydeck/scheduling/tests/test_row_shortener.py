"""Tests that rows of ended jobs are shortened, so that a new lease holder has little to read."""

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.kernel import Event, EventLog
from fireflydeck.scheduling.row_shortener import JobRowShortener
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.job_builders import accept_job, build_spec, build_step
from fireflydeck.testing.rows import FakeRowStore
from fireflydeck.workload import JobOutcome, decode_ended_row, job_key

pytestmark = pytest.mark.anyio

_JOBS = 400
_SHORTENING_MS = 8000


def _job_ids():
    return [f"{number:016x}" for number in range(1, _JOBS + 1)]


def _accept_all(fleet):
    for job_id in _job_ids():
        accept_job(fleet.rows, build_spec(build_step(count=1), job_id=job_id, payload="x" * 300))


def _row_bytes(fleet):
    rows = [fleet.rows.get(job_key(job_id)) for job_id in _job_ids()]
    return sum(len(row.value) for row in rows)


def _shortened(fleet):
    rows = [fleet.rows.get(job_key(job_id)) for job_id in _job_ids()]
    return [row for row in rows if decode_ended_row(row.value) == JobOutcome.COMPLETED]


async def test_rows_of_ended_jobs_are_small():
    async with running_fleet(prepare=_accept_all, servers=2) as fleet:
        bytes_before = _row_bytes(fleet)
        await fleet.advance_ms(_SHORTENING_MS, step_ms=100)
        assert len(_shortened(fleet)) > _JOBS * 0.6
        assert _row_bytes(fleet) < bytes_before * 0.4


async def test_rows_stay_full_during_a_store_outage_and_are_shortened_afterwards():
    async with running_fleet(servers=2) as fleet:
        _accept_all(fleet)
        await fleet.advance_ms(800)
        fleet.members[0].store.outage = Ran.UNKNOWN
        await fleet.advance_ms(1000)
        assert not _shortened(fleet)
        fleet.members[0].store.outage = None
        await fleet.advance_ms(_SHORTENING_MS, step_ms=100)
        assert len(_shortened(fleet)) > _JOBS * 0.6


async def test_next_holder_does_not_run_shortened_jobs_and_shortens_the_rest():
    async with running_fleet(prepare=_accept_all, servers=2, members=2) as fleet:
        await fleet.advance_ms(1200)
        await fleet.leader.lease.stop()
        await fleet.advance_ms(_SHORTENING_MS, step_ms=100)
        assert len(_shortened(fleet)) > _JOBS * 0.6
        assert len(fleet.starts()) == _JOBS
        assert {fleet.outcome(job_id) for job_id in _job_ids()} == {"completed"}


async def test_jobs_that_end_during_a_round_do_not_disturb_it():
    """The first job of a partition ends while rows of another partition are being stored.

    Its row adds an entry to the dictionary that the round iterates over. Found by the soak test
    with seed 15.
    """
    clock = FakeClock()
    store = FakeRowStore(clock)
    shortener = JobRowShortener(store, clock, EventLog())
    by_partition = {}
    for number in range(1, 500):
        job_id = f"{number:016x}"
        by_partition.setdefault(job_key(job_id).partition, []).append(job_id)
    first, second = list(by_partition.values())[:2]
    store.on_commit = lambda _: shortener.add(second[0], 1, JobOutcome.COMPLETED)
    for job_id in first[:8]:
        store.rows.commit(RowTransaction(writes=(RowWrite(job_key(job_id), b"\x80"),)))
        shortener.add(job_id, store.rows.version, JobOutcome.COMPLETED)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(shortener.run)
        await clock.advance_ms(4000)
        tasks.cancel_scope.cancel()
    rows = [store.rows.get(job_key(job_id)) for job_id in first[:8]]
    assert {decode_ended_row(row.value) for row in rows} == {JobOutcome.COMPLETED}


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\xa1x"])
async def test_unreadable_row_of_an_ended_job_stops_nothing(content):
    async with running_fleet(servers=1) as fleet:
        job_id, other_id = _job_ids()[:2]
        accept_job(fleet.rows, build_spec(job_id=job_id))
        await fleet.advance_ms(2000)
        fleet.rows.commit(RowTransaction(writes=(RowWrite(job_key(job_id), content),)))
        await fleet.advance_ms(500)
        accept_job(fleet.rows, build_spec(job_id=other_id))
        await fleet.advance_ms(2000)
        assert fleet.outcome(other_id) == "completed"
        assert Event.DOCUMENT_UNREADABLE in fleet.log.emitted()
        assert Event.SERVICE_FAILED not in fleet.log.emitted()


async def test_removed_row_does_not_come_back():
    async with running_fleet(prepare=_accept_all, servers=2) as fleet:
        await fleet.advance_ms(500)
        removed = job_key(_job_ids()[0])
        fleet.rows.commit(RowTransaction(removals=(removed,)))
        await fleet.advance_ms(_SHORTENING_MS, step_ms=100)
        assert fleet.rows.get(removed) is None
