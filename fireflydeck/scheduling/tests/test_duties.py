"""Tests of moves and maintenance waves: budgets, limits, changes of holder, lost answers."""

import msgpack
import pytest
from attrs import evolve

from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.core.vm_orders import ListedVm, ListedVmState, VmOperationOutcome
from fireflydeck.ownership import VM_OPERATIONS_ROW
from fireflydeck.platform.standin.documents import put_wave, read_wave_state, remove_registration
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import (
    SERVER_CAPACITY,
    accept_job,
    build_spec,
    build_step,
)

pytestmark = pytest.mark.anyio

_ORDERING_MS = 1500
"""Time in which a holder orders pending VM operations."""


def _request_wave(fleet, *server_ids, max_at_once=1, number=1):
    vms = [f"vm-{server_id}" for server_id in server_ids]
    put_wave(fleet.rows, number, vms, max_at_once=max_at_once)


def _wave_status(fleet):
    return read_wave_state(fleet.rows, 1)


def _finish_maintenance(fleet, server_id, new_id):
    """Put a VM in service again after its maintenance, with a new backend server."""
    del fleet.servers[server_id]
    remove_registration(fleet.rows, server_id)
    fleet.add_server(new_id)
    vm = fleet.vm_orders.vms[f"vm-{server_id}"]
    fleet.vm_orders.vms[vm.name] = evolve(vm, server_id=new_id)


def _ordered(fleet):
    return [(duty, vm) for duty, vm, _, _ in fleet.vm_orders.orders]


async def test_wave_completes_within_its_limit():
    async with running_fleet(servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1", "s2")
        await fleet.advance_ms(_ORDERING_MS)
        assert _ordered(fleet) == [("maintenance", "vm-s1")]
        assert _wave_status(fleet) == "running"
        await fleet.advance_ms(3000)
        assert _ordered(fleet) == [("maintenance", "vm-s1")]
        _finish_maintenance(fleet, "s1", "s3")
        await fleet.advance_ms(2000)
        assert _ordered(fleet) == [("maintenance", "vm-s1"), ("maintenance", "vm-s2")]
        assert _wave_status(fleet) == "running"
        _finish_maintenance(fleet, "s2", "s4")
        await fleet.advance_ms(2000)
        assert _wave_status(fleet) == "completed"


def _store_record(*, borrowed=(), recent=None):
    """Return a function that stores the record of an earlier holder."""
    content = msgpack.packb([list(borrowed), {}, recent or {}])

    def prepare(fleet):
        fleet.rows.commit(RowTransaction(writes=(RowWrite(VM_OPERATIONS_ROW, content),)))

    return prepare


async def test_no_order_for_a_vm_within_the_lease_time_of_the_holder_that_ordered_it():
    """Orders of two holders for one VM need a minimum gap; other VMs may be ordered immediately."""
    async with running_fleet(prepare=_store_record(recent={"vm-s1": 0}), servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1", "s2", max_at_once=2)
        await fleet.advance_ms(1900)
        assert _ordered(fleet) == [("maintenance", "vm-s2")]
        await fleet.advance_ms(2000)
        assert _ordered(fleet) == [("maintenance", "vm-s2"), ("maintenance", "vm-s1")]


async def test_order_of_the_holder_before_the_last_is_not_forgotten():
    """ONE: two quick changes of the holder, and the last one repeats an order of the first."""
    prepare = _store_record(recent={"vm-s1": 0})
    async with running_fleet(prepare=prepare, servers=2, members=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1", "s2", max_at_once=2)
        while not _ordered(fleet):
            await fleet.advance_ms(20)
        await fleet.leader.lease.stop()
        await fleet.advance_ms(1500)
        assert _ordered(fleet) == [("maintenance", "vm-s2")]


async def test_maintenance_just_ordered_by_the_previous_holder_counts_as_down():
    async with running_fleet(prepare=_store_record(recent={"vm-s1": 1}), servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1", "s2", max_at_once=1)
        await fleet.advance_ms(1900)
        assert _ordered(fleet) == []


async def test_order_is_announced_before_it_is_sent():
    async with running_fleet(servers=1) as fleet:
        fleet.add_vms("s1")
        _request_wave(fleet, "s1")
        stored = []

        def record_commit(transaction):
            if any(write.id == VM_OPERATIONS_ROW for write in transaction.writes):
                stored.append(len(fleet.vm_orders.orders))

        fleet.leader.store.on_commit = record_commit
        await fleet.advance_ms(1000)
        assert stored[0] == 0
        assert _ordered(fleet) == [("maintenance", "vm-s1")]


async def test_next_holder_continues_a_wave():
    """Each new holder restarted the wave, and VMs already maintained never got work again."""
    async with running_fleet(servers=2, members=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1")
        await fleet.advance_ms(_ORDERING_MS + 3000)
        _finish_maintenance(fleet, "s1", "s3")
        await fleet.advance_ms(1000)
        assert _wave_status(fleet) == "completed"
        await fleet.leader.lease.stop()
        await fleet.advance_ms(_ORDERING_MS + 3000)
        assert _ordered(fleet) == [("maintenance", "vm-s1")]


async def test_next_holder_does_not_repeat_a_completed_wave_after_another():
    """Storing the record of the second wave removed that of the first."""
    async with running_fleet(servers=3, members=2) as fleet:
        fleet.add_vms("s1", "s2", "s3")
        _request_wave(fleet, "s1")
        await fleet.advance_ms(3000)
        _finish_maintenance(fleet, "s1", "s4")
        await fleet.advance_ms(2000)
        _request_wave(fleet, "s2", number=2)
        await fleet.advance_ms(2000)
        _finish_maintenance(fleet, "s2", "s5")
        await fleet.advance_ms(2000)
        assert _ordered(fleet) == [("maintenance", "vm-s1"), ("maintenance", "vm-s2")]
        await fleet.leader.lease.stop()
        await fleet.advance_ms(6000)
        assert _ordered(fleet) == [("maintenance", "vm-s1"), ("maintenance", "vm-s2")]


async def test_vm_gets_work_after_maintenance_that_was_already_done():
    """The previous holder was killed after the order, before it stored the record."""
    async with running_fleet(servers=1) as fleet:
        fleet.add_vms("s1")
        _request_wave(fleet, "s1")
        await fleet.advance_ms(_ORDERING_MS + 8000)
        assert _ordered(fleet) == [("maintenance", "vm-s1")]
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(1000)
        assert len(fleet.starts()) == 1


async def test_order_without_an_answer_counts_as_down():
    async with running_fleet(servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1", "s2")
        fleet.vm_orders.next_outcomes = [None]
        await fleet.advance_ms(_ORDERING_MS + 4000)
        assert _ordered(fleet) == [("maintenance", "vm-s1")]
        assert _wave_status(fleet) == "running"


async def test_rejected_maintenance_is_ordered_again():
    async with running_fleet(servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1")
        fleet.vm_orders.next_outcomes = [VmOperationOutcome.BUSY]
        await fleet.advance_ms(_ORDERING_MS)
        assert _ordered(fleet)[:2] == [("maintenance", "vm-s1")] * 2


async def test_wave_respects_the_budget_of_long_running_tasks():
    async with running_fleet(servers=2) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = None
        long_running = build_step(count=2, long_running=True, max_unavailable=1, max_per_server=1)
        accept_job(fleet.rows, build_spec(long_running))
        await fleet.advance_ms(1000)
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, "s1", "s2", max_at_once=2)
        stopped = []
        for _ in range(300):
            await fleet.advance_ms(20)
            stopped.append(2 - len(fleet.running()))
        assert max(stopped) == 1
        assert _ordered(fleet) == [("maintenance", "vm-s1")]


async def test_long_running_tasks_leave_a_vm_one_at_a_time():
    """All tasks of a step run on one VM, and only one of them may be unavailable."""
    async with running_fleet(servers=2) as fleet:
        for server in fleet.servers.values():
            server.duration_ms = None
        accept_job(
            fleet.rows, build_spec(build_step(count=4, long_running=True, max_unavailable=1))
        )
        await fleet.advance_ms(1000)
        full = next(name for name, server in fleet.servers.items() if len(server.running()) == 4)
        fleet.add_vms("s1", "s2")
        _request_wave(fleet, full)
        unavailable = []
        for _ in range(400):
            await fleet.advance_ms(20)
            unavailable.append(4 - len(fleet.running()))
        assert max(unavailable) == 1
        assert _ordered(fleet) == [("maintenance", f"vm-{full}")]
        assert len(fleet.running()) == 4


async def test_vm_with_short_tasks_is_drained_before_its_maintenance():
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].duration_ms = 2500
        fleet.add_vms("s1")
        await fleet.advance_ms(_ORDERING_MS)
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(300)
        _request_wave(fleet, "s1")
        await fleet.advance_ms(1500)
        assert _ordered(fleet) == []
        await fleet.advance_ms(2500)
        assert _ordered(fleet) == [("maintenance", "vm-s1")]
        assert len(fleet.starts()) == 1


async def test_backlog_moves_vms_from_standby():
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].duration_ms = 600
        fleet.add_vms("s1")
        fleet.add_vms("", pool="spare")
        await fleet.advance_ms(_ORDERING_MS)
        for number in range(40):
            spec = build_spec(build_step(count=16, estimated_ms=2000), job_id=f"{number:016x}")
            accept_job(fleet.rows, spec)
        await fleet.advance_ms(1000)
        assert fleet.vm_orders.orders == [("move", "vm-", "paint", 1)]


async def test_vms_that_were_never_on_standby_are_not_moved():
    async with running_fleet(servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        await fleet.advance_ms(20_000)
        assert fleet.vm_orders.orders == []


async def test_next_holder_returns_vms_borrowed_from_standby():
    async with running_fleet(prepare=_store_record(borrowed=["vm-s2"]), servers=2) as fleet:
        fleet.add_vms("s1", "s2")
        await fleet.advance_ms(_ORDERING_MS + 4000)
        assert fleet.vm_orders.orders == [("move", "vm-s2", "spare", 1)]


async def test_move_that_a_pool_rejects_is_not_ordered_again():
    async with running_fleet(servers=1) as fleet:
        fleet.servers["s1"].duration_ms = 600
        fleet.add_vms("s1")
        fleet.add_vms("", pool="spare")
        fleet.vm_orders.next_outcomes = [VmOperationOutcome.INVALID]
        await fleet.advance_ms(_ORDERING_MS)
        for number in range(40):
            spec = build_spec(build_step(count=16, estimated_ms=2000), job_id=f"{number:016x}")
            accept_job(fleet.rows, spec)
        await fleet.advance_ms(3000)
        assert fleet.vm_orders.orders == [("move", "vm-", "paint", 1)]


async def test_vm_that_came_back_to_standby_can_move_again():
    """A VM without a backend server counted as in maintenance for ever."""
    async with running_fleet(servers=1) as fleet:
        fleet.add_vms("s1")
        fleet.add_vms("", pool="spare")
        _request_wave(fleet, "")
        await fleet.advance_ms(_ORDERING_MS + 4000)
        assert _ordered(fleet) == [("maintenance", "vm-")]
        assert _wave_status(fleet) == "completed"
        for number in range(40):
            spec = build_spec(build_step(count=16, estimated_ms=2000), job_id=f"{number:016x}")
            accept_job(fleet.rows, spec)
        await fleet.advance_ms(1000)
        assert fleet.vm_orders.orders[-1] == ("move", "vm-", "paint", 1)


async def test_pool_in_its_busy_turn_gets_its_vms_together():
    """A burst needs many VMs at once; their orders must not wait for each other's answers."""
    async with running_fleet(servers=1) as fleet:
        fleet.add_vms("s1")
        for number in range(16):
            vm = ListedVm(
                name=f"spare-{number}",
                pool="spare",
                state=ListedVmState.UP,
                data_centre="zvolen",
                rack="r1-3",
                capacity=SERVER_CAPACITY,
                server_id="",
            )
            fleet.vm_orders.vms[vm.name] = vm
        fleet.vm_orders.answer_delay_ms = 100
        await fleet.advance_ms(_ORDERING_MS)
        for number in range(60):
            spec = build_spec(build_step(count=32, estimated_ms=2000), job_id=f"{number:016x}")
            accept_job(fleet.rows, spec)
        await fleet.advance_ms(900)
        assert len(fleet.vm_orders.orders) == 16
