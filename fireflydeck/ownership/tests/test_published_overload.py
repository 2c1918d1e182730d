"""Overload in the lease record: who sees it, for how long, and what older or later builds wrote.

Guards against refusals of jobs by outdated figures: a lost holder, a process that was cut off, a
new holder that does not know the jobs yet.
"""

import anyio
import msgpack
import pytest

from fireflydeck.core import Ran
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.ownership.published_overload import PublishedOverload
from fireflydeck.ownership.records import LEASE_ROW, LeaseRecord, decode_lease
from fireflydeck.ownership.tests.members import holders, running_members
from fireflydeck.testing.clock import FakeClock

pytestmark = pytest.mark.anyio

_OVERLOAD = {"paint": PoolOverload(7000, {"museum": 0.25})}
_RECORD = LeaseRecord(
    holder="a", address="a:1", term=100, sequence=7, ttl_ms=1500, overload=_OVERLOAD
)


async def test_all_processes_see_the_overload_until_the_holder_is_lost():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(2000)
        holder = holders(members)[0]
        other = next(member for member in members if member is not holder)
        holder.lease.set_overload_source(lambda: _OVERLOAD)
        await clock.advance_ms(1500)
        for member in members:
            assert member.lease.overload_of("paint") == _OVERLOAD["paint"]
            assert member.lease.overload_of("carve") is None
        holder.store.outage = other.store.outage = Ran.UNKNOWN
        await clock.advance_ms(2000)
        assert [member.lease.overload_of("paint") for member in members] == [None, None]


async def test_new_holder_publishes_nothing_until_it_knows_the_jobs():
    clock = FakeClock()
    async with running_members(clock, "a", "b") as members:
        await clock.advance_ms(2000)
        first = holders(members)[0]
        first.lease.set_overload_source(lambda: _OVERLOAD)
        await clock.advance_ms(1000)
        first.store.outage = Ran.NO
        second = next(member for member in members if member is not first)
        second.lease.set_overload_source(lambda: None)
        while holders(members) != [second]:
            await clock.advance_ms(50)
        assert second.lease.overload_of("paint") is None
        assert decode_lease(second.store.rows.get(LEASE_ROW).value).overload == {}


async def test_released_lease_holds_no_overload():
    clock = FakeClock()
    async with running_members(clock, "a") as members:
        members[0].lease.set_overload_source(lambda: _OVERLOAD)
        await clock.advance_ms(2000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(members[0].lease.stop)
            await clock.advance_ms(100)
        assert decode_lease(members[0].store.rows.get(LEASE_ROW).value).overload == {}


async def test_record_counts_only_from_a_change_that_was_observed():
    clock = FakeClock()
    published = PublishedOverload(clock)

    def observe(sequence):
        published.observe(_OVERLOAD, term=100, sequence=sequence, sent_ms=clock.now_ms())

    observe(1)
    assert published.of_pool("paint") is None
    await clock.advance_ms(400)
    observe(2)
    assert published.of_pool("paint") is not None
    await clock.advance_ms(1601)
    assert published.of_pool("paint") is None
    await clock.advance_ms(5000)
    observe(3)
    assert published.of_pool("paint") is None


def test_record_survives_the_row():
    assert decode_lease(_RECORD.encode()) == _RECORD


def test_older_build_reads_the_record():
    """Older builds ignore fields that they do not know; their own records have none."""
    document = msgpack.unpackb(_RECORD.encode())
    del document["overload"]
    assert decode_lease(msgpack.packb(document)).overload == {}


@pytest.mark.parametrize(
    "overload",
    [
        None,
        [],
        {"paint": 3},
        {"paint": {"wait_ms": 1}},
        {"paint": {"wait_ms": "1", "accepted": {}}},
        {"paint": {"wait_ms": 1, "accepted": {"museum": "x"}}},
        {"paint": {"wait_ms": 1, "accepted": []}},
    ],
)
def test_overload_that_cannot_be_decoded_counts_as_none(overload):
    """Guard against a fleet without a lease because of one odd field."""
    document = {**msgpack.unpackb(_RECORD.encode()), "overload": overload}
    record = decode_lease(msgpack.packb(document))
    assert (record.holder, record.overload) == ("a", {})


def test_overload_of_a_later_build_is_read():
    document = msgpack.unpackb(_RECORD.encode())
    document["overload"]["paint"]["added_later"] = 1
    assert decode_lease(msgpack.packb(document)).overload == _OVERLOAD
