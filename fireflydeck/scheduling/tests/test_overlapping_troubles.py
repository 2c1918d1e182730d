"""Tests of two simultaneous faults whose effect neither has alone."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.platform.standin.documents import put_configuration, put_wave
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.job_builders import (
    JOB_ID,
    accept_job,
    build_spec,
    build_step,
    cancel_job,
)

pytestmark = pytest.mark.anyio

_LONG_MS = 20_000
_TAKE_OVER_MS = 4000


async def test_limit_that_is_lowered_below_what_runs():
    """Running tasks are not stopped, and none starts until the usage is below the new limit."""
    async with running_fleet(servers=4) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = 4000
        accept_job(fleet.rows, build_spec(build_step(count=60)))
        await fleet.advance_ms(500)
        assert len(fleet.running()) == 32
        put_configuration(fleet.rows, version=4, cpu_limit=20_000)
        await fleet.advance_ms(1000)
        known = len(fleet.starts())
        for _ in range(400):
            await fleet.advance_ms(20)
            assert len(fleet.running()) <= 10 or len(fleet.starts()) == known
        assert known < len(fleet.starts())


@pytest.mark.parametrize("silence", list(Ran))
async def test_cancellation_during_a_take_over(silence):
    async with running_fleet(servers=2, members=2) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = _LONG_MS
        accept_job(fleet.rows, build_spec(build_step(count=4), build_step(count=2)))
        await fleet.advance_ms(500)
        starts = len(fleet.starts())
        first = fleet.leader
        first.store.outage = silence
        cancel_job(fleet.rows, JOB_ID)
        await fleet.advance_ms(_TAKE_OVER_MS, check=no_duplicate_runs(fleet))
        assert fleet.leader is not first
        assert fleet.running() == []
        assert len(fleet.starts()) == starts
        assert fleet.outcome(JOB_ID) == "cancelled"


async def test_wave_waits_while_another_server_is_lost():
    """The task of the lost server counts as unavailable, so no other one may be stopped."""
    async with running_fleet(servers=3) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = None
        step = build_step(count=3, long_running=True, max_unavailable=1, max_per_server=1)
        accept_job(fleet.rows, build_spec(step))
        await fleet.advance_ms(1000)
        fleet.add_vms(*fleet.servers)
        orders = fleet.leader.orders["s2"]
        orders.is_unreachable = True
        await fleet.advance_ms(8000)
        put_wave(fleet.rows, 1, ["vm-s1"], max_at_once=1)
        await fleet.advance_ms(4000)
        assert len(fleet.servers["s1"].running()) == 1
        assert fleet.vm_orders.orders == []
        orders.is_unreachable = False
        await fleet.advance_ms(4000)
        assert [vm for _, vm, _, _ in fleet.vm_orders.orders] == ["vm-s1"]
