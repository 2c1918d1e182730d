"""Freshness of the local configuration and the order of applied versions."""

import anyio

from fireflydeck.configuration import ConfigurationFollower, ConfigurationStore, FollowerOptions
from fireflydeck.core import Configuration, Pool
from fireflydeck.kernel import EventLog
from fireflydeck.tables import Delete, Put, Transaction
from fireflydeck.testing import FakeClock, FakeTableService

BOUND_MS = FollowerOptions().freshness_bound_ms


class _Fixture:
    def __init__(self):
        self.tables = FakeTableService()
        self.clock = FakeClock()
        self.store = ConfigurationStore(self.tables, self.clock)
        self.follower = ConfigurationFollower(self.store, self.clock, EventLog())

    async def change(self, pool):
        base = (await self.store.load()).ok
        return (await self.store.commit(base, puts=[Pool(name=pool)])).ok


def _run(scenario):
    fixture = _Fixture()
    anyio.run(scenario, fixture)


def test_is_fresh_needs_a_confirming_read():
    async def scenario(fixture):
        assert not fixture.follower.is_fresh()
        await fixture.follower.poll()
        assert fixture.follower.is_fresh()

    _run(scenario)


def test_is_fresh_ends_after_the_bound_without_a_store():
    async def scenario(fixture):
        await fixture.follower.poll()
        fixture.tables.outage = True
        await fixture.clock.advance_ms(BOUND_MS)
        await fixture.follower.poll()
        assert fixture.follower.is_fresh()
        await fixture.clock.advance_ms(1)
        assert not fixture.follower.is_fresh()

    _run(scenario)


def test_poll_applies_changes_in_order():
    async def scenario(fixture):
        seen = []
        fixture.follower.on_change(lambda old, new: seen.append((old.version, new.version)))
        await fixture.change("a")
        await fixture.follower.poll()
        await fixture.change("b")
        await fixture.change("c")
        await fixture.follower.poll()
        assert seen == [(0, 1), (1, 2), (2, 3)]

    _run(scenario)


def test_poll_reloads_after_a_gap_in_the_log():
    async def scenario(fixture):
        await fixture.change("a")
        await fixture.follower.poll()
        for pool in "bcd":
            await fixture.change(pool)
        trim = Transaction(deletes=(Delete("configuration_log", "000000000002"),))
        fixture.tables.tables.commit(trim)
        await fixture.follower.poll()
        assert fixture.follower.current.version == 4
        assert fixture.follower.current.get(Pool, "b") is not None

    _run(scenario)


def test_poll_of_an_old_head_confirms_nothing_and_reverts_nothing():
    async def scenario(fixture):
        await fixture.change("a")
        await fixture.change("b")
        await fixture.follower.poll()
        await fixture.clock.advance_ms(BOUND_MS + 1)
        old_head = {"version": 1, "change_id": "x"}
        fixture.tables.tables.commit(Transaction(puts=(Put("configuration", "head", old_head),)))
        result = await fixture.follower.poll()
        assert result.is_error()
        assert fixture.follower.current.version == 2
        assert not fixture.follower.is_fresh()

    _run(scenario)


def test_offer_ignores_old_and_repeated_changes():
    async def scenario(fixture):
        first = await fixture.change("a")
        second = await fixture.change("b")
        fixture.follower.offer(first)
        fixture.follower.offer(first)
        fixture.follower.offer(second)
        fixture.follower.offer(first)
        assert fixture.follower.current.version == 2

    _run(scenario)


def test_offer_with_a_gap_is_not_applied():
    async def scenario(fixture):
        await fixture.change("a")
        second = await fixture.change("b")
        fixture.follower.offer(second)
        assert fixture.follower.current == Configuration()

    _run(scenario)
