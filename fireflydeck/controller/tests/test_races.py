"""Races between operators and controllers with store faults, checked in the stored changes."""

import anyio
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.controller.edits import (
    drain_vm,
    fail_vm,
    finish_drain,
    move_vm,
    put_entity,
    return_vm,
    set_data_centre,
)
from fireflydeck.controller.tests.operator import OperatorSite
from fireflydeck.core import Configuration, EntityKey, Organisation, Pool, Vm, VmState
from fireflydeck.testing import FakeTableService, StoreFault

PLANNED_STATES = (VmState.DRAINING, VmState.MAINTENANCE)
VM_OPERATIONS = {
    "drain": drain_vm,
    "finish": finish_drain,
    "fail": fail_vm,
    "return": return_vm,
    "to-records": lambda base, name: move_vm(base, name, "records"),
    "to-spare": lambda base, name: move_vm(base, name, "spare"),
}


@frozen
class Operation:
    """One operation of an operator; each store call yields `delay` times to the event loop."""

    name: str
    subject: str
    number: int
    delay: int

    def build(self, base):
        if self.name in VM_OPERATIONS:
            return VM_OPERATIONS[self.name](base, self.subject)
        if self.name == "budget":
            key = EntityKey("pool", "records")
            return put_entity(base, key, {"max_unavailable": self.number})
        if self.name == "limit":
            return put_entity(base, EntityKey("organisation", "museum"), {"limit": self.number})
        return set_data_centre(base, "dc-1", self.name == "in")


OPERATIONS = st.builds(
    Operation,
    st.sampled_from([*VM_OPERATIONS, "drain", "drain", "finish", "budget", "limit", "out", "in"]),
    st.sampled_from([f"vm-{number}" for number in range(1, 5)]),
    st.integers(0, 3),
    st.integers(0, 4),
)
FAULTS = st.lists(st.sampled_from([None, None, *StoreFault]), max_size=4)


class DelayedTables(FakeTableService):
    """Table service with shared rows that yields `delay` times to the event loop.

    It yields before each `get`, and before and after each `commit`.
    """

    def __init__(self, shared, delay):
        super().__init__(shared.tables)
        self.next_commits = shared.next_commits
        self._delay = delay

    async def get(self, table, key):
        await self._wait()
        return await super().get(table, key)

    async def commit(self, transaction):
        await self._wait()
        result = await super().commit(transaction)
        await self._wait()
        return result

    async def _wait(self):
        for _ in range(self._delay):
            await anyio.lowlevel.checkpoint()


async def run_batches(batches, faults):
    site = OperatorSite()
    await site.fill()
    site.tables.next_commits = list(faults)
    for batch in batches:
        async with anyio.create_task_group() as tasks:
            for operation in batch:
                service = site.controller_over(DelayedTables(site.tables, operation.delay))
                tasks.start_soon(service.apply, operation.build)
    site.tables.next_commits = []
    return site


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.lists(OPERATIONS, min_size=1, max_size=4), max_size=6), FAULTS)
def test_racing_changes_never_break_a_budget(batches, faults):
    async def case():
        site = await run_batches(batches, faults)
        changes = (await site.store.changes_since(0)).ok
        configuration = Configuration()
        for change in changes:
            before, configuration = configuration, configuration.apply(change)
            check_version(before, configuration)
        assert configuration == await site.load()
        row = site.tables.tables.get("allotments", "museum")
        assert row.value["limit"] == configuration.get(Organisation, "museum").limit

    anyio.run(case)


def check_version(before, after):
    """Check the invariants of a version and a change, independently of the rules' code."""
    for pool in after.all(Pool):
        stopped = {vm.name for vm in after.vms_in_pool(pool.name) if vm.state in PLANNED_STATES}
        stopped_before = {
            vm.name for vm in before.vms_in_pool(pool.name) if vm.state in PLANNED_STATES
        }
        assert len(stopped) <= pool.max_unavailable
        if stopped - stopped_before:
            out_of_service = [
                vm for vm in after.vms_in_pool(pool.name) if not after.accepts_work(vm)
            ]
            assert len(out_of_service) <= pool.max_unavailable
    for vm in after.all(Vm):
        old = before.get(Vm, vm.name)
        if old is not None and old.pool != vm.pool:
            assert old.state is VmState.MAINTENANCE
