"""No organisation runs more tasks at a time than its limit in the whole fleet."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until
from fireflydeck.testing.sheets import build_sheet
from tests.checks import assert_not_run_means_not_started, max_running, owner_of, start_since
from tests.load import now_ms, steady_load

pytestmark = pytest.mark.processes

LIMIT = 4
LOWER_LIMIT = 2
EFFECT_LIMIT_MS = 5_000
RECOVERY_LIMIT_MS = 10_000
RUN_MS = 100
PARALLEL = 20


def test_limit_holds_over_two_dispatchers(run_with_fleet):
    """The limit is lowered while a dispatcher is frozen, which is killed after its resume."""

    async def scenario(fleet):
        key = await fleet.grant_key("museum")
        load = {"key": key, "parallel": PARALLEL, "run_ms": RUN_MS, "deadline_ms": 3_000}
        async with (
            steady_load(fleet, "/queues/records/a", **load) as records,
            steady_load(fleet, "/queues/images/b", **load) as images,
        ):
            await wait_until(start_since(fleet, 0, organisation="museum"), what="start")
            await anyio.sleep(1)
            owner = await owner_of(fleet, organisation="museum")
            owner.pause()
            lowered_ms = await lower_limit(fleet)
            await anyio.sleep(EFFECT_LIMIT_MS / 1000 + 1)
            owner.resume()
            await wait_until(
                start_since(fleet, now_ms(), organisation="museum"),
                what="start after the resume",
            )
            await anyio.sleep(1)
            owner.kill()
            await anyio.sleep(2)
        log = await fleet.backend_log()
        assert max_running(log, "museum") <= LIMIT
        print(f"maximum running right after the answer: {max_running(log, 'museum', lowered_ms)}")
        assert max_running(log, "museum", lowered_ms + EFFECT_LIMIT_MS) <= LOWER_LIMIT
        assert_not_run_means_not_started(log, records.replies + images.replies)

    run_with_fleet(scenario, sheet=build_sheet(pools=("records", "images"), limit=LIMIT))


def test_limit_of_a_killed_dispatcher_is_used_again(run_with_fleet):
    """The dispatcher that is killed and started again had been granted the whole limit."""

    async def scenario(fleet):
        key = await fleet.grant_key("museum")
        load = {"key": key, "parallel": PARALLEL, "run_ms": RUN_MS, "deadline_ms": 3_000}
        async with steady_load(fleet, "/queues/records/a", **load):
            await wait_until(start_since(fleet, 0, organisation="museum"), what="start")
            await anyio.sleep(1)
            owner = await owner_of(fleet, organisation="museum")
            owner.kill()
            killed_ms = now_ms()
            owner.start()
            await wait_until(
                start_since(fleet, killed_ms, organisation="museum"),
                timeout_ms=RECOVERY_LIMIT_MS,
                what="start after the kill",
            )
        assert max_running(await fleet.backend_log(), "museum") <= LIMIT

    run_with_fleet(scenario, sheet=build_sheet(limit=LIMIT))


async def lower_limit(fleet):
    answer = await fleet.operator(
        "PUT", "/configuration/organisation/museum", json={"limit": LOWER_LIMIT}
    )
    assert answer.status_code == 200, answer.text
    return now_ms()
