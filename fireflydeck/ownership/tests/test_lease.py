"""The fleet's lease: take-over, renewal, lost and late answers, pauses and release."""

import anyio
import msgpack
import pytest

from fireflydeck.core import Ran, Reason
from fireflydeck.core.rows import RowKey, RowWrite
from fireflydeck.kernel import Event, Registry
from fireflydeck.ownership.records import LEASE_ROW, TOKENS_PER_TERM, LeaseRecord, decode_lease
from fireflydeck.ownership.tests.members import Member, holders, running_members
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.rows import RowStoreFault

pytestmark = pytest.mark.anyio

_ROW = RowKey("progress", "fleet", "job")
_LONG_MS = 6000


async def _commit(clock, member):
    """Commit one row while time passes; return the failure, or `None`."""
    results = []

    async def commit():
        results.append(await member.lease.commit([RowWrite(_ROW, b"new")], []))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(commit)
        await clock.advance_ms(3000)
    return results[0]


async def test_one_member_takes_a_free_lease():
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c") as members:
        await clock.advance_ms(1000)
        assert len(holders(members)) == 1


async def test_process_on_a_large_vm_takes_a_free_lease_before_those_on_small_vms():
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", "d", small="abc") as members:
        await clock.advance_ms(2000)
        assert [member.lease.is_valid() for member in members] == [False, False, False, True]


async def test_large_vm_takes_over_from_a_lost_large_vm():
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", "d", small="ab") as members:
        await clock.advance_ms(2000)
        first = holders(members)[0]
        first.store.outage = Ran.NO
        await clock.advance_ms(3000)
        second = holders(members)[0]
        assert {first, second} == set(members[2:])


async def test_small_vm_takes_over_when_no_large_one_does():
    clock = FakeClock()
    async with running_members(clock, "a", "b", "c", small="ab") as members:
        await clock.advance_ms(2000)
        members[2].store.outage = Ran.NO
        await clock.advance_ms(4000)
        assert holders(members)[0] in members[:2]


async def test_small_vm_does_not_wait_for_large_ones_after_a_small_one():
    clock = FakeClock()
    async with running_members(clock, "a", "b", small="ab") as members:
        await clock.advance_ms(2000)
        first = holders(members)[0]
        first.store.outage = Ran.NO
        await clock.advance_ms(2200)
        assert holders(members) == [member for member in members if member is not first]


def test_lease_of_a_later_version_is_read():
    record = LeaseRecord(holder="a", address="a:1", term=2, sequence=7, ttl_ms=1500)
    document = {**msgpack.unpackb(record.encode()), "added_later": 1}
    assert decode_lease(msgpack.packb(document)) == record


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\x01", b"\x80"])
def test_unreadable_lease(content):
    with pytest.raises(ValueError, match="not a lease"):
        decode_lease(content)


async def test_lease_stays_with_its_holder():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        holder = holders(members)[0]
        for _ in range(20):
            await clock.advance_ms(500)
            assert holders(members) == [holder]
        assert holder.lease.tenure.term == TOKENS_PER_TERM


@pytest.mark.parametrize("ran", list(Ran))
async def test_no_two_valid_holders_when_one_loses_the_store(ran):
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        first.store.outage = ran
        for _ in range(_LONG_MS // 20):
            await clock.advance_ms(20)
            assert len(holders(members)) <= 1
        second = holders(members)[0]
        assert second is not first
        assert second.lease.tenure.term == 2 * TOKENS_PER_TERM


async def _slow_down(clock, member, answer_delay_ms):
    """Let the store answer a member slowly for several renewals."""
    member.store.answer_delay_ms = answer_delay_ms
    await clock.advance_ms(_LONG_MS)
    member.store.answer_delay_ms = 0


# Guards against a holder that relies on a long lease after a renewal has stored a shorter one.
@pytest.mark.parametrize("ran", list(Ran))
@pytest.mark.parametrize("calm_ms", [100, 400, 1000, 2000, 3000])
async def test_no_two_valid_holders_after_a_slow_store(calm_ms, ran):
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        await _slow_down(clock, first, 600)
        await clock.advance_ms(calm_ms)
        assert holders(members) == [first]
        first.store.outage = ran
        for _ in range(_LONG_MS // 20):
            await clock.advance_ms(20)
            assert len(holders(members)) <= 1
        assert holders(members) not in ([], [first])


# Guards against the same when a renewal of the slow time is stored late, or without an answer.
@pytest.mark.parametrize("fault", [RowStoreFault.LATE, RowStoreFault.ANSWER_LOST])
async def test_no_two_valid_holders_after_a_lost_renewal_and_a_slow_store(fault):
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        for _ in range(3):
            await _slow_down(clock, first, 600)
            first.store.next_commits = [fault]
            await clock.advance_ms(500)
            first.store.deliver_late()
        assert holders(members) == [first]
        first.store.outage = Ran.UNKNOWN
        for _ in range(_LONG_MS // 20):
            await clock.advance_ms(20)
            assert len(holders(members)) <= 1


# Guards against take-overs of the whole fleet because a lease shrinks when the store gets faster.
async def test_store_that_is_slow_again_and_again_does_not_end_the_tenure():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        for _ in range(5):
            await _slow_down(clock, first, 700)
            await clock.advance_ms(600)
            assert holders(members) == [first]
        assert first.lease.tenure.term == TOKENS_PER_TERM


# Guards against a successor that waits for the long lease of a slow store that is long past.
async def test_time_to_live_is_short_again_after_the_store_was_slow():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        usual_ms = decode_lease(first.store.rows.get(LEASE_ROW).value).ttl_ms
        await _slow_down(clock, first, 700)
        assert decode_lease(first.store.rows.get(LEASE_ROW).value).ttl_ms > usual_ms
        await clock.advance_ms(4000)
        assert decode_lease(first.store.rows.get(LEASE_ROW).value).ttl_ms == usual_ms


async def test_deposed_holder_commits_nothing():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        first.store.outage = Ran.NO
        await clock.advance_ms(_LONG_MS)
        first.store.outage = None
        failure = await first.lease.commit([RowWrite(_ROW, b"old")], [])
        assert failure.reason == Reason.NOT_OWNER
        assert first.store.rows.get(_ROW) is None
        assert first.lease.tenure is None


@pytest.mark.parametrize("fault", list(RowStoreFault))
async def test_commit_is_resolved_after_a_fault(fault):
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        await clock.advance_ms(1000)
        member = members[0]
        member.store.next_commits = [fault]
        assert await _commit(clock, member) is None
        assert member.store.rows.get(_ROW).value == b"new"


async def test_late_commit_does_not_overwrite_a_newer_one():
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        await clock.advance_ms(1000)
        member = members[0]

        async def commit(content):
            assert await member.lease.commit([RowWrite(_ROW, content)], []) is None

        async with anyio.create_task_group() as tasks:
            member.store.next_commits = [RowStoreFault.LATE]
            tasks.start_soon(commit, b"older")
            await clock.advance_ms(2000)
            tasks.start_soon(commit, b"newer")
            await clock.advance_ms(2000)
        member.store.deliver_late()
        assert member.store.rows.get(_ROW).value == b"newer"


async def test_renewal_that_took_effect_late_confirms_nothing():
    """A renewal without an answer must not extend the lease from when its outcome becomes known.

    Other processes may have seen it long before, so that for them the lease expires earlier.
    """
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        first.store.next_commits = [RowStoreFault.ANSWER_LOST]
        await clock.advance_ms(350)
        until_ms = first.lease.valid_until_ms
        first.store.outage = Ran.NO
        await clock.advance_ms(1000)
        assert first.lease.valid_until_ms == until_ms
        for _ in range(_LONG_MS // 20):
            await clock.advance_ms(20)
            assert len(holders(members)) <= 1


async def test_every_second_answer_lost_keeps_the_lease():
    """If each lost answer ended the tenure, the fleet would wait two seconds for each take-over."""
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        for _ in range(500):
            if len(first.store.next_commits) < 2:
                first.store.next_commits += [RowStoreFault.ANSWER_LOST, None]
            await clock.advance_ms(20)
            assert holders(members) == [first]


async def test_commit_whose_answer_was_lost_is_not_repeated():
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        await clock.advance_ms(1000)
        member = members[0]
        member.store.next_commits = [RowStoreFault.ANSWER_LOST]
        assert await _commit(clock, member) is None
        written = [
            commit
            for commit in member.store.commits
            if any(write.id == _ROW for write in commit.writes)
        ]
        assert len(written) == 1


async def test_lost_renewals_keep_the_lease():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        for _ in range(10):
            first.store.next_commits = [RowStoreFault.ANSWER_LOST]
            await clock.advance_ms(500)
            assert holders(members) == [first]


async def test_released_lease_is_taken_at_once():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        await first.lease.stop()
        assert not first.lease.is_valid()
        await clock.advance_ms(600)
        assert holders(members) != []
        assert first not in holders(members)


# Guards against a fleet without a holder for a lease's whole duration after a planned stop.
async def test_release_during_a_renewal_frees_the_lease():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        first.store.answer_delay_ms = 200
        while first.store.rows.get(LEASE_ROW).version == first.lease._rows.lease_version:
            await clock.advance_ms(20)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first.lease.stop)
            await clock.advance_ms(1000)
        assert holders(members) == [member for member in members if member is not first]


# Guards against the same after a release that the store refused or did not answer.
@pytest.mark.parametrize("fault", [RowStoreFault.REFUSED, RowStoreFault.NO_EFFECT])
async def test_release_without_effect_is_sent_again(fault):
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        async with anyio.create_task_group() as tasks:
            first.store.next_commits = [fault]
            tasks.start_soon(first.lease.stop)
            await clock.advance_ms(1000)
        assert holders(members) == [member for member in members if member is not first]


async def test_release_takes_no_lease_of_another_holder():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        async with anyio.create_task_group() as tasks:
            first.store.next_commits = [RowStoreFault.ANSWER_LOST]
            tasks.start_soon(first.lease.stop)
            await clock.advance_ms(3000)
        second = holders(members)[0]
        assert second is not first
        assert Event.LEASE_NOT_RELEASED not in first.log.emitted()
        term = decode_lease(first.store.rows.get(LEASE_ROW).value).term
        assert term == second.lease.tenure.term


async def test_lease_of_a_paused_holder_expires():
    """After a pause of the process, time has passed without a renewal."""
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        await clock.advance_ms(1000)
        clock._now_ms += _LONG_MS
        assert not members[0].lease.is_valid()


async def test_rows_are_read_again_after_the_store_discards_its_history():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(1000)
        first = holders(members)[0]
        await clock.advance_ms(2000)
        first.store.rows.forget_history()
        await clock.advance_ms(2000)
        assert holders(members) == [first]


async def test_restarted_holder_takes_its_lease_at_once():
    """All VMs lose power and restart before the lease has expired."""
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        await clock.advance_ms(1000)
        rows = members[0].store.rows
    restarted = Member("a", clock, rows, [])
    async with anyio.create_task_group() as tasks:
        await restarted.lease.start(Registry(), tasks)
        await clock.advance_ms(100)
        assert restarted.lease.is_valid()
        assert restarted.lease.tenure.term == 2 * TOKENS_PER_TERM
        tasks.cancel_scope.cancel()


async def test_take_over_without_an_answer_is_repeated_at_once():
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        members[0].store.next_commits = [RowStoreFault.ANSWER_LOST]
        await clock.advance_ms(500)
        assert members[0].lease.is_valid()
