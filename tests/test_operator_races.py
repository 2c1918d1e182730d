"""Operators at two controllers race for one availability budget; an answer of the store is lost."""

import anyio
import pytest

pytestmark = pytest.mark.processes

ROUNDS = 4


def test_racing_drains_keep_the_budget(run_with_fleet):
    """The budget allows one unavailable VM, and two operators drain different VMs concurrently."""

    async def scenario(fleet):
        for _ in range(ROUNDS):
            await race_drains(fleet)
        await drain_with_lost_answer(fleet)

    run_with_fleet(scenario)


async def race_drains(fleet):
    answers = {}

    async def drain(vm, entry_vm):
        answers[vm] = await fleet.operator("POST", f"/vms/{vm}/drain", vm=entry_vm)

    async with anyio.create_task_group() as tasks:
        for vm, entry_vm in zip(("records-1", "records-2"), fleet.entry_vms, strict=True):
            tasks.start_soon(drain, vm, entry_vm)
    accepted = [vm for vm, answer in answers.items() if answer.status_code == 200]
    refused = [answer for answer in answers.values() if answer.status_code != 200]
    assert len(accepted) == 1, [answer.text for answer in answers.values()]
    assert refused[0].status_code == 409
    assert await unavailable_vms(fleet) == accepted
    returned = await fleet.operator("POST", f"/vms/{accepted[0]}/return")
    assert returned.status_code == 200, returned.text
    await fleet.wait_until_converged()


async def drain_with_lost_answer(fleet):
    """A change whose store answer is lost takes effect once, and its operator gets success."""
    before = await configuration_version(fleet)
    await fleet.set_platform_faults(lose_answers=1)
    drained = await fleet.operator("POST", "/vms/records-3/drain")
    assert drained.status_code == 200, drained.text
    assert drained.json()["version"] == before + 1
    assert await unavailable_vms(fleet) == ["records-3"]
    other = await fleet.operator("POST", "/vms/records-4/drain", vm=fleet.entry_vms[1])
    assert (other.status_code, other.json()["reason"]) == (409, "availability-budget")
    assert await unavailable_vms(fleet) == ["records-3"]


async def unavailable_vms(fleet):
    rows = (await fleet.operator("GET", "/configuration/vm")).json()
    entities = rows["entities"] if isinstance(rows, dict) else rows
    return [vm["name"] for vm in entities if vm["state"] != "in_service"]


async def configuration_version(fleet):
    return (await fleet.operator("GET", "/configuration")).json()["version"]
