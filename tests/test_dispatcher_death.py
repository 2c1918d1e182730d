"""The dispatcher that owns a pool is killed under load."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until
from tests.checks import (
    assert_not_run_means_not_started,
    assert_ran_at_most_once,
    owner_of,
    start_since,
    starts_of,
)
from tests.load import now_ms, steady_load

pytestmark = pytest.mark.processes

RECOVERY_LIMIT_MS = 5_000
LOAD_AFTER_KILL_S = 3


def test_requests_survive_their_dispatcher(run_with_fleet):
    """Idempotent requests are answered, others run at most once; "not run" means not started."""

    async def scenario(fleet):
        keys = {
            organisation: await fleet.grant_key(organisation)
            for organisation in ("museum", "school")
        }
        plain = {"key": keys["museum"], "run_ms": 50}
        idempotent = {"key": keys["school"], "run_ms": 50, "idempotent": True}
        async with (
            steady_load(fleet, "/queues/records/once", **plain) as plain_load,
            steady_load(fleet, "/queues/records/again", **idempotent) as idempotent_load,
        ):
            await wait_until(start_since(fleet, 0, organisation="museum"), what="start")
            await wait_until(start_since(fleet, 0, organisation="school"), what="start")
            owner = await owner_of(fleet)
            owner.kill()
            killed_ms = now_ms()
            first = await wait_until(
                start_by_another_dispatcher(fleet, owner, killed_ms),
                what="start by another dispatcher",
            )
            await anyio.sleep(LOAD_AFTER_KILL_S)
        log = await fleet.backend_log()
        print(f"first start {first['at_ms'] - killed_ms} ms after the kill")
        assert first["at_ms"] - killed_ms < RECOVERY_LIMIT_MS
        for organisation in keys:
            assert starts_of(log, from_ms=first["at_ms"], organisation=organisation)
        assert_ran_at_most_once(starts_of(log, organisation="museum"))
        assert_not_run_means_not_started(log, plain_load.replies + idempotent_load.replies)
        failed = [reply for reply in idempotent_load.replies if reply.status != 200]
        assert not failed, failed[:3]
        lost = [reply for reply in plain_load.replies if reply.status != 200]
        assert {reply.ran for reply in lost} <= {"no", "unknown"}

    run_with_fleet(scenario)


def start_by_another_dispatcher(fleet, owner, from_ms):
    killed = next(vm for vm in fleet.entry_vms if vm["dispatcher"] is owner)

    async def first_start():
        found = [
            entry
            for entry in starts_of(await fleet.backend_log(), from_ms=from_ms)
            if f"-{killed.name}-" not in entry["dispatcher"] + "-"
        ]
        return found[0] if found else None

    return first_start
