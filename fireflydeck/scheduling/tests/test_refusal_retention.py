"""Refusals of a process that died are removed by the lease holder, and no others.

Guards against rows that fill the store, and against a refusal that disappears while a late write of
its job may still take effect.
"""

import pytest

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.scheduling.refusal_retention import RefusalRetention
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.rows import FakeRowStore
from fireflydeck.workload.records import refusal_key

pytestmark = pytest.mark.anyio

_JOB_IDS = [f"{number:016x}" for number in range(100)]
_MIN_AGE_MS = 90_000


def _refuse(rows, *job_ids):
    for job_id in job_ids:
        rows.commit(RowTransaction(writes=(RowWrite(refusal_key(job_id), b"x"),)))


def _refused(rows):
    return [job_id for job_id in _JOB_IDS if rows.get(refusal_key(job_id)) is not None]


async def _wait(clock, retention, duration_ms):
    """Let time pass with the rounds of the holder's retention; return how many were removed."""
    removed = 0
    for _ in range(duration_ms // 10_000):
        await clock.advance_ms(10_000)
        removed += await retention.remove_if_due()
    return removed


async def test_rows_of_a_dead_process_are_removed_once_they_are_old():
    clock = FakeClock()
    store = FakeRowStore(clock)
    retention = RefusalRetention(store, clock)
    _refuse(store.rows, *_JOB_IDS)
    assert await _wait(clock, retention, _MIN_AGE_MS) == 0
    assert await _wait(clock, retention, 60_000) == 100
    assert _refused(store.rows) == []


async def test_row_that_was_written_again_starts_anew():
    clock = FakeClock()
    store = FakeRowStore(clock)
    retention = RefusalRetention(store, clock)
    _refuse(store.rows, *_JOB_IDS)
    await _wait(clock, retention, 80_000)
    _refuse(store.rows, _JOB_IDS[7])
    await _wait(clock, retention, 60_000)
    assert _refused(store.rows) == [_JOB_IDS[7]]


async def test_unreachable_store_removes_nothing_and_forgets_nothing():
    clock = FakeClock()
    store = FakeRowStore(clock)
    retention = RefusalRetention(store, clock)
    _refuse(store.rows, *_JOB_IDS)
    await _wait(clock, retention, 60_000)
    store.outage = Ran.UNKNOWN
    await _wait(clock, retention, 60_000)
    store.outage = None
    assert await _wait(clock, retention, 60_000) == 100


async def test_holder_of_the_lease_removes_them():
    async with running_fleet(servers=1) as fleet:
        _refuse(fleet.rows, _JOB_IDS[1])
        await fleet.advance_ms(200_000, step_ms=2000)
        assert _refused(fleet.rows) == []
