"""A holder that alone has lost the store hands its lease over."""

from contextlib import asynccontextmanager

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.kernel import Registry
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.fleet_successors import FakeSuccessors
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore, RowStoreFault

pytestmark = pytest.mark.anyio

_HANDED_OVER_WITHIN_MS = 1100
_LAPSED_WITHIN_MS = 2500
_SMALL_VM_DELAY_MS = 500


class _Member:
    def __init__(self, name, clock, rows, members, delay_ms=0):
        self.store = FakeRowStore(clock, rows)
        self.lease = LeaseKeeper(
            self.store,
            clock,
            RecordingLog(),
            name=name,
            address=f"{name}:1",
            candidate_delay_ms=delay_ms,
        )
        self.successors = FakeSuccessors(
            lambda: [member.lease for member in members if member is not self]
        )
        self.lease.hand_over_to(self.successors)


@asynccontextmanager
async def _members(clock, *names, small=()):
    rows, members = MemoryRows(), []
    for name in names:
        delay_ms = _SMALL_VM_DELAY_MS if name in small else 0
        members.append(_Member(name, clock, rows, members, delay_ms))
    async with anyio.create_task_group() as tasks:
        for member in members:
            await member.lease.start(Registry(), tasks)
        await clock.advance_ms(2000)
        yield members
        tasks.cancel_scope.cancel()


def _holders(members):
    return [member for member in members if member.lease.is_valid()]


async def _advance(clock, members, duration_ms):
    """Let time pass; at no time two members may hold the lease."""
    for _ in range(duration_ms // 20):
        await clock.advance_ms(20)
        assert len(_holders(members)) <= 1


@pytest.mark.parametrize("silence", list(Ran))
async def test_holder_that_lost_the_store_is_followed_before_its_lease_lapses(silence):
    clock = FakeClock()
    async with _members(clock, "a", "b", "c") as members:
        first = _holders(members)[0]
        first.store.outage = silence
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        holders = _holders(members)
        assert len(holders) == 1
        assert holders != [first]


async def test_holder_on_a_large_vm_hands_over_to_none_on_a_small_one():
    """On a fleet of 181 VMs the holder on a small one started next to nothing."""
    clock = FakeClock()
    async with _members(clock, "a", "b", "c", small="ab") as members:
        large = members[2]
        assert _holders(members) == [large]
        large.store.outage = Ran.NO
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert _holders(members) == [large]


async def test_holder_on_a_small_vm_hands_over_to_another_one():
    clock = FakeClock()
    async with _members(clock, "a", "b", small="ab") as members:
        first = _holders(members)[0]
        first.store.outage = Ran.NO
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert _holders(members) == [member for member in members if member is not first]


async def test_no_hand_over_while_the_store_answers_nobody():
    clock = FakeClock()
    async with _members(clock, "a", "b") as members:
        first = _holders(members)[0]
        for member in members:
            member.store.outage = Ran.NO
        await _advance(clock, members, 1200)
        assert first.successors.asked > 0
        assert _holders(members) == [first]
        for member in members:
            member.store.outage = None
        await _advance(clock, members, 600)
        assert _holders(members) == [first]


async def test_renewal_that_takes_effect_late_does_not_keep_the_successor_out():
    clock = FakeClock()
    async with _members(clock, "a", "b") as members:
        first = _holders(members)[0]
        first.store.next_commits = [RowStoreFault.LATE]
        await _advance(clock, members, 440)
        first.store.outage = Ran.UNKNOWN
        first.store.deliver_late()
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert _holders(members) == [member for member in members if member is not first]


async def test_lease_lapses_when_the_notice_is_lost():
    clock = FakeClock()
    async with _members(clock, "a", "b") as members:
        first = _holders(members)[0]
        first.successors.is_notice_lost = True
        first.store.outage = Ran.UNKNOWN
        await _advance(clock, members, _LAPSED_WITHIN_MS)
        assert _holders(members) == [member for member in members if member is not first]


async def test_notice_of_an_earlier_term_changes_nothing():
    clock = FakeClock()
    async with _members(clock, "a", "b") as members:
        first = _holders(members)[0]
        other = next(member for member in members if member is not first)
        term = first.lease.tenure.term
        await other.lease.succeed(term - 1)
        assert _holders(members) == [first]
        assert not await other.lease.may_succeed(term - 1)
        assert not await first.lease.may_succeed(term)


async def test_answers_that_are_lost_now_and_then_keep_the_lease():
    clock = FakeClock()
    async with _members(clock, "a", "b") as members:
        first = _holders(members)[0]
        first.store.next_commits = [RowStoreFault.NO_EFFECT, None, RowStoreFault.ANSWER_LOST, None]
        await _advance(clock, members, 2000)
        assert _holders(members) == [first]


async def test_successor_whose_own_row_comes_first_takes_the_lease_once():
    """The store told of the new row before it answered the take-over; the watch took it again."""
    clock = FakeClock()
    async with _members(clock, "a", "b") as members:
        first = _holders(members)[0]
        other = next(member for member in members if member is not first)
        term = first.lease.tenure.term
        other.store.answer_delay_ms = 300
        first.store.outage = Ran.UNKNOWN
        await _advance(clock, members, 2000)
        assert other.lease.tenure.term == term + 1
