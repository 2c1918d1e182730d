"""Hand-over of the lease by a holder that is the only process that can't reach the store."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.ownership.records import TOKENS_PER_TERM
from fireflydeck.ownership.tests.members import holders, running_members
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.rows import RowStoreFault

pytestmark = pytest.mark.anyio

_ACQUIRED_WITHIN_MS = 2000
_HANDED_OVER_WITHIN_MS = 1100
_EXPIRED_WITHIN_MS = 2500


async def _advance(clock, members, duration_ms):
    """Advance the clock; check that at no time two members hold the lease."""
    for _ in range(duration_ms // 20):
        await clock.advance_ms(20)
        assert len(holders(members)) <= 1


# Guards against a hand-over that is put off by a long lease of the time when the store was slow.
async def test_holder_is_replaced_as_early_after_a_slow_store():
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.store.answer_delay_ms = 600
        await _advance(clock, members, 4000)
        first.store.answer_delay_ms = 0
        await _advance(clock, members, 1000)
        assert holders(members) == [first]
        first.store.outage = Ran.NO
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert len(holders(members)) == 1
        assert holders(members) != [first]


@pytest.mark.parametrize("ran", list(Ran))
async def test_holder_that_lost_the_store_is_replaced_before_its_lease_expires(ran):
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.store.outage = ran
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert len(holders(members)) == 1
        assert holders(members) != [first]


async def test_holder_on_a_large_vm_does_not_hand_over_to_a_small_one():
    """In a fleet of 181 VMs, a holder on a small VM is too slow to start any but a few tasks."""
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", small="ab", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        large = members[2]
        assert holders(members) == [large]
        large.store.outage = Ran.NO
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert holders(members) == [large]


async def test_holder_on_a_small_vm_hands_over_to_another_one():
    clock = FakeClock()
    async with running_members(clock, "a", "b", small="ab", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.store.outage = Ran.NO
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert holders(members) == [member for member in members if member is not first]


async def test_no_hand_over_while_the_store_answers_nobody():
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        for member in members:
            member.store.outage = Ran.NO
        await _advance(clock, members, 1200)
        assert first.successors.searches > 0
        assert holders(members) == [first]
        for member in members:
            member.store.outage = None
        await _advance(clock, members, 600)
        assert holders(members) == [first]


async def test_no_hand_over_while_the_store_is_slow_for_all():
    """With a slow store, a successor would read the fleet's rows for 2 s without starting tasks."""
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.store.outage = Ran.UNKNOWN
        for member in members:
            member.store.read_delay_ms = 120
        await _advance(clock, members, 1000)
        assert first.successors.searches > 0
        assert holders(members) == [first]
        first.store.outage = None
        await _advance(clock, members, 1000)
        assert holders(members) == [first]


async def test_renewal_that_takes_effect_late_does_not_prevent_the_take_over():
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.store.next_commits = [RowStoreFault.LATE]
        await _advance(clock, members, 440)
        first.store.outage = Ran.UNKNOWN
        first.store.deliver_late()
        await _advance(clock, members, _HANDED_OVER_WITHIN_MS)
        assert holders(members) == [member for member in members if member is not first]


async def test_lease_expires_when_the_notice_is_lost():
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.successors.is_notice_lost = True
        first.store.outage = Ran.UNKNOWN
        await _advance(clock, members, _EXPIRED_WITHIN_MS)
        assert holders(members) == [member for member in members if member is not first]


async def test_notice_of_an_earlier_term_changes_nothing():
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        other = next(member for member in members if member is not first)
        term = first.lease.tenure.term
        await other.lease.accept_hand_over(term - 1)
        assert holders(members) == [first]
        assert not await other.lease.can_take_over(term - 1)
        assert not await first.lease.can_take_over(term)


async def test_lease_is_kept_when_some_answers_are_lost():
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        first.store.next_commits = [RowStoreFault.NO_EFFECT, None, RowStoreFault.ANSWER_LOST, None]
        await _advance(clock, members, 2000)
        assert holders(members) == [first]


async def test_successor_whose_own_row_comes_first_takes_the_lease_once():
    """The store reports the new row before it answers the take-over.

    Without a lock, the task that watches the lease then acquires it again under its own name.
    """
    clock = FakeClock()
    async with running_members(clock, "a", "b", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        other = next(member for member in members if member is not first)
        term = first.lease.tenure.term
        other.store.answer_delay_ms = 300
        first.store.outage = Ran.UNKNOWN
        await _advance(clock, members, 2000)
        assert other.lease.tenure.term == term + TOKENS_PER_TERM
