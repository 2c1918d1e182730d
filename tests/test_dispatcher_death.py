"""The dispatcher that owns a pool is killed under load."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until
from tests.checks import (
    assert_not_run_is_true,
    assert_ran_at_most_once,
    owner_of,
    starts_of,
    wait_for_start,
)
from tests.load import now_ms, steady_load

pytestmark = pytest.mark.processes

SERVED_AGAIN_MS = 5_000
LOAD_AFTER_KILL_S = 3


def test_requests_survive_their_dispatcher(run_with_fleet):
    """Idempotent requests are answered, the others run at most once, "not run" is true."""

    async def scenario(fleet):
        keys = {
            organisation: await fleet.grant_key(organisation)
            for organisation in ("museum", "school")
        }
        once = {"key": keys["museum"], "run_ms": 50}
        again = {"key": keys["school"], "run_ms": 50, "idempotent": True}
        async with (
            steady_load(fleet, "/queues/records/once", **once) as single,
            steady_load(fleet, "/queues/records/again", **again) as repeated,
        ):
            await wait_until(wait_for_start(fleet, 0, organisation="museum"), what="start")
            await wait_until(wait_for_start(fleet, 0, organisation="school"), what="start")
            owner = await owner_of(fleet)
            owner.kill()
            killed_ms = now_ms()
            first = await wait_until(other_start(fleet, owner, killed_ms), what="other's start")
            await anyio.sleep(LOAD_AFTER_KILL_S)
        log = await fleet.backend_log()
        print(f"served again {first['at_ms'] - killed_ms} ms after the kill")
        assert first["at_ms"] - killed_ms < SERVED_AGAIN_MS
        for organisation in keys:
            assert starts_of(log, from_ms=first["at_ms"], organisation=organisation)
        assert_ran_at_most_once(starts_of(log, organisation="museum"))
        assert_not_run_is_true(log, single.replies + repeated.replies)
        failed = [reply for reply in repeated.replies if reply.status != 200]
        assert not failed, failed[:3]
        lost = [reply for reply in single.replies if reply.status != 200]
        assert {reply.ran for reply in lost} <= {"no", "unknown"}

    run_with_fleet(scenario)


def other_start(fleet, owner, from_ms):
    killed = next(vm for vm in fleet.entry_vms if vm["dispatcher"] is owner)

    async def first():
        found = [
            entry
            for entry in starts_of(await fleet.backend_log(), from_ms=from_ms)
            if f"-{killed.name}-" not in entry["dispatcher"] + "-"
        ]
        return found[0] if found else None

    return first
