"""Tests of commits that the store refuses for good, which must not hold up other work."""

import pytest

from fireflydeck.kernel import Event
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, build_step

pytestmark = pytest.mark.anyio

_OTHER_JOB = "00000000000000b2"
_TASKS = 600


async def test_progress_of_a_job_with_many_tasks_fits_in_its_row():
    """Acks, case 5 of the review: the names of all done tasks outgrew the job's row."""
    async with running_fleet(servers=4, cpu_limit=0) as fleet:
        fleet.leader.store.max_value_bytes = 3000
        for server in fleet.servers.values():
            server.duration_ms = 300
        accept_job(fleet.rows, build_spec(build_step(count=_TASKS)))
        await fleet.advance_ms(3000, step_ms=50)
        accept_job(fleet.rows, build_spec(job_id=_OTHER_JOB))
        await fleet.advance_ms(8000, step_ms=50)
        assert fleet.outcome(JOB_ID) == fleet.outcome(_OTHER_JOB) == "completed"
        assert len(fleet.starts()) == _TASKS + 1


async def test_job_whose_progress_is_refused_for_good_holds_up_no_other():
    """Acks: a commit that the store will never accept was repeated without end."""
    async with running_fleet(servers=4) as fleet:
        fleet.leader.store.max_value_bytes = 400
        for job_id, count in ((JOB_ID, 200), (_OTHER_JOB, 8)):
            accept_job(fleet.rows, build_spec(build_step(count=count), job_id=job_id))
        await fleet.advance_ms(8000, step_ms=50)
        assert fleet.outcome(_OTHER_JOB) == "completed"
        assert fleet.outcome(JOB_ID) == "failed"
        assert Event.PROGRESS_REFUSED in fleet.log.emitted()
        assert fleet.running() == []
