"""A withdrawn key is refused within 5 s on every entry VM."""

import anyio
import pytest

from fireflydeck.kernel import Registry
from fireflydeck.standins.fault_proxy import FaultProxy, ProxyFault, ProxyMode
from fireflydeck.testing.ports import free_address
from tests.checks import assert_not_run_means_not_started, starts_of
from tests.load import now_ms, steady_load

pytestmark = pytest.mark.processes

EFFECT_LIMIT_MS = 5_000
FROZEN_MS = 6_000


def test_withdrawn_key_starts_no_work(run_with_fleet):
    """One entry VM has no fault, one is cut off from the store, one is frozen and resumed."""

    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            proxy = FaultProxy(free_address(), fleet.platform)
            await proxy.start(Registry(), tasks)
            fleet.platform_overrides["entry-3"] = proxy.address
            fleet.add_entry_vm("entry-3")
            key_id, key, other_key = await grant_keys(fleet)
            await withdraw_under_load(fleet, proxy, key_id, key)
            await assert_key_refused(fleet, key)
            await proxy.set_fault(ProxyFault(mode=ProxyMode.PASS))
            await fleet.wait_until_converged()
            for vm in fleet.entry_vms:
                answer = await fleet.call("/queues/records/echo", key=other_key, vm=vm)
                assert answer.status_code == 200, answer.text
            await fleet.stop()
            await proxy.stop()
            tasks.cancel_scope.cancel()

    run_with_fleet(scenario)


async def grant_keys(fleet):
    granted = (await fleet.operator("POST", "/organisations/museum/keys")).json()
    return granted["key_id"], granted["key"], await fleet.grant_key("school")


async def withdraw_under_load(fleet, proxy, key_id, key):
    frozen = fleet.entry_vms[1]
    async with steady_load(fleet, "/queues/records/echo", key=key, parallel=9) as load:
        await wait_until_all_vms_answer(fleet, load)
        await proxy.set_fault(ProxyFault(mode=ProxyMode.CUT))
        for process in frozen.processes.values():
            process.pause()
        withdrawn = await fleet.operator("DELETE", f"/organisations/museum/keys/{key_id}")
        answered_ms = now_ms()
        assert withdrawn.status_code == 200, withdrawn.text
        await anyio.sleep(FROZEN_MS / 1000)
        resumed_ms = now_ms()
        for process in frozen.processes.values():
            process.resume()
        await anyio.sleep(2)
    log = await fleet.backend_log()
    assert starts_of(log, organisation="museum")
    assert not starts_of(log, from_ms=answered_ms + EFFECT_LIMIT_MS, organisation="museum")
    assert not starts_of(log, from_ms=resumed_ms, organisation="museum")
    assert_not_run_means_not_started(log, load.replies)


async def wait_until_all_vms_answer(fleet, load):
    with anyio.fail_after(10):
        while {reply.vm for reply in load.replies if reply.status == 200} != {
            vm.name for vm in fleet.entry_vms
        }:
            await anyio.sleep(0.02)


async def assert_key_refused(fleet, key):
    before = len(starts_of(await fleet.backend_log()))
    for vm in fleet.entry_vms:
        answer = await fleet.call("/queues/records/echo", key=key, vm=vm)
        assert answer.status_code in (401, 503), answer.text
        assert answer.json()["ran"] == "no"
    assert len(starts_of(await fleet.backend_log())) == before
