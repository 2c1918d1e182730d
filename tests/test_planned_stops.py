"""A drain of a VM interrupts no request, and the VM then works in another pool."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until

pytestmark = pytest.mark.processes

RUN_MS = "8000"
DRAIN_TIMEOUT_MS = 20_000


def test_drained_vm_finishes_its_request_and_moves(run_with_fleet):
    async def scenario(fleet):
        answers = []

        async def call():
            answers.append(await fleet.call("/queues/public/slow", x_run_ms=RUN_MS))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            name = await wait_until(lambda: first_started_vm(fleet), what="start of the request")
            drained = await fleet.operator("POST", f"/vms/{name}/drain")
            assert drained.status_code == 200
            early = await fleet.operator("POST", f"/vms/{name}/move", json={"pool": "other"})
            assert early.status_code == 422
        assert (answers[0].status_code, answers[0].headers["x-vm"]) == (200, name)
        await wait_until(
            lambda: has_state(fleet, name, "maintenance"),
            timeout_ms=DRAIN_TIMEOUT_MS,
            what="end of the drain",
        )
        await move(fleet, name)

    run_with_fleet(scenario)


async def move(fleet, name):
    await fleet.operator("PUT", "/configuration/pool/other", json={})
    await fleet.operator(
        "PUT", "/configuration/queue/other", json={"pool": "other", "open_to_all": True}
    )
    moved = await fleet.operator("POST", f"/vms/{name}/move", json={"pool": "other"})
    assert moved.status_code == 200, moved.text
    await wait_until(lambda: is_resumed(fleet, name), what="resume of the backend server")
    await fleet.wait_until_converged()
    answer = await fleet.call("/queues/other/echo")
    assert (answer.status_code, answer.headers["x-vm"]) == (200, name)


async def first_started_vm(fleet):
    starts = [entry for entry in await fleet.backend_log() if entry["event"] == "start"]
    return starts[0]["vm"] if starts else ""


async def has_state(fleet, name, state):
    document = (await fleet.operator("GET", f"/configuration/vm/{name}")).json()
    return document["entity"]["state"] == state


async def is_resumed(fleet, name):
    return not (await fleet.backend(name, "/-/status")).json()["draining"]
