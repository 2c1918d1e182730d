"""Tests of orders without an answer: half of the starts get none and arrive much later."""

import pytest

from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.fleet_fakes import OrderFault
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, build_step

pytestmark = pytest.mark.anyio

_LONG_JOB = "00000000000000b2"
_QUICK_MS = 400


async def _occupy(fleet):
    """Run a long task on every server, so that heartbeats wait for its end."""
    for server in fleet.servers.values():
        server.duration_ms = 20_000
    spec = build_spec(build_step(count=2, max_per_server=1), job_id=_LONG_JOB)
    accept_job(fleet.rows, spec)
    await fleet.advance_ms(1000)
    assert [len(server.running()) for server in fleet.servers.values()] == [1, 1]
    for server in fleet.servers.values():
        server.duration_ms = _QUICK_MS


async def test_lost_starts_are_repeated_immediately():
    async with running_fleet(servers=2) as fleet:
        await _occupy(fleet)
        for orders in fleet.leader.orders.values():
            orders.next_starts = [OrderFault.LATE, None, OrderFault.LATE, None]
        accept_job(fleet.rows, build_spec(build_step(count=8)))
        await fleet.advance_ms(_QUICK_MS + 300, check=no_duplicate_runs(fleet))
        assert fleet.outcome(JOB_ID) == "completed"
        for orders in fleet.leader.orders.values():
            orders.deliver_late()
        await fleet.advance_ms(1000, check=no_duplicate_runs(fleet))
        assert len(fleet.starts()) == 10


@pytest.mark.parametrize(("lost", "is_reachable"), [(1, True), (2, True), (3, False)])
async def test_server_is_unreachable_after_several_lost_answers(lost, is_reachable):
    async with running_fleet(servers=1) as fleet:
        orders = fleet.leader.orders["s1"]
        fleet.servers["s1"].duration_ms = 20_000
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(500)
        orders.lost_heartbeats = lost
        seen = []
        await fleet.advance_ms(
            1000,
            check=lambda: seen.append(fleet.leader.scheduler.current.servers["s1"].is_reachable),
        )
        assert all(seen) is is_reachable
