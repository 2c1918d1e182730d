"""Tests that rows of ended jobs are removed in an order that never runs a job again."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.scheduling.tests.fleet import STATUS_MS, running_fleet
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, cancel_job
from fireflydeck.workload import cancellation_key, job_key, outcome_key

pytestmark = pytest.mark.anyio

_STEP_MS = 1000


async def test_ended_job_is_kept_as_long_as_callers_may_query_it():
    async with running_fleet(servers=1) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(STATUS_MS + 5000, step_ms=_STEP_MS)
        assert fleet.outcome(JOB_ID) == "completed"
        assert fleet.rows.get(job_key(JOB_ID)) is not None


async def test_ended_job_is_removed_afterwards_and_does_not_run_again():
    async with running_fleet(servers=1, members=2) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(2000)
        cancel_job(fleet.rows, JOB_ID)
        await fleet.advance_ms(2 * STATUS_MS + 25_000, step_ms=_STEP_MS)
        for key in (job_key(JOB_ID), cancellation_key(JOB_ID), outcome_key(JOB_ID)):
            assert fleet.rows.get(key) is None
        await fleet.leader.lease.stop()
        await fleet.advance_ms(3000)
        assert len(fleet.starts()) == 1


async def test_many_jobs_are_removed_in_one_round():
    """Removing only forty jobs per round is too slow for heavy traffic: the rows grow unbounded."""
    async with running_fleet(servers=2) as fleet:
        job_ids = [f"{number:016x}" for number in range(1, 121)]
        for job_id in job_ids:
            accept_job(fleet.rows, build_spec(job_id=job_id))
        await fleet.advance_ms(5000, step_ms=100)
        assert {fleet.outcome(job_id) for job_id in job_ids} == {"completed"}
        await fleet.advance_ms(2 * STATUS_MS + 12_000, step_ms=_STEP_MS)
        assert {fleet.rows.get(job_key(job_id)) for job_id in job_ids} == {None}
        assert {fleet.outcome(job_id) for job_id in job_ids} == {None}


async def test_outcome_is_kept_until_the_jobs_row_is_certainly_removed():
    async with running_fleet(servers=1) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(2 * STATUS_MS, step_ms=_STEP_MS)
        fleet.members[0].store.outage = Ran.UNKNOWN
        await fleet.advance_ms(30_000, step_ms=_STEP_MS)
        assert fleet.outcome(JOB_ID) == "completed"
