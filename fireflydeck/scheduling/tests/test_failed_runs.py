"""Tests of the verdict on a job whose runs fail, when the configuration changes meanwhile."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.platform.standin.documents import put_configuration
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, build_step

pytestmark = pytest.mark.anyio

_APPLY_MS = 400
_RUN_MS = 600
_TAKE_OVER_MS = 4000


def _set_end_of_next(fleet, end):
    for server in fleet.servers.values():
        server.end_of_next = end


async def _lose_leader(fleet):
    """Let another member take the lease over."""
    first = fleet.leader
    first.store.outage = Ran.UNKNOWN
    while first.is_leader or not any(member.is_leader for member in fleet.members):
        await fleet.advance_ms(20, check=no_duplicate_runs(fleet))
    await fleet.advance_ms(_APPLY_MS)


@pytest.mark.parametrize("lose_leader", ["never", "before the end", "after the end"])
async def test_failed_run_without_a_route_leaves_the_further_attempts(lose_leader):
    """LOST of issue 31, case 3: a run fails while the queue is missing from the configuration."""
    async with running_fleet(servers=1, members=2) as fleet:
        _set_end_of_next(fleet, RunEnd.FAILED)
        for server in fleet.servers.values():
            server.duration_ms = 8 * _RUN_MS
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(200)
        put_configuration(fleet.rows, version=4, has_queue=False)
        await fleet.advance_ms(_APPLY_MS)
        if lose_leader == "before the end":
            await _lose_leader(fleet)
        await fleet.advance_ms(8 * _RUN_MS)
        if lose_leader == "after the end":
            await _lose_leader(fleet)
        assert fleet.outcome(JOB_ID) is None
        assert len(fleet.starts()) == 1
        _set_end_of_next(fleet, RunEnd.DONE)
        put_configuration(fleet.rows, version=5)
        await fleet.advance_ms(_TAKE_OVER_MS + 8 * _RUN_MS, check=no_duplicate_runs(fleet))
        assert len(fleet.starts()) == 2
        assert fleet.outcome(JOB_ID) == "completed"


@pytest.mark.parametrize("is_gang", [False, True])
async def test_attempts_used_up_without_a_route_fail_the_job_once_it_is_back(is_gang):
    """The failures count, and no further run starts once the number of attempts is known."""
    async with running_fleet(servers=2) as fleet:
        _set_end_of_next(fleet, RunEnd.FAILED)
        accept_job(fleet.rows, build_spec(build_step(count=2, gang=is_gang)))
        while len(fleet.starts()) < 4:
            await fleet.advance_ms(20)
        put_configuration(fleet.rows, version=4, has_queue=False)
        await fleet.advance_ms(3 * _RUN_MS)
        assert fleet.outcome(JOB_ID) is None
        put_configuration(fleet.rows, version=5)
        await fleet.advance_ms(_APPLY_MS)
        assert fleet.outcome(JOB_ID) == "failed"
        assert len(fleet.starts()) == 4


async def test_lowered_number_of_attempts_starts_no_further_run():
    async with running_fleet(servers=1, max_attempts=4) as fleet:
        _set_end_of_next(fleet, RunEnd.FAILED)
        accept_job(fleet.rows, build_spec())
        while len(fleet.starts()) < 2 or fleet.running():
            await fleet.advance_ms(20)
        put_configuration(fleet.rows, version=4, max_attempts=2)
        await fleet.advance_ms(4 * _RUN_MS)
        assert fleet.outcome(JOB_ID) == "failed"
        assert len(fleet.starts()) == 2
