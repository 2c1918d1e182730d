"""Load: a pool in its busy turn, with far more waiting tasks than its servers have room for."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core.placement import Resources
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.queued_jobs import QueuedJobs
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import accept_job, build_job, build_spec, build_step
from fireflydeck.testing.server_builders import build_server
from fireflydeck.workload.lifecycle import start_attempt

_SERVERS = 12
_JOBS = 40
_TASKS_PER_JOB = 8
_LOOKS_PER_PASS = 2

_demands = st.builds(Resources, st.integers(0, 9), st.integers(0, 9), st.integers(0, 1))
_steps = st.builds(
    lambda demand, fill: build_step(demand=demand, fill=fill), _demands, st.booleans()
)


@given(capacities=st.lists(_demands, max_size=4), steps=st.lists(_steps, max_size=20))
@settings(derandomize=True, deadline=None, database=None)
def test_servers_with_room_are_those_that_fit(capacities, steps):
    servers = [
        build_server(f"s{number}", capacity=capacity) for number, capacity in enumerate(capacities)
    ]
    room = PoolRoom(servers)
    for step in steps:
        fitting = [server for server in servers if server.fits(step)]
        assert room.servers_with_room(step) == fitting
        if fitting:
            task = next(iter(build_job(step).tasks.values()))
            fitting[0].add(start_attempt(task, fitting[0].id, min_run=1, now_ms=0))


def test_room_that_became_free_is_found_again():
    server = build_server("s1", capacity=Resources(2000, 2000))
    step = build_step()
    task = next(iter(build_job(step).tasks.values()))
    attempt = start_attempt(task, server.id, min_run=1, now_ms=0)
    server.add(attempt)
    room = PoolRoom([server])
    assert room.servers_with_room(step) == []
    server.remove(attempt)
    room.forget_full()
    assert room.servers_with_room(step) == [server]


@pytest.mark.anyio
async def test_waiting_tasks_of_a_full_pool_cost_few_looks(monkeypatch):
    """The looks at servers in a planning pass must not grow with the number of waiting tasks."""
    async with running_fleet(servers=_SERVERS, cpu_limit=0) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = 60_000
        for number in range(_JOBS):
            step = build_step(count=_TASKS_PER_JOB, demand=Resources(16_000, 1000))
            accept_job(fleet.rows, build_spec(step, job_id=f"{number:016x}"))
        await fleet.advance_ms(1000)
        assert len(fleet.starts()) == 2 * _SERVERS
        planner_passes, looks = Counter(), Counter()
        fits, rank = Server.fits, QueuedJobs.ranked

        def counted_fits(server, step):
            looks["fits"] += 1
            return fits(server, step)

        def counted_rank(*args):
            planner_passes["plan"] += 1
            return rank(*args)

        monkeypatch.setattr(Server, "fits", counted_fits)
        monkeypatch.setattr(QueuedJobs, "ranked", counted_rank)
        await fleet.advance_ms(500)
        assert planner_passes["plan"] > 0
        assert looks["fits"] <= planner_passes["plan"] * _SERVERS * _LOOKS_PER_PASS
