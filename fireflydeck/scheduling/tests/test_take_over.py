"""Tests of a change of the lease holder: no task runs twice and none is forgotten."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.scheduling.server_life import SERVER_LEASE_MS
from fireflydeck.scheduling.session import LEASE_EXTENSION_GRACE_MS
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.fleet_fakes import OrderFault
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, build_step

pytestmark = pytest.mark.anyio

_LONG_MS = 4000
_HANDED_OVER_MS = 1200
_OTHER_JOB = "00000000000000b2"


def _set_long_tasks(fleet):
    for server in fleet.servers.values():
        server.duration_ms = _LONG_MS


async def test_runs_continue_under_the_next_holder():
    """Open runs must not be stopped if backend servers answer while the jobs are still loading."""
    async with running_fleet(servers=2, members=2) as fleet:
        _set_long_tasks(fleet)
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(500)
        assert len(fleet.starts()) == 4
        await fleet.leader.lease.stop()
        await fleet.advance_ms(_LONG_MS + 1000, check=no_duplicate_runs(fleet))
        assert len(fleet.starts()) == 4
        assert fleet.outcome(JOB_ID) == "completed"


@pytest.mark.parametrize("silence", list(Ran))
async def test_holder_without_the_store_is_replaced(silence):
    async with running_fleet(servers=2, members=2) as fleet:
        _set_long_tasks(fleet)
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(500)
        first = fleet.leader
        first.store.outage = silence
        await fleet.advance_ms(_LONG_MS + 3000, check=no_duplicate_runs(fleet))
        assert fleet.leader is not first
        assert len(fleet.starts()) == 4
        assert fleet.outcome(JOB_ID) == "completed"


@pytest.mark.parametrize("silence", list(Ran))
async def test_jobs_go_on_soon_when_the_holder_alone_lost_the_store(silence):
    """Starts must resume before the lease of the isolated holder expires, since jobs wait."""
    async with running_fleet(servers=2, members=2) as fleet:
        _set_long_tasks(fleet)
        for member in fleet.members:
            member.hand_over_to([other for other in fleet.members if other is not member])
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(500)
        fleet.leader.store.outage = silence
        accept_job(fleet.rows, build_spec(job_id=_OTHER_JOB))
        await fleet.advance_ms(_HANDED_OVER_MS, check=no_duplicate_runs(fleet))
        assert len(fleet.starts()) == 5
        await fleet.advance_ms(_LONG_MS + 1000, check=no_duplicate_runs(fleet))
        assert len(fleet.starts()) == 5
        assert fleet.outcome(JOB_ID) == fleet.outcome(_OTHER_JOB) == "completed"


async def test_fenced_holder_without_the_store_stops_sending_orders():
    """A fenced holder that cannot reach the store must stop sending rejected heartbeats."""
    async with running_fleet(servers=2, members=2) as fleet:
        _set_long_tasks(fleet)
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(500)
        first = fleet.leader
        first.store.outage = Ran.UNKNOWN
        while first.scheduler.current is not None and fleet.clock.now_ms() < 20_000:
            await fleet.advance_ms(20, check=no_duplicate_runs(fleet))
        assert first.scheduler.current is None
        assert fleet.leader is not first


async def test_task_on_an_unreachable_server_is_not_restarted_while_it_may_run():
    async with running_fleet(servers=2, members=2) as fleet:
        _set_long_tasks(fleet)
        accept_job(fleet.rows, build_spec(build_step(count=2)))
        await fleet.advance_ms(500)
        first = fleet.leader
        second = next(member for member in fleet.members if member is not first)
        second.unreachable = {server_id for server_id in fleet.servers}
        first.store.outage = Ran.UNKNOWN
        while not second.is_leader:
            await fleet.advance_ms(20)
        await fleet.advance_ms(
            LEASE_EXTENSION_GRACE_MS + 2 * SERVER_LEASE_MS, check=no_duplicate_runs(fleet)
        )
        runs = [run for _, run in fleet.starts()]
        assert all(run < 1000 for run in runs)


async def test_new_job_runs_despite_an_unreachable_server():
    """A job stored after the take-over cannot run anywhere yet, so it may start immediately."""
    async with running_fleet(servers=2, members=2) as fleet:
        first = fleet.leader
        second = next(member for member in fleet.members if member is not first)
        second.unreachable = {"s1"}
        first.store.outage = Ran.UNKNOWN
        while not second.is_leader:
            await fleet.advance_ms(20)
        await fleet.advance_ms(200)
        accept_job(fleet.rows, build_spec(job_id=_OTHER_JOB))
        await fleet.advance_ms(600)
        assert [task for task, _ in fleet.starts()] == [f"{_OTHER_JOB}.0.0.0"]


async def test_end_reported_to_the_previous_holder_is_not_lost():
    async with running_fleet(servers=1, members=2) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(400)
        first = fleet.leader
        first.store.outage = Ran.UNKNOWN
        await fleet.advance_ms(6000, check=no_duplicate_runs(fleet))
        assert fleet.starts() == [(f"{JOB_ID}.0.0.0", 1)]
        assert fleet.outcome(JOB_ID) == "completed"


async def test_late_start_of_a_deposed_holder_is_rejected():
    async with running_fleet(servers=1, members=2) as fleet:
        _set_long_tasks(fleet)
        first = fleet.leader
        first.orders["s1"].next_starts = [OrderFault.LATE]
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(100)
        await first.lease.stop()
        await fleet.advance_ms(1500)
        first.orders["s1"].deliver_late()
        await fleet.advance_ms(_LONG_MS, check=no_duplicate_runs(fleet))
        assert fleet.outcome(JOB_ID) == "completed"
        assert len(fleet.starts()) == 1


async def test_pending_counts_stay_published_while_the_next_holder_loads_the_jobs():
    """A holder that does not know the jobs yet must not publish that none waits."""
    async with running_fleet(servers=0, members=2) as fleet:
        for number in range(9):
            accept_job(fleet.rows, build_spec(job_id=f"{number:016x}"))
        await fleet.advance_ms(1000)
        first = fleet.leader
        second = next(member for member in fleet.members if member is not first)
        second.store.read_delay_ms = 600
        published = []

        def record_published():
            published.append(second.lease.last_record.pending)

        await first.lease.stop()
        await fleet.advance_ms(4000, check=record_published)
        assert fleet.leader is second
        assert all(pending == {"swatches": 9} for pending in published)
