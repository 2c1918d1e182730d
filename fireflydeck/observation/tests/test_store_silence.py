"""Silence of the store, as seen in the calls of a process.

Load: outages in which writes would only end in unknown outcomes, and stores that are merely slow or
lose single answers, for which submissions must still be written.
"""

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowKey, RowTransaction, RowWrite
from fireflydeck.observation.store_silence import MonitoredRowStore, StoreProbe, StoreSilence
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore, RowStoreFault

pytestmark = pytest.mark.anyio

_KEY = RowKey("t", "p", "k")
_WRITE = RowTransaction(writes=(RowWrite(_KEY, b"1"),))


class _Fixture:
    def __init__(self):
        self.clock = FakeClock()
        self.inner = FakeRowStore(self.clock)
        self.silence = StoreSilence(self.clock)
        self.store = MonitoredRowStore(self.inner, self.silence, self.clock)
        self.probe = StoreProbe(self.store, self.silence, self.clock, RecordingLog(), key=_KEY)

    async def write(self, fault=None):
        """Write a row with a fault, and let some time pass."""
        self.inner.next_commits = [fault] if fault else []
        await self.store.commit(_WRITE, timeout_ms=100)
        await self.clock.advance_ms(10)


@pytest.mark.parametrize("call", ["commit", "read", "changes"])
async def test_unanswered_call_begins_the_silence_and_any_answer_ends_it(call):
    fixture = _Fixture()
    fixture.inner.outage = Ran.UNKNOWN
    if call == "commit":
        await fixture.store.commit(_WRITE, timeout_ms=100)
    elif call == "read":
        await fixture.store.read_row(_KEY, timeout_ms=100)
    else:
        await fixture.store.read_changes("t", after=0, wait_ms=1000)
    await fixture.clock.advance_ms(700)
    assert (fixture.silence.is_silent, fixture.silence.duration_ms) == (True, 700)
    fixture.inner.outage = None
    await fixture.store.read_row(_KEY, timeout_ms=100)
    assert (fixture.silence.is_silent, fixture.silence.duration_ms) == (False, 0)


async def test_conflict_is_an_answer_and_a_refused_call_is_neither():
    fixture = _Fixture()
    await fixture.write(RowStoreFault.NO_EFFECT)
    await fixture.write(RowStoreFault.REFUSED)
    assert fixture.silence.is_silent
    fixture.inner.max_value_bytes = 0
    await fixture.write()
    assert not fixture.silence.is_silent
    await fixture.write(RowStoreFault.REFUSED)
    assert not fixture.silence.is_silent


async def test_single_lost_answer_beside_answered_calls_is_no_silence():
    """Guard against processes that stop accepting jobs on a link that loses a few packets."""
    fixture = _Fixture()
    lost_due_ms = fixture.clock.now_ms()
    await fixture.clock.advance_ms(100)
    await fixture.write()
    await fixture.clock.advance_ms(150)
    fixture.silence.record_no_answer(lost_due_ms)
    assert not fixture.silence.is_silent


async def test_long_poll_counts_from_the_end_of_its_wait():
    """Guard against a poll in flight at the start of an outage that seems to be answered.

    The answers of its first 500 ms say nothing about the 700 ms in which its own was due.
    """
    fixture = _Fixture()
    due_ms = fixture.clock.now_ms() + 500
    await fixture.clock.advance_ms(400)
    await fixture.write()
    await fixture.clock.advance_ms(790)
    fixture.silence.record_no_answer(due_ms)
    assert fixture.silence.is_silent


async def test_probe_ends_a_silence_that_a_lost_answer_began():
    fixture = _Fixture()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fixture.probe.run)
        await fixture.write(RowStoreFault.ANSWER_LOST)
        assert not fixture.silence.is_silent
        tasks.cancel_scope.cancel()


async def test_probe_of_a_slow_store_ends_the_silence():
    """Guard against a store with answers after 600 ms that seems silent for good."""
    fixture = _Fixture()
    fixture.inner.read_delay_ms = 600
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fixture.probe.run)
        await fixture.write(RowStoreFault.ANSWER_LOST)
        assert fixture.silence.is_silent
        await fixture.clock.advance_ms(600)
        assert not fixture.silence.is_silent
        tasks.cancel_scope.cancel()


async def test_probe_notices_the_end_of_an_outage_within_its_interval():
    fixture = _Fixture()
    fixture.inner.outage = Ran.UNKNOWN
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fixture.probe.run)
        await fixture.write()
        await fixture.clock.advance_ms(7000)
        assert fixture.silence.duration_ms > 6900
        fixture.inner.outage = None
        await fixture.clock.advance_ms(250)
        assert not fixture.silence.is_silent
        tasks.cancel_scope.cancel()


async def test_versions_that_answers_named_some_time_ago():
    """Guard against a row that counts as older than a request that came before it.

    Answers that follow one another quickly must not keep the versions young either.
    """
    fixture = _Fixture()
    for version in range(1, 401):
        fixture.silence.record_answer(version)
        await fixture.clock.advance_ms(5)
    assert fixture.silence.version_seen_before(0) == 400
    assert 330 < fixture.silence.version_seen_before(300) <= 341
    await fixture.clock.advance_ms(300)
    assert fixture.silence.version_seen_before(300) == 400
    assert fixture.silence.version_seen_before(1000) <= 261
