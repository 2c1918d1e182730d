"""Speculative copies on a fleet. Load: a task lasts many times as long as its step's others.

Guarded failures: two runs at once without `speculative`, a start after the recorded end `done`, a
job that fails by its copy, copies that take capacity from waiting tasks, a copy lost with a holder.
"""

import pytest

from fireflydeck.core import Ran
from fireflydeck.core.backend_orders import RunEnd, StartOutcome
from fireflydeck.core.placement import Resources
from fireflydeck.platform.standin.documents import (
    put_configuration,
    put_evacuation,
    put_registration,
)
from fireflydeck.scheduling.server_life import SERVER_LEASE_MS
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.scheduling.tests.slow_tasks import (
    COPY_DUE_MS,
    COPY_MS,
    TASK,
    start_slow_task,
    starts_after_done,
)
from fireflydeck.testing.fleet_fakes import OrderFault
from fireflydeck.testing.job_builders import (
    JOB_ID,
    accept_job,
    build_spec,
    build_step,
    cancel_job,
)

pytestmark = pytest.mark.anyio

_OTHER_JOB = "00000000000000b2"


async def _lose_leader(fleet):
    first = fleet.leader
    first.store.outage = Ran.UNKNOWN
    while first.is_leader or not any(member.is_leader for member in fleet.members):
        await fleet.advance_ms(20)


def _copies(fleet):
    return [run for name, server in fleet.servers.items() if name != "s1" for run in server.records]


async def test_copy_completes_the_job_and_the_slow_run_is_stopped():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        await fleet.advance_ms(COPY_DUE_MS)
        assert fleet.running() == [TASK, TASK]
        await fleet.advance_ms(COPY_MS + 400)
        assert fleet.outcome(JOB_ID) == "completed"
        assert fleet.running() == []
        assert len(fleet.starts()) == 2
        metrics = fleet.leader.metrics
        assert metrics.value("speculative_copies_started_total", pool="paint") == 1
        assert metrics.value("speculative_copies_won_total") == 1


async def test_slow_run_that_ends_first_counts_and_the_copy_is_stopped():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet, slow_ms=2200)
        fleet.servers["s2"].duration_ms = 20_000
        await fleet.advance_ms(COPY_DUE_MS + 1000)
        assert fleet.outcome(JOB_ID) == "completed"
        assert [run.end for run in _copies(fleet)] == [RunEnd.STOPPED]
        assert fleet.leader.metrics.value("speculative_copies_stopped_total") == 1
        cost = fleet.leader.metrics.value("speculative_copies_stopped_core_seconds_total")
        assert 0.5 < cost < 3


@pytest.mark.parametrize(
    "step", [{"speculative": False}, {"gang": True}, {"long_running": True}], ids=str
)
async def test_other_steps_never_have_two_runs(step):
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet, **step)
        await fleet.advance_ms(6000, check=no_duplicate_runs(fleet))
        assert len(fleet.starts()) == 1


async def test_copy_runs_in_another_rack_if_there_is_one():
    def add_racks(fleet):
        for number, rack in enumerate(["r1-1", "r1-1", "r1-2"], start=1):
            fleet.add_server(f"s{number}", labels=["a", rack])

    async with running_fleet(servers=0, prepare=add_racks) as fleet:
        await start_slow_task(fleet)
        await fleet.advance_ms(COPY_DUE_MS)
        assert fleet.servers["s3"].starts == [(TASK, 2)]


@pytest.mark.parametrize(("limit", "copies"), [(200_000, 0), (60_000, 1)])
async def test_no_copy_while_a_task_waits_for_capacity(limit, copies):
    """The copy would fit beside the wide tasks; one that waits for the limit is no reason."""
    async with running_fleet(servers=2, cpu_limit=limit) as fleet:
        await start_slow_task(fleet)
        for server in fleet.servers.values():
            server.duration_ms = 20_000
        wide = build_step(count=3, demand=Resources(28_000, 1000), estimated_ms=20_000)
        accept_job(fleet.rows, build_spec(wide, job_id=_OTHER_JOB))
        await fleet.advance_ms(6000)
        assert len(fleet.running()) == 3 + copies


async def test_no_copy_beyond_the_limit_of_the_organisation():
    async with running_fleet(servers=2, cpu_limit=3000) as fleet:
        await start_slow_task(fleet)
        await fleet.advance_ms(6000, check=no_duplicate_runs(fleet))


async def test_copies_stay_within_the_budget_and_max_per_server():
    async with running_fleet(servers=3) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = 20_000
        accept_job(fleet.rows, build_spec(build_step(count=3, max_per_server=1, speculative=True)))
        await fleet.advance_ms(6000, check=no_duplicate_runs(fleet))
        fleet.add_server("s4")
        fleet.servers["s4"].duration_ms = 20_000
        fleet.add_server("s5")
        await fleet.advance_ms(3000)
        assert len(fleet.running()) == 4


@pytest.mark.parametrize("end_of_first", [RunEnd.DONE, RunEnd.FAILED])
async def test_failed_copy_leaves_the_job_to_the_other_run(end_of_first):
    async with running_fleet(servers=3, max_attempts=1) as fleet:
        fleet.servers["s1"].end_of_next = end_of_first
        await start_slow_task(fleet, slow_ms=4000)
        for name in ("s2", "s3"):
            fleet.servers[name].end_of_next = RunEnd.FAILED
        await fleet.advance_ms(COPY_DUE_MS + COPY_MS + 400)
        assert [run.end for run in _copies(fleet)] == [RunEnd.FAILED]
        assert fleet.outcome(JOB_ID) is None
        await fleet.advance_ms(2400)
        assert fleet.outcome(JOB_ID) == {"done": "completed", "failed": "failed"}[end_of_first]
        assert len(fleet.starts()) == 2


async def test_failed_copy_does_not_fail_the_job_under_a_holder_that_knows_no_run_yet():
    """The next holder reads that all attempts are used before it hears of the first run."""
    async with running_fleet(servers=2, members=2, max_attempts=1) as fleet:
        await start_slow_task(fleet, slow_ms=8000)
        fleet.servers["s2"].end_of_next = RunEnd.FAILED
        await fleet.advance_ms(COPY_DUE_MS + COPY_MS + 400)
        second = next(member for member in fleet.members if not member.is_leader)
        second.unreachable = {"s1"}
        await _lose_leader(fleet)
        await fleet.advance_ms(600)
        assert fleet.outcome(JOB_ID) is None
        second.orders["s1"].is_unreachable = False
        await fleet.advance_ms(6000)
        assert fleet.outcome(JOB_ID) == "completed"
        assert len(fleet.starts()) == 2


async def test_next_holder_that_does_not_hear_of_the_copy_starts_no_third_run():
    async with running_fleet(servers=3, members=2) as fleet:
        await start_slow_task(fleet)
        for name in ("s2", "s3"):
            fleet.servers[name].duration_ms = 20_000
        await fleet.advance_ms(COPY_DUE_MS)
        second = next(member for member in fleet.members if not member.is_leader)
        second.unreachable = {
            name for name, server in fleet.servers.items() if name != "s1" and server.running()
        }
        await _lose_leader(fleet)

        def check():
            assert len(fleet.running()) <= 2

        await fleet.advance_ms(9000, check=check)


async def test_copy_that_the_next_holder_does_not_hear_of_counts_towards_the_limit():
    """The limit allows three tasks; the first run, the silent copy and one more use it up."""
    async with running_fleet(servers=3, members=2, cpu_limit=6000) as fleet:
        await start_slow_task(fleet)
        for server in fleet.servers.values():
            server.duration_ms = 20_000
        await fleet.advance_ms(COPY_DUE_MS)
        second = next(member for member in fleet.members if not member.is_leader)
        second.unreachable = {
            name for name, server in fleet.servers.items() if name != "s1" and server.running()
        }
        await _lose_leader(fleet)
        accept_job(fleet.rows, build_spec(build_step(count=4), job_id=_OTHER_JOB))

        def check():
            assert len(fleet.running()) <= 3

        await fleet.advance_ms(2000, check=check)
        assert len(fleet.running()) == 3


async def test_losing_run_of_a_completed_job_counts_towards_the_limit_of_the_next_holder():
    """The job is completed and its row is still whole when the holder is lost."""
    async with running_fleet(servers=2, members=2, cpu_limit=4000) as fleet:
        first = fleet.leader
        await start_slow_task(fleet, slow_ms=2000)
        fleet.servers["s2"].duration_ms = 20_000
        await fleet.advance_ms(COPY_DUE_MS - 400)
        first.orders["s2"].is_unreachable = True
        while fleet.outcome(JOB_ID) is None:
            await fleet.advance_ms(20)
        second = next(member for member in fleet.members if member is not first)
        second.unreachable = {"s2"}
        await first.lease.stop()
        while not second.is_leader:
            await fleet.advance_ms(20)
        assert fleet.running() == [TASK]
        accept_job(fleet.rows, build_spec(build_step(count=4), job_id=_OTHER_JOB))

        def check():
            assert len(fleet.running()) <= 2

        await fleet.advance_ms(1200, check=check)


async def test_next_holder_keeps_both_runs_and_starts_no_third():
    async with running_fleet(servers=3, members=2) as fleet:
        await start_slow_task(fleet, slow_ms=9000)
        for name in ("s2", "s3"):
            fleet.servers[name].duration_ms = 9000
        await fleet.advance_ms(COPY_DUE_MS)
        assert len(fleet.running()) == 2
        await _lose_leader(fleet)

        def check():
            assert fleet.running() == [TASK, TASK] or fleet.outcome(JOB_ID)

        await fleet.advance_ms(3000, check=check)
        await fleet.advance_ms(6000)
        assert fleet.outcome(JOB_ID) == "completed"
        assert len(fleet.starts()) == 2
        assert starts_after_done(fleet) == []


@pytest.mark.parametrize("fault", list(OrderFault))
@pytest.mark.parametrize("is_cut_off", [False, True])
async def test_copy_without_an_answer_never_starts_after_the_recorded_end(fault, is_cut_off):
    """The first run ends while the copy's start is on its way, also to a server that went silent.

    A late order is carried out 1.5 s after it was sent.
    """
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet, slow_ms=2000)
        orders = fleet.leader.orders["s2"]
        orders.next_starts = [fault]
        while fault is not OrderFault.NOT_SENT and not (orders.has_late_starts or _copies(fleet)):
            await fleet.advance_ms(2, step_ms=2)
        orders.is_unreachable = is_cut_off
        await fleet.advance_ms(1500)
        orders.deliver_late()
        await fleet.advance_ms(8000)
        assert starts_after_done(fleet) == []
        assert fleet.outcome(JOB_ID) == "completed"
        assert fleet.running() == []


async def test_copy_that_fails_while_the_end_is_held_back_does_not_fail_the_job():
    """The copy's server went silent after the start and reports the failure after the other end."""
    async with running_fleet(servers=2, max_attempts=1) as fleet:
        await start_slow_task(fleet, slow_ms=2200)
        fleet.servers["s2"].end_of_next = RunEnd.FAILED
        orders = fleet.leader.orders["s2"]
        orders.next_starts = [OrderFault.ANSWER_LOST]
        while not _copies(fleet):
            await fleet.advance_ms(2, step_ms=2)
        orders.is_unreachable = True
        await fleet.advance_ms(1400)
        assert fleet.outcome(JOB_ID) is None
        orders.is_unreachable = False
        await fleet.advance_ms(1000)
        assert [run.end for run in _copies(fleet)] == [RunEnd.FAILED]
        assert fleet.outcome(JOB_ID) == "completed"


async def test_late_copy_of_a_lost_holder_never_starts_after_the_recorded_end():
    """The next holder does not know the copy, and the copy's server does not answer it."""
    async with running_fleet(servers=2, members=2) as fleet:
        first = fleet.leader
        second = next(member for member in fleet.members if member is not first)
        second.unreachable = {"s2"}
        await start_slow_task(fleet, slow_ms=3000)
        first.orders["s2"].next_starts = [OrderFault.LATE]
        while not first.orders["s2"].has_late_starts:
            await fleet.advance_ms(2, step_ms=2)
        await first.lease.stop()
        while not second.is_leader:
            await fleet.advance_ms(2, step_ms=2)
        await fleet.advance_ms(1600)
        first.orders["s2"].deliver_late()
        await fleet.advance_ms(10_000)
        assert starts_after_done(fleet) == []
        assert fleet.outcome(JOB_ID) == "completed"


async def test_no_copy_while_the_end_waits_for_its_commit():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet, slow_ms=1300)
        await fleet.advance_ms(1000)
        fleet.leader.store.outage = Ran.UNKNOWN
        await fleet.advance_ms(2000)
        assert len(fleet.starts()) == 1


async def test_cancelled_job_has_both_runs_stopped():
    async with running_fleet(servers=3) as fleet:
        await start_slow_task(fleet)
        await fleet.advance_ms(COPY_DUE_MS)
        cancel_job(fleet.rows, JOB_ID)
        await fleet.advance_ms(4000)
        assert fleet.running() == []
        assert len(fleet.starts()) == 2
        assert fleet.outcome(JOB_ID) == "cancelled"


async def test_job_cancelled_before_its_copy_gets_none():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        await fleet.advance_ms(1000)
        cancel_job(fleet.rows, JOB_ID)
        await fleet.advance_ms(3000)
        assert len(fleet.starts()) == 1


async def test_rejected_copy_is_tried_again_and_the_first_run_goes_on():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        fleet.leader.orders["s2"].start_outcome = StartOutcome.BUSY
        await fleet.advance_ms(COPY_DUE_MS + 1000)
        assert fleet.running() == [TASK]
        fleet.leader.orders["s2"].start_outcome = None
        await fleet.advance_ms(2000)
        assert fleet.outcome(JOB_ID) == "completed"


async def test_copy_outlives_the_server_of_the_first_run():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        fleet.servers["s2"].duration_ms = 8000
        await fleet.advance_ms(COPY_DUE_MS)
        fleet.leader.orders["s1"].is_unreachable = True
        await fleet.advance_ms(3 * SERVER_LEASE_MS)
        assert fleet.outcome(JOB_ID) == "completed"
        assert [run for _, run in fleet.starts()] == [1, 2]


async def test_lost_stop_of_the_losing_run_is_repeated():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        await fleet.advance_ms(COPY_DUE_MS)
        fleet.leader.orders["s1"].is_unreachable = True
        await fleet.advance_ms(COPY_MS + 200)
        assert fleet.servers["s1"].running() == [TASK]
        fleet.leader.orders["s1"].is_unreachable = False
        await fleet.advance_ms(1500)
        assert fleet.servers["s1"].running() == []


async def test_no_copy_in_an_evacuated_data_centre():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        put_evacuation(fleet.rows)
        await fleet.advance_ms(6000, check=no_duplicate_runs(fleet))


async def test_copy_of_a_task_whose_queue_has_moved_runs_in_the_new_pool():
    async with running_fleet(servers=2) as fleet:
        fleet.add_server("s3", service="ink")
        await start_slow_task(fleet)
        put_configuration(fleet.rows, version=4, pool="ink")
        await fleet.advance_ms(COPY_DUE_MS + 500)
        assert fleet.servers["s3"].starts == [(TASK, 2)]
        assert len(_copies(fleet)) == 1


async def test_server_that_leaves_gets_no_copy():
    async with running_fleet(servers=2) as fleet:
        await start_slow_task(fleet)
        put_registration(fleet.rows, "s2", address="127.0.0.1:2", state="draining")
        await fleet.advance_ms(6000, check=no_duplicate_runs(fleet))
