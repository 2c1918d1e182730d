"""Servers that start again under their ids, and orders that were meant for their former lives."""

import pytest

from fireflydeck.core.backend_orders import StartOutcome
from fireflydeck.platform.standin.documents import put_registration
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.fleet_fakes import OrderFault
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, build_step

pytestmark = pytest.mark.anyio

_TASK = f"{JOB_ID}.0.0.0"
_OTHER_JOB = "00000000000000c5"
_LONG_MS = 40_000
_NEW_CLOCK_MS = 1000
"""Clock of a new life; the deadlines for the former one lie far ahead of it."""
_CUT_MS = 9000


def _prepare(fleet):
    for server in fleet.servers.values():
        server.duration_ms = _LONG_MS
        server.clock_offset_ms = 5_000_000


async def _start_task(fleet):
    """Start a long task; return the id of its server and the orders of the holder to it."""
    accept_job(fleet.rows, build_spec())
    await fleet.advance_ms(500)
    name = next(key for key, server in fleet.servers.items() if server.running())
    return name, fleet.leader.orders[name]


async def _restart(fleet, name, dark_ms, *, is_registered=False):
    """Let a server crash, be silent for a while, and start again with a clock that starts anew."""
    orders = fleet.leader.orders[name]
    orders.is_unreachable = True
    await fleet.advance_ms(dark_ms)
    fleet.servers[name].crash(clock_ms=_NEW_CLOCK_MS)
    if is_registered:
        born_ms = fleet.servers[name].born_ms
        put_registration(fleet.rows, name, address="127.0.0.1:1", born_ms=born_ms)
    orders.is_unreachable = False


# Guards against tasks that run twice, since a deadline by the former clock extends the new lease.
@pytest.mark.parametrize("dark_ms", [0, 20, 40, 600])
@pytest.mark.parametrize("up_ms", [40, 400, 2000])
@pytest.mark.parametrize("is_registered", [False, True])
async def test_server_is_cut_off_soon_after_a_restart(dark_ms, up_ms, is_registered):
    async with running_fleet(_prepare, servers=2) as fleet:
        name, orders = await _start_task(fleet)
        await _restart(fleet, name, dark_ms, is_registered=is_registered)
        check = no_duplicate_runs(fleet)
        await fleet.advance_ms(up_ms, check=check)
        accept_job(fleet.rows, build_spec(build_step(count=8), job_id=_OTHER_JOB))
        await fleet.advance_ms(100, check=check)
        orders.is_unreachable = True
        await fleet.advance_ms(_CUT_MS, check=check)
        assert len(fleet.running()) == 9


# Guards against the same by a heartbeat to the former life that the new one carries out late.
@pytest.mark.parametrize("delivered_ms", [0, 60, 500, 1500])
async def test_heartbeat_for_a_former_life_is_carried_out_by_the_next(delivered_ms):
    async with running_fleet(_prepare, servers=2) as fleet:
        name, orders = await _start_task(fleet)
        orders.late_heartbeats = 2
        await fleet.advance_ms(1000)
        await _restart(fleet, name, 0)
        check = no_duplicate_runs(fleet)
        await fleet.advance_ms(delivered_ms, check=check)
        orders.deliver_late()
        await fleet.advance_ms(2000 - delivered_ms, check=check)
        orders.is_unreachable = True
        await fleet.advance_ms(_CUT_MS, check=check)
        assert len(fleet.running()) == 1


# Guards against a start for a former life that begins in the next one after the task was given up.
@pytest.mark.parametrize("is_stopped_first", [True, False])
async def test_start_for_a_former_life_is_refused_by_the_next(is_stopped_first):
    async with running_fleet(_prepare, servers=2) as fleet:
        check = no_duplicate_runs(fleet)
        for orders in fleet.leader.orders.values():
            orders.next_starts = [OrderFault.LATE]
        accept_job(fleet.rows, build_spec())
        while not any(orders.has_late_starts for orders in fleet.leader.orders.values()):
            await fleet.advance_ms(2, step_ms=2)
        name = next(n for n, orders in fleet.leader.orders.items() if orders.has_late_starts)
        if is_stopped_first:
            await fleet.advance_ms(1500, check=check)
        await _restart(fleet, name, 0)
        await fleet.advance_ms(1500, check=check)
        assert fleet.leader.orders[name].deliver_late() == [StartOutcome.FENCED]
        await fleet.advance_ms(2000, check=check)
        assert fleet.running() == [_TASK]
        assert fleet.leader.lease.tenure is not None


# Guards against ends of a new life that an acknowledgement for the former one discards unread.
async def test_acknowledgement_for_a_former_life_discards_no_ends_of_the_next():
    async with running_fleet(_prepare, servers=1) as fleet:
        server, orders = fleet.servers["s1"], fleet.leader.orders["s1"]
        server.duration_ms = 100
        accept_job(fleet.rows, build_spec(build_step(count=6)))
        await fleet.advance_ms(1000)
        assert fleet.outcome(JOB_ID) == "completed"
        server.duration_ms = _LONG_MS
        accept_job(fleet.rows, build_spec(job_id="00000000000000c6"))
        await fleet.advance_ms(400)
        orders.late_heartbeats = 2
        await fleet.advance_ms(1000)
        await _restart(fleet, "s1", 0)
        await fleet.advance_ms(500)
        server.duration_ms = 100
        accept_job(fleet.rows, build_spec(job_id=_OTHER_JOB))
        while not any(task.startswith(_OTHER_JOB) for task, _ in server.starts):
            await fleet.advance_ms(2, step_ms=2)
        orders.is_unreachable = True
        await fleet.advance_ms(200)
        orders.deliver_late()
        orders.is_unreachable = False
        await fleet.advance_ms(1500)
        assert fleet.outcome(_OTHER_JOB) == "completed"
        assert sum(task.startswith(_OTHER_JOB) for task, _ in server.starts) == 1


# Guards against an earlier holder's start that a restarted server carries out after the take-over.
@pytest.mark.parametrize("is_cut", [False, True])
async def test_start_of_an_earlier_holder_is_carried_out_by_a_new_life(is_cut):
    async with running_fleet(_prepare, servers=2, members=2) as fleet:
        check = no_duplicate_runs(fleet)
        first = fleet.leader
        second = next(member for member in fleet.members if member is not first)
        for orders in first.orders.values():
            orders.next_starts = [OrderFault.LATE]
        accept_job(fleet.rows, build_spec())
        while not any(orders.has_late_starts for orders in first.orders.values()):
            await fleet.advance_ms(2, step_ms=2)
        name = next(n for n, orders in first.orders.items() if orders.has_late_starts)
        await first.lease.stop()
        await fleet.advance_ms(1000, check=check)
        assert fleet.leader is second
        await _restart(fleet, name, 0, is_registered=True)
        if is_cut:
            second.orders[name].is_unreachable = True
            await fleet.advance_ms(500, check=check)
        else:
            await fleet.advance_ms(500, check=check)
        first.orders[name].deliver_late()
        await fleet.advance_ms(8000, check=check)
        second.orders[name].is_unreachable = False
        await fleet.advance_ms(13_000, check=check)
        assert fleet.running() == [_TASK]
        assert fleet.leader is second


# Guards against runs that a new holder gives up before leases of the time before it have expired.
async def test_lease_of_an_earlier_holder_on_a_new_life_is_waited_for():
    async with running_fleet(_prepare, servers=2, members=2) as fleet:
        check = no_duplicate_runs(fleet)
        name, _ = await _start_task(fleet)
        first = fleet.leader
        await _restart(fleet, name, 100)
        await fleet.advance_ms(300, check=check)
        await first.lease.stop()
        while fleet.members[0].lease.tenure is None and fleet.members[1].lease.tenure is None:
            await fleet.advance_ms(20, check=check)
        second = fleet.leader
        assert second is not first
        while name not in second.orders:
            await fleet.advance_ms(2, step_ms=2, check=check)
        await fleet.advance_ms(60, check=check)
        second.orders[name].is_unreachable = True
        await fleet.advance_ms(_CUT_MS, check=check)
        assert fleet.running() == [_TASK]


# Guards against a server that is no longer used because another writer named a later start time.
async def test_registration_with_a_wrong_start_time_does_not_end_the_use_of_a_server():
    async with running_fleet(_prepare, servers=1) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(500)
        for born_ms in (10**15, 10**15 + 1, 10**15):
            put_registration(fleet.rows, "s1", address="127.0.0.1:1", born_ms=born_ms)
            await fleet.advance_ms(500)
        assert fleet.running() == [_TASK]
        accept_job(fleet.rows, build_spec(job_id=_OTHER_JOB))
        await fleet.advance_ms(500)
        assert len(fleet.starts()) == 2


# Guards against a server that gets the fencing token of before after it was forgotten and is back.
async def test_forgotten_server_gets_a_higher_fencing_token():
    async with running_fleet(_prepare, servers=1) as fleet:
        servers = fleet.leader.scheduler.current.servers
        token = servers["s1"].life.fencing_token
        server = servers["s1"]
        server.is_registered = False
        fleet.leader.scheduler.current._retire_if_idle(server)
        assert "s1" not in servers
        put_registration(fleet.rows, "s1", address="127.0.0.1:2")
        await fleet.advance_ms(1000)
        assert servers["s1"].life.fencing_token == token + 1
        assert servers["s1"].life.has_answered


# Guards against a holder that goes on without fencing after many restarts of one server.
async def test_holder_without_fencing_tokens_begins_a_new_tenure():
    async with running_fleet(_prepare, servers=1) as fleet:
        term = fleet.leader.lease.tenure.term
        tokens = fleet.leader.scheduler.current._tokens
        while tokens.issue("s1") < tokens.last:
            pass
        await _restart(fleet, "s1", 0, is_registered=True)
        await fleet.advance_ms(3000)
        assert fleet.leader.lease.tenure.term > term
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(500)
        assert fleet.running() == [_TASK]
