"""Tests that no decision is taken from incomplete knowledge of the runs on backend servers."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.kernel import Event
from fireflydeck.ownership.records import ROSTER_WORK_ROW
from fireflydeck.platform.standin.documents import (
    put_configuration,
    put_registration,
    remove_registration,
)
from fireflydeck.scheduling.server_life import SERVER_LEASE_MS
from fireflydeck.scheduling.session import LEASE_EXTENSION_GRACE_MS
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.fleet_fakes import OrderFault
from fireflydeck.testing.job_builders import (
    JOB_ID,
    accept_job,
    build_spec,
    build_step,
    cancel_job,
)

pytestmark = pytest.mark.anyio

_LONG_MS = 60_000
_APPLY_MS = 400
_TAKE_OVER_MS = 4000
_LAPSED_MS = LEASE_EXTENSION_GRACE_MS + 2 * SERVER_LEASE_MS


def _set_duration(fleet, duration_ms):
    for server in fleet.servers.values():
        server.duration_ms = duration_ms


def _standby(fleet):
    """Return the member that does not hold the lease."""
    return next(member for member in fleet.members if not member.is_leader)


async def _take_over(fleet, *, unreachable=(), is_planned=False):
    """Let the standby take the lease over while it cannot reach some backend servers.

    The holder stops as planned, or it loses the store.
    """
    first, second = fleet.leader, _standby(fleet)
    second.unreachable = set(unreachable)
    if is_planned:
        await first.lease.stop()
    else:
        first.store.outage = Ran.UNKNOWN
    while not second.is_leader:
        await fleet.advance_ms(20, check=no_duplicate_runs(fleet))
    return second


def _remove_roster_work(fleet):
    """Leave the roster as an older version of the program stores it."""
    fleet.rows.commit(RowTransaction(removals=(ROSTER_WORK_ROW,)))


def _write_odd_roster_work(fleet):
    fleet.rows.commit(RowTransaction(writes=(RowWrite(ROSTER_WORK_ROW, b"\x92\x01\xa1"),)))


@pytest.mark.parametrize("spoil", [None, _remove_roster_work, _write_odd_roster_work])
@pytest.mark.parametrize("is_planned", [False, True])
async def test_run_in_the_earlier_pool_of_a_queue_is_not_started_again(is_planned, spoil):
    """TWICE of issue 31, case 1: a queue has moved to another pool before the take-over."""
    async with running_fleet(servers=2, members=2) as fleet:
        fleet.add_server("s3", service="press")
        _set_duration(fleet, _LONG_MS)
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(500)
        put_configuration(fleet.rows, version=4, pool="press")
        await fleet.advance_ms(_APPLY_MS)
        if spoil is not None:
            spoil(fleet)
        await _take_over(fleet, unreachable=["s1", "s2"], is_planned=is_planned)
        await fleet.advance_ms(2000, check=no_duplicate_runs(fleet))
        assert fleet.servers["s3"].starts == []
        await fleet.advance_ms(_LAPSED_MS, check=no_duplicate_runs(fleet))
        assert len(fleet.servers["s3"].starts) == 4


async def test_moved_queue_does_not_wait_for_servers_that_never_ran_it():
    """A silent server holds back only the queues whose tasks it may run."""
    async with running_fleet(servers=2, members=2) as fleet:
        fleet.add_server("s3", service="press")
        await fleet.advance_ms(_APPLY_MS)
        first = fleet.leader
        for server_id in fleet.servers:
            first.orders[server_id].is_unreachable = True
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(1000)
        await _take_over(fleet, unreachable=["s3"])
        await fleet.advance_ms(1000, check=no_duplicate_runs(fleet))
        assert [task for task, _ in fleet.starts()] == [f"{JOB_ID}.0.0.0"]


@pytest.mark.parametrize("spoil", [None, _remove_roster_work])
async def test_later_holders_remember_the_earlier_pool_of_a_queue(spoil):
    """Also the third holder after the change of the pool knows where runs may be left."""
    async with running_fleet(servers=1, members=4) as fleet:
        fleet.add_server("s2", service="press")
        _set_duration(fleet, _LONG_MS)
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(500)
        put_configuration(fleet.rows, version=4, pool="press")
        await fleet.advance_ms(_APPLY_MS)
        if spoil is not None:
            spoil(fleet)
        for _ in range(3):
            for member in fleet.members:
                member.unreachable = {"s1"}
            first = fleet.leader
            first.store.outage = Ran.UNKNOWN
            while first.is_leader or not any(member.is_leader for member in fleet.members):
                await fleet.advance_ms(20, check=no_duplicate_runs(fleet))
            await fleet.advance_ms(300, check=no_duplicate_runs(fleet))
        assert fleet.servers["s2"].starts == []


async def test_run_whose_end_is_on_a_later_page_is_not_lost():
    """TWICE of issue 31, case 2: more runs end than one answer lists while the holder is frozen."""
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].max_listed_ends = 5
        accept_job(fleet.rows, build_spec(build_step(count=16)))
        await fleet.advance_ms(500)
        orders = fleet.leader.orders["s1"]
        orders.is_unreachable = True
        await fleet.advance_ms(800)
        orders.is_unreachable = False
        await fleet.advance_ms(2000)
        assert len(fleet.starts()) == 16
        assert fleet.outcome(JOB_ID) == "completed"


@pytest.mark.parametrize("is_planned", [False, True])
async def test_next_holder_reads_all_pages_of_ends_before_it_starts_tasks_again(is_planned):
    """Suspected beside case 2: a server counted as known after the first page of its ends."""
    async with running_fleet(servers=1, members=2) as fleet:
        fleet.servers["s1"].max_listed_ends = 5
        accept_job(fleet.rows, build_spec(build_step(count=16)))
        await fleet.advance_ms(500)
        fleet.leader.orders["s1"].is_unreachable = True
        await _take_over(fleet, is_planned=is_planned)
        await fleet.advance_ms(3000)
        assert len(fleet.starts()) == 16
        assert fleet.outcome(JOB_ID) == "completed"


async def test_start_without_an_answer_is_not_stopped_while_pages_of_ends_follow():
    """The run may have ended on a later page, and its end must not be taken for a stop."""
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].max_listed_ends = 2
        orders = fleet.leader.orders["s1"]
        orders.next_starts = [None] * 8 + [OrderFault.ANSWER_LOST] * 8
        orders.lost_heartbeats = 5
        accept_job(fleet.rows, build_spec(build_step(count=16)))
        await fleet.advance_ms(4000)
        assert len(fleet.starts()) == 16
        assert fleet.outcome(JOB_ID) == "completed"


_OTHER_JOB = "00000000000000b2"
_NEW_JOB = "00000000000000c3"
_LIMIT_CPU = 8000
_LIMIT_TASKS = 4


def _within_limit(fleet):
    """Return a check that the organisation's running tasks stay within its limit."""

    def check():
        assert len(fleet.running()) <= _LIMIT_TASKS, fleet.running()

    return check


@pytest.mark.parametrize("is_new_job", [False, True])
@pytest.mark.parametrize("is_planned", [False, True])
async def test_limit_holds_while_runs_in_another_pool_are_unknown(is_planned, is_new_job):
    """QUOTA of issue 31, case 4: the next holder hears of the runs in one pool first."""
    options = {"further_queues": ("press",), "further_pool": "press", "cpu_limit": _LIMIT_CPU}
    async with running_fleet(servers=1, members=2, **options) as fleet:
        fleet.add_server("s2", service="press")
        await fleet.advance_ms(_APPLY_MS)
        _set_duration(fleet, _LONG_MS)
        accept_job(fleet.rows, build_spec(build_step(count=3), job_id=_OTHER_JOB, queue="press"))
        await fleet.advance_ms(_APPLY_MS)
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(_APPLY_MS)
        assert len(fleet.running()) == _LIMIT_TASKS
        await _take_over(fleet, unreachable=["s2"], is_planned=is_planned)
        if is_new_job:
            accept_job(fleet.rows, build_spec(build_step(count=4), job_id=_NEW_JOB))
        await fleet.advance_ms(_LAPSED_MS, check=_within_limit(fleet))
        assert len(fleet.servers["s1"].running()) == _LIMIT_TASKS


async def test_organisation_without_unknown_runs_does_not_wait_for_a_silent_server():
    """The unknown usage is at most what the tasks of its older jobs demand."""
    async with running_fleet(servers=2, members=2, cpu_limit=_LIMIT_CPU) as fleet:
        accept_job(fleet.rows, build_spec(build_step(count=2)))
        await fleet.advance_ms(2000)
        await _take_over(fleet, unreachable=["s2"])
        await fleet.advance_ms(200)
        accept_job(fleet.rows, build_spec(build_step(count=4), job_id=_NEW_JOB))
        await fleet.advance_ms(_APPLY_MS, check=_within_limit(fleet))
        assert len(fleet.running()) == _LIMIT_TASKS


async def test_organisation_far_below_its_limit_does_not_wait_for_a_silent_server():
    """The unknown usage is at most the capacity of the servers that have not answered."""
    options = {"further_queues": ("press",), "further_pool": "press", "cpu_limit": 90_000}
    async with running_fleet(servers=1, members=2, **options) as fleet:
        fleet.add_server("s2", service="press")
        await fleet.advance_ms(_APPLY_MS)
        _set_duration(fleet, _LONG_MS)
        accept_job(fleet.rows, build_spec(build_step(count=40), job_id=_OTHER_JOB, queue="press"))
        await fleet.advance_ms(_APPLY_MS)
        await _take_over(fleet, unreachable=["s2"])
        await fleet.advance_ms(200)
        accept_job(fleet.rows, build_spec(build_step(count=8)))
        await fleet.advance_ms(_APPLY_MS)
        assert len(fleet.servers["s1"].running()) == 8


async def test_server_stays_in_the_roster_until_the_ends_of_its_runs_are_stored():
    """TWICE: the holder is lost after it has forgotten a server and before it stores an end."""
    async with running_fleet(servers=2, members=2) as fleet:
        _set_duration(fleet, 1500)
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_APPLY_MS)
        server_id = next(key for key, server in fleet.servers.items() if server.starts)
        remove_registration(fleet.rows, server_id)
        first = fleet.leader
        while Event.RUN_ENDED not in fleet.log.emitted():
            await fleet.advance_ms(2, step_ms=2)
        while first.scheduler.current.servers.get(server_id) and not fleet.outcome(JOB_ID):
            await fleet.advance_ms(2, step_ms=2)
        await fleet.advance_ms(4, step_ms=2)
        first.store.outage = Ran.UNKNOWN
        while first.is_leader or not any(member.is_leader for member in fleet.members):
            await fleet.advance_ms(20)
        put_registration(fleet.rows, server_id, address="127.0.0.1:1")
        await fleet.advance_ms(4000)
        assert len(fleet.starts()) == 1
        assert fleet.outcome(JOB_ID) == "completed"


@pytest.mark.parametrize("is_cancelled_before", [False, True])
async def test_runs_of_an_ended_job_count_against_the_limit_until_they_are_gone(
    is_cancelled_before,
):
    """QUOTA: a job is cancelled around the take-over while a server that runs it is silent."""
    async with running_fleet(servers=2, members=2, cpu_limit=_LIMIT_CPU) as fleet:
        _set_duration(fleet, _LONG_MS)
        accept_job(fleet.rows, build_spec(build_step(count=4, max_per_server=2)))
        await fleet.advance_ms(_APPLY_MS)
        assert len(fleet.servers["s2"].running()) == 2
        fleet.leader.orders["s2"].is_unreachable = True
        if is_cancelled_before:
            cancel_job(fleet.rows, JOB_ID)
            await fleet.advance_ms(_APPLY_MS)
        await _take_over(fleet, unreachable=["s2"])
        if not is_cancelled_before:
            cancel_job(fleet.rows, JOB_ID)
        await fleet.advance_ms(200)
        accept_job(fleet.rows, build_spec(build_step(count=4), job_id=_NEW_JOB))
        await fleet.advance_ms(_LAPSED_MS, check=_within_limit(fleet))
        assert fleet.outcome(JOB_ID) == "cancelled"
        assert len(fleet.running()) == _LIMIT_TASKS
        assert fleet.leader.scheduler.current.job_tracker.job(JOB_ID) is None


async def test_roster_of_an_older_version_is_forgotten_once_all_runs_are_known():
    """The second holder after it waits only for servers that may run the job's queue."""
    async with running_fleet(servers=1, members=3) as fleet:
        fleet.add_server("s2", service="press")
        await fleet.advance_ms(_APPLY_MS)
        _remove_roster_work(fleet)
        await _take_over(fleet)
        await fleet.advance_ms(_APPLY_MS)
        for member in fleet.members:
            member.unreachable = {"s2"}
            for orders in member.orders.values():
                orders.is_unreachable = True
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_APPLY_MS)
        second = fleet.leader
        second.store.outage = Ran.UNKNOWN
        while second.is_leader or not any(member.is_leader for member in fleet.members):
            await fleet.advance_ms(20)
        await fleet.advance_ms(1000)
        assert [task for task, _ in fleet.starts()] == [f"{JOB_ID}.0.0.0"]
