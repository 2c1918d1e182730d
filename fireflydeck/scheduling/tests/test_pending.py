"""Tests that a job counts as pending, and is shown as queued, until a run of it has begun."""

import pytest

from fireflydeck.core.backend_orders import StartOutcome
from fireflydeck.scheduling.order_sender import OrderSender
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.fleet_fakes import OrderFault
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec

pytestmark = pytest.mark.anyio

_MS = 1500
_MANY = 100
_REFUSALS = [
    outcome
    for outcome in StartOutcome
    # The holder resigns after the first, and forgets the server after the second.
    if outcome not in (StartOutcome.ACCEPTED, StartOutcome.FENCED, StartOutcome.OTHER_INSTANCE)
]


def _shown(fleet):
    """Return the pending jobs that the holder counts and the state of the job that it shows."""
    current = fleet.leader.scheduler.current
    return sum(current.pending().values()), current.job_state(JOB_ID)


async def _let_start(fleet):
    """Let the next start succeed; check that the job counts as started from then on."""
    for orders in fleet.leader.orders.values():
        orders.start_outcome = None
        orders.next_starts.clear()
    await fleet.advance_ms(5000)
    assert fleet.starts()
    assert _shown(fleet)[0] == 0


# Guards against jobs missing from the pending ones although each of their starts was refused.
@pytest.mark.parametrize("outcome", _REFUSALS)
async def test_job_whose_starts_are_refused_is_pending(outcome):
    async with running_fleet(servers=2) as fleet:
        for orders in fleet.leader.orders.values():
            orders.start_outcome = outcome
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_MS)
        assert fleet.starts() == []
        assert _shown(fleet) == (1, "queued")
        await _let_start(fleet)


# Guards against the same when a start can't be sent, or is carried out much later or never.
@pytest.mark.parametrize("fault", [OrderFault.NOT_SENT, OrderFault.LATE])
async def test_job_whose_starts_get_no_answer_is_pending(fault):
    async with running_fleet(servers=1) as fleet:
        orders = fleet.leader.orders["s1"]
        orders.next_starts = [fault] * _MANY
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_MS)
        assert fleet.starts() == []
        assert _shown(fleet) == (1, "queued")
        await _let_start(fleet)


# Guards against the same when the start is dropped just before it is sent.
async def test_job_whose_start_is_dropped_before_it_is_sent_is_pending(monkeypatch):
    async with running_fleet(servers=1) as fleet:
        monkeypatch.setattr(OrderSender, "_may_start", lambda *_: False)
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_MS)
        assert fleet.starts() == []
        assert _shown(fleet) == (1, "queued")
        monkeypatch.undo()
        await _let_start(fleet)


# Guards against a start whose answer is lost, and that has begun, counting as pending for good.
async def test_job_whose_start_was_carried_out_without_an_answer_is_not_pending():
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].duration_ms = 20_000
        fleet.leader.orders["s1"].next_starts = [OrderFault.ANSWER_LOST]
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_MS)
        assert len(fleet.starts()) == 1
        assert _shown(fleet) == (0, "running")


# Guards against a run that ended before any report listed it counting as one that never began.
async def test_job_whose_only_run_ended_between_two_reports_is_not_pending():
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].duration_ms = 20
        orders = fleet.leader.orders["s1"]
        orders.next_starts = [OrderFault.ANSWER_LOST]
        orders.lost_heartbeats = 2
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_MS)
        assert fleet.outcome(JOB_ID) == "completed"
        assert _shown(fleet) == (0, "completed")


# Guards against a new holder that counts jobs as started because the earlier one tried to.
async def test_pending_jobs_are_counted_across_a_take_over():
    async with running_fleet(servers=2, members=2) as fleet:
        first = fleet.leader
        second = next(member for member in fleet.members if member is not first)
        second.start_outcome = StartOutcome.BUSY
        for orders in first.orders.values():
            orders.start_outcome = StartOutcome.BUSY
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(_MS)
        await first.lease.stop()
        await fleet.advance_ms(_MS)
        assert fleet.leader is second
        assert fleet.starts() == []
        assert _shown(fleet) == (1, "queued")
        await _let_start(fleet)
