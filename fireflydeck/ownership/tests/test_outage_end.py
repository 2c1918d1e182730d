"""Failure: the store answers nobody for longer than the lease lasts, then all processes at once.

A process that took the lease at the first answer was mostly one on a small VM, since most are; the
holder, which had lost nothing but time, was deposed, and the fleet was scheduled too slowly for the
rest of the day.
"""

import pytest

from fireflydeck.core import Ran
from fireflydeck.ownership.tests.members import holders, running_members
from fireflydeck.testing.clock import FakeClock

pytestmark = pytest.mark.anyio

_ACQUIRED_WITHIN_MS = 2000
_OUTAGE_MS = 4000
_PENDING_CALL_MS = 100
"""Time for which a call that was sent during the outage may still wait for its answer."""
_REGAINED_WITHIN_MS = 1000
_MOVED_WITHIN_MS = 4000


async def _outage(clock, members, ran, regained_last):
    """Let the store answer nobody, then all members, `regained_last` a moment after the others."""
    for member in members:
        member.store.outage = ran
    await clock.advance_ms(_OUTAGE_MS)
    assert holders(members) == []
    for member in members:
        if member is not regained_last:
            member.store.outage = None
    await clock.advance_ms(_PENDING_CALL_MS)
    regained_last.store.outage = None


@pytest.mark.parametrize("ran", list(Ran))
async def test_holder_keeps_the_lease_over_an_outage_of_the_store(ran):
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", "d", small="abc") as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        large = members[3]
        term = large.lease.tenure.term
        await _outage(clock, members, ran, large)
        await clock.advance_ms(_REGAINED_WITHIN_MS)
        assert holders(members) == [large]
        assert large.lease.tenure.term == term


async def test_large_vm_replaces_a_holder_that_is_lost_during_an_outage_of_the_store():
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", "d", small="ab") as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        others = [member for member in members if member is not first]
        await _outage(clock, members, Ran.NO, first)
        first.store.outage = Ran.NO
        await clock.advance_ms(_REGAINED_WITHIN_MS)
        assert holders(others) == [member for member in others if member in members[2:]]


async def test_holder_on_a_small_vm_hands_over_to_one_on_a_large_vm():
    """All processes on large VMs restarted at once, and one on a small VM took the lease."""
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", small="ab", hand_over=True) as members:
        members[2].store.outage = Ran.NO
        await clock.advance_ms(_ACQUIRED_WITHIN_MS + _REGAINED_WITHIN_MS)
        assert holders(members)[0] in members[:2]
        members[2].store.outage = None
        await clock.advance_ms(_MOVED_WITHIN_MS)
        assert holders(members) == [members[2]]


async def test_holder_in_a_fleet_of_small_vms_keeps_the_lease():
    clock = FakeClock()
    async with running_members(clock, "a", "b", small="ab", hand_over=True) as members:
        await clock.advance_ms(_ACQUIRED_WITHIN_MS)
        first = holders(members)[0]
        await clock.advance_ms(_MOVED_WITHIN_MS)
        assert holders(members) == [first]
        searches = first.successors.searches
        await clock.advance_ms(30_000)
        assert first.successors.searches <= searches + 6
