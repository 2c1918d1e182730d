"""Tests of the throttling of fill tasks on the server of a serving task."""

import pytest

from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import accept_job, build_spec, build_step

pytestmark = pytest.mark.anyio

_SERVING_JOB = "00000000000000c1"
_FILL_JOB = "00000000000000c2"
_SERVING_TASK = f"{_SERVING_JOB}.0.0.0"
_FILL_TASK = f"{_FILL_JOB}.0.0.0"
_TARGET_MS = 100


async def _start_both(fleet, latency_ms):
    server = fleet.servers["s1"]
    server.duration_ms = None
    server.gauges[_SERVING_TASK] = latency_ms
    serving_step = build_step(long_running=True, target_tail_ms=_TARGET_MS)
    accept_job(fleet.rows, build_spec(serving_step, job_id=_SERVING_JOB))
    fill_step = build_step(fill=True, long_running=True)
    accept_job(fleet.rows, build_spec(fill_step, job_id=_FILL_JOB))
    await fleet.advance_ms(500)
    assert sorted(server.running()) == [_SERVING_TASK, _FILL_TASK]
    return server


async def test_fill_task_is_throttled_and_recovers():
    async with running_fleet(servers=1) as fleet:
        server = await _start_both(fleet, 2 * _TARGET_MS)
        await fleet.advance_ms(4000)
        assert [pace for _, pace in server.paces] == [50, 25, 12, 0]
        assert {task for task, _ in server.paces} == {_FILL_TASK}
        server.gauges[_SERVING_TASK] = _TARGET_MS // 2
        await fleet.advance_ms(10_000)
        assert server.paces[-1] == (_FILL_TASK, 100)


async def test_serving_task_below_its_target_throttles_nothing():
    async with running_fleet(servers=1) as fleet:
        server = await _start_both(fleet, _TARGET_MS // 2)
        await fleet.advance_ms(3000)
        assert server.paces == []


async def test_next_holder_restores_the_full_pace():
    async with running_fleet(servers=1, members=2) as fleet:
        server = await _start_both(fleet, 2 * _TARGET_MS)
        await fleet.advance_ms(3000)
        await fleet.leader.lease.stop()
        server.gauges[_SERVING_TASK] = _TARGET_MS // 2
        await fleet.advance_ms(12_000)
        assert server.paces[-1] == (_FILL_TASK, 100)
