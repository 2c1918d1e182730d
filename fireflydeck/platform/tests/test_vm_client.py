"""Client of the VM interface: list, orders, refusals and each fault of the connection."""

import pytest

from fireflydeck.core import Ran
from fireflydeck.core.vm_orders import ListedVmState, VmOperationOutcome
from fireflydeck.platform.standin import HttpFault, VmApp
from fireflydeck.platform.tests.local_server import local_server
from fireflydeck.platform.vm_client import VmClient

pytestmark = pytest.mark.anyio

_TIMEOUT_MS = 300


def _app(count=1):
    app = VmApp()
    for number in range(count):
        app.vms[f"m-{number}"] = {
            "machine": f"m-{number}",
            "pool": "paint",
            "state": "up",
            "zone": "zvolen",
            "labels": ["a", "r1-2"],
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpus": 0},
            "id": f"i-{number}",
        }
    return app


async def _move(client, vm="m-0"):
    return await client.move(vm=vm, pool="spare", fencing_token=7, timeout_ms=_TIMEOUT_MS)


async def test_list_follows_pages():
    app = _app(5)
    app.page_size = 2
    async with local_server(app.handle) as address:
        client = VmClient(address, "edge-1")
        vms = (await client.list_vms(timeout_ms=_TIMEOUT_MS)).ok
        assert [vm.name for vm in vms] == [f"m-{number}" for number in range(5)]
        assert (vms[0].rack, vms[0].server_id, vms[0].state) == ("r1-2", "i-0", ListedVmState.UP)
        await client.close()


@pytest.mark.parametrize(
    ("state", "decoded"),
    [
        ("up", ListedVmState.UP),
        ("moving", ListedVmState.MOVING),
        ("upkeep", ListedVmState.MAINTENANCE),
        ("down", ListedVmState.DOWN),
    ],
)
async def test_states_of_listed_vms(state, decoded):
    app = _app()
    app.vms["m-0"]["state"] = state
    async with local_server(app.handle) as address:
        client = VmClient(address, "edge-1")
        assert (await client.list_vms(timeout_ms=_TIMEOUT_MS)).ok[0].state == decoded
        await client.close()


async def test_orders_name_their_holder():
    app = _app()
    async with local_server(app.handle) as address:
        client = VmClient(address, "edge-1")
        assert (await _move(client)).ok == VmOperationOutcome.TAKEN
        result = await client.start_maintenance(
            vm="m-0", wave=3, fencing_token=8, timeout_ms=_TIMEOUT_MS
        )
        assert result.ok == VmOperationOutcome.TAKEN
        assert app.orders == [
            {"machine": "m-0", "pool": "spare", "holder": "edge-1", "token": 7},
            {"machine": "m-0", "maintenance_wave": 3, "holder": "edge-1", "token": 8},
        ]
        await client.close()


@pytest.mark.parametrize(
    ("reason", "outcome"),
    [
        ("fence", VmOperationOutcome.FENCED),
        ("busy", VmOperationOutcome.BUSY),
        ("wave", VmOperationOutcome.OTHER_WAVE),
    ],
)
async def test_refused_orders(reason, outcome):
    app = _app()
    app.refusals = [reason]
    async with local_server(app.handle) as address:
        client = VmClient(address, "edge-1")
        assert (await _move(client)).ok == outcome
        assert (await _move(client, vm="m-9")).ok == VmOperationOutcome.INVALID
        await client.close()


@pytest.mark.parametrize(
    ("fault", "ran", "orders"),
    [
        (HttpFault.BUSY, Ran.NO, 0),
        (HttpFault.UNAVAILABLE, Ran.NO, 0),
        (HttpFault.ANSWER_LOST, Ran.UNKNOWN, 1),
        (HttpFault.SILENT, Ran.UNKNOWN, 0),
    ],
)
async def test_orders_with_a_fault(fault, ran, orders):
    app = _app()
    app.faults.next = [fault]
    async with local_server(app.handle) as address:
        client = VmClient(address, "edge-1")
        assert (await _move(client)).error.ran == ran
        assert len(app.orders) == orders
        await client.close()
