"""Requests and configuration changes during an outage of the platform."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until
from tests.checks import assert_not_run_means_not_started, start_since, starts_of
from tests.load import now_ms, steady_load

pytestmark = pytest.mark.processes

OUTAGE_S = 8
FRESHNESS_BOUND_MS = 3_000
SEND_MARGIN_MS = 1_000
RECOVERY_TIMEOUT_MS = 5_000


def test_quick_requests_continue_and_changes_are_refused(run_with_fleet):
    async def scenario(fleet):
        key = await fleet.grant_key("museum")
        keyed = {"key": key, "idempotent": True, "parallel": 4}
        async with (
            steady_load(fleet, "/queues/public/open", parallel=4) as unkeyed,
            steady_load(fleet, "/queues/records/keyed", **keyed) as idempotent,
        ):
            await wait_until(start_since(fleet, 0, organisation="museum"), what="keyed start")
            outage_ms = now_ms()
            await fleet.set_platform_faults(outage=True)
            await anyio.sleep(OUTAGE_S / 2)
            refused = await fleet.operator(
                "PUT", "/configuration/organisation/museum", json={"share": 3}
            )
            await anyio.sleep(OUTAGE_S / 2)
            end_ms = now_ms()
            await fleet.set_platform_faults(outage=False)
            await change_until_accepted(fleet)
        replies = unkeyed.since(outage_ms) + idempotent.since(outage_ms)
        assert {reply.status for reply in replies} == {200}, first_failed(replies)
        log = await fleet.backend_log()
        for organisation in ("museum", ""):
            late = starts_of(log, from_ms=end_ms - 2_000, organisation=organisation)
            assert [entry for entry in late if entry["at_ms"] < end_ms]
        document = refused.json()
        assert (refused.status_code, document["reason"]) == (503, "store-unavailable")
        assert document["ran"] in ("no", "unknown")

    run_with_fleet(scenario)


def test_silent_member_stops_admission_in_outage(run_with_fleet):
    """No work starts while a frozen controller leaves open whether the configuration changed."""

    async def scenario(fleet):
        async with steady_load(fleet, "/queues/public/open", parallel=8) as load:
            await wait_until(start_since(fleet, 0), what="start")
            frozen = fleet.entry_vms[1]["controller"]
            frozen.pause()
            await fleet.set_platform_faults(outage=True)
            outage_ms = now_ms()
            await anyio.sleep(OUTAGE_S)
            resumed_ms = now_ms()
            log = await fleet.backend_log()
            frozen.resume()
            await wait_until(
                start_since(fleet, resumed_ms),
                timeout_ms=RECOVERY_TIMEOUT_MS,
                what="start in the outage after the resume",
            )
            await fleet.set_platform_faults(outage=False)
        stopped_ms = outage_ms + FRESHNESS_BOUND_MS + SEND_MARGIN_MS
        assert starts_of(log)
        assert not starts_of(log, from_ms=stopped_ms)
        refused = [r for r in load.since(stopped_ms) if r.done_ms < resumed_ms]
        assert {(r.reason, r.ran) for r in refused} == {("stale-configuration", "no")}
        assert_not_run_means_not_started(await fleet.backend_log(), load.replies)

    run_with_fleet(scenario)


async def change_until_accepted(fleet):
    async def accepted():
        answer = await fleet.operator(
            "PUT", "/configuration/organisation/museum", json={"share": 5}
        )
        return answer.status_code == 200

    await wait_until(accepted, timeout_ms=RECOVERY_TIMEOUT_MS, what="change after the outage")
    shown = (await fleet.operator("GET", "/configuration/organisation/museum")).json()
    assert float(shown["entity"]["share"]) == 5


def first_failed(replies):
    return [reply for reply in replies if reply.status != 200][:3]
