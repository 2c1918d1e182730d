"""Links to members that are added and removed, and broadcasts."""

from itertools import pairwise

import anyio
import pytest

from fireflydeck.kernel import Metrics, Registry
from fireflydeck.peers.messages import (
    JobQueued,
)
from fireflydeck.testing import FakeClock, build_request
from fireflydeck.testing.peers import (
    build_client,
    build_member,
    run_peers,
    run_scripted_member,
)

pytestmark = pytest.mark.anyio


async def test_client_reconnects_with_backoff():
    clock = FakeClock()
    connections = []

    async def close(stream):
        connections.append(clock.now_ms())

    async with run_scripted_member(close) as member:
        client = build_client([member], clock, Metrics())
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            await client.submit(member, build_request())
            await clock.advance_ms(60_000)
            tasks.cancel_scope.cancel()
    delays_ms = [late - early for early, late in pairwise(connections)]
    assert 25 <= delays_ms[0] <= 50
    assert all(2_500 <= delay_ms <= 5_000 for delay_ms in delays_ms[7:])
    assert len(connections) < 35


async def test_client_closes_links_to_removed_members():
    clock = FakeClock()
    async with run_peers(clock=clock) as bench:
        assert (await bench.client.submit(bench.member, build_request())).is_ok()
        bench.members.clear()
        await clock.advance_ms(1_000)
        assert bench.client.state() == []


async def test_broadcast_reaches_running_members_without_waiting():
    async with run_peers() as bench:
        received = []

        async def record(session, message):
            received.append((session.name, message))

        bench.listener.handle(JobQueued, record, in_order=True)
        down = build_member("dispatcher-9", "127.0.0.1:1")
        bench.members += [down, build_member("gateway-1"), build_member("d-3", fenced=True)]
        message = JobQueued(job_id="j-1", queue="records")
        assert bench.client.broadcast(message) == 2
        await bench.client.request_status(bench.member)
        await bench.client.request_status(down)
        assert received == [("gateway-1", message)]
        assert bench.client.broadcast(message) == 1


async def test_is_stopping_follows_the_listeners_announcement():
    async with run_peers() as bench:
        await bench.client.request_status(bench.member)
        assert not bench.client.is_stopping(bench.member)
        bench.listener.announce_stop()
        await bench.client.request_status(bench.member)
        assert bench.client.is_stopping(bench.member)


async def test_announce_stop_reaches_the_listeners_of_other_members():
    async with run_peers() as bench:
        stopped = []
        bench.listener.on_peer_stopping(stopped.append)
        bench.client.announce_stop()
        assert (await bench.client.request_status(bench.member)).is_ok()
        assert stopped == ["gateway-1"]


async def test_mark_stopping_applies_until_the_member_is_removed():
    clock = FakeClock()
    async with run_peers(clock=clock) as bench:
        member = bench.member
        bench.client.mark_stopping(member.name)
        await clock.advance_ms(1_000)
        assert bench.client.is_stopping(member)
        bench.members.clear()
        await clock.advance_ms(1_000)
        assert not bench.client.is_stopping(member)


async def test_broadcast_types_without_handler_are_ignored():
    async with run_peers() as bench:
        bench.client.broadcast(JobQueued(job_id="j-1", queue="records"))
        assert (await bench.client.request_status(bench.member)).is_ok()
        assert bench.listener_metrics.value("peer_bad_frames_total") == 0


async def test_request_status_returns_the_peers_status():
    async with run_peers() as bench:
        reply = (await bench.client.request_status(bench.member)).ok
        assert (reply.version, reply.confirmed_age_ms, reply.store_reachable) == (7, 40, True)
