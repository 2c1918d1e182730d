"""Tests of jobs that are announced directly while the store reports no changes.

The store reports no changes during its compaction, for example.
"""

import pytest

from fireflydeck.core.rows import RowTransaction, StoredRow
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec
from fireflydeck.workload import JOBS_TABLE, JobOutcome, job_key

pytestmark = pytest.mark.anyio

_SILENCE_MS = 1400


def _announce(fleet):
    fleet.leader.scheduler.current.job_tracker.apply_announced(fleet.rows.get(job_key(JOB_ID)))


async def test_announced_job_is_done_while_the_store_reports_no_changes():
    async with running_fleet(servers=1) as fleet:
        fleet.members[0].store.are_changes_hidden = True
        accept_job(fleet.rows, build_spec())
        _announce(fleet)
        await fleet.advance_ms(_SILENCE_MS)
        assert fleet.outcome(JOB_ID) == "completed"


async def test_announced_job_runs_once_when_the_store_reports_it_too():
    async with running_fleet(servers=2) as fleet:
        accept_job(fleet.rows, build_spec())
        _announce(fleet)
        _announce(fleet)
        await fleet.advance_ms(3000, check=no_duplicate_runs(fleet))
        _announce(fleet)
        await fleet.advance_ms(1000)
        assert len(fleet.starts()) == 1


async def test_announced_job_survives_a_lost_history():
    """A full read that began before the submission lacks its row, and must not remove the job."""
    async with running_fleet(servers=2) as fleet:
        store = fleet.members[0].store
        store.are_changes_hidden = True
        accept_job(fleet.rows, build_spec())
        _announce(fleet)
        await fleet.advance_ms(_SILENCE_MS)
        store.stale_reads[JOBS_TABLE] = fleet.rows.get(job_key(JOB_ID)).version - 1
        fleet.rows.forget_history()
        store.are_changes_hidden = False
        await fleet.advance_ms(1500)
        store.stale_reads.clear()
        await fleet.advance_ms(100)
        assert fleet.leader.scheduler.current.job_tracker.outcome(JOB_ID) == JobOutcome.COMPLETED
        assert fleet.leader.scheduler.current.job_tracker.job(JOB_ID) is None


async def test_job_announced_before_the_first_full_read_runs_once():
    async with running_fleet(servers=1, members=2) as fleet:
        await fleet.leader.lease.stop()
        accept_job(fleet.rows, build_spec())
        row: StoredRow = fleet.rows.get(job_key(JOB_ID))
        for _ in range(100):
            await fleet.advance_ms(20)
            for member in fleet.members:
                if member.scheduler.current is not None:
                    member.scheduler.current.job_tracker.apply_announced(row)
        assert len(fleet.starts()) == 1
        fleet.rows.commit(RowTransaction(removals=(job_key(JOB_ID),)))
        await fleet.advance_ms(500)
        assert len(fleet.starts()) == 1
