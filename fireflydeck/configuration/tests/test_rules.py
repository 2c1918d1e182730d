import pytest
from attrs import evolve

from fireflydeck.configuration.rules import apply_edit, check_budget, check_change, is_address
from fireflydeck.core import (
    DataCentre,
    EntityKey,
    MaintenanceWindow,
    Organisation,
    Pool,
    Queue,
    VmState,
)
from fireflydeck.testing import build_configuration, build_vm

DRAINING, MAINTENANCE = VmState.DRAINING, VmState.MAINTENANCE
FAILED, IN_SERVICE = VmState.FAILED, VmState.IN_SERVICE


@pytest.mark.parametrize(
    "text",
    [
        *("", ":80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:80", "a:80"),
        *("::1:80", "[1.2.3.4]:80", "1.2.3.4:+8", "01.2.3.4:80", "1.2.3.4:80 ", "[::1]:80\n"),
    ],
)
def test_is_address_refuses(text):
    assert not is_address(text)


@pytest.mark.parametrize(
    ("puts", "removes", "expected"),
    [
        ([Pool(name="a b")], [], [("pool:a b", "name")]),
        ([Pool(name="x" * 64)], [], [("pool:" + "x" * 64, "name")]),
        ([Pool(name="a", max_unavailable=-1)], [], [("pool:a", "max_unavailable")]),
        ([Queue(name="a", pool="none")], [], [("queue:a", "pool")]),
        ([Queue(name="a", pool="records", max_waiting=0)], [], [("queue:a", "max_waiting")]),
        (
            [Organisation(name="a", share=0, limit=-1)],
            [],
            [("organisation:a", "share"), ("organisation:a", "limit")],
        ),
        ([Organisation(name="a", key_hashes=("x",))], [], [("organisation:a", "key_hashes")]),
        ([build_vm(slots=0, cores=0)], [], [("vm:vm-1", "cores"), ("vm:vm-1", "slots")]),
        ([build_vm("b", address="127.0.0.1:9")], [], [("vm:b", "address")]),
        ([build_vm("b", address="h:1")], [], [("vm:b", "address")]),
        ([build_vm("b", address="127.0.0.1:1", data_centre="x")], [], [("vm:b", "data_centre")]),
        ([build_vm(pool="other"), Pool(name="other")], [], [("vm:vm-1", "pool")]),
        ([build_vm(state=MAINTENANCE)], [], [("vm:vm-1", "state")]),
        (
            [MaintenanceWindow(name="w", data_centre="dc-1", start_ms=5, end_ms=5)],
            [],
            [("maintenance_window:w", "end_ms")],
        ),
        ([], [EntityKey("pool", "none")], [("pool:none", "name")]),
        ([], [EntityKey("data_centre", "dc-1")], [("data_centre:dc-1", "name")]),
        ([], [EntityKey("vm", "vm-1")], [("vm:vm-1", "state")]),
        ([Pool(name="records")], [EntityKey("pool", "records")], [("pool:records", "name")]),
    ],
)
def test_check_change_refuses(puts, removes, expected):
    problems = check_change(build_configuration(), puts, removes)
    assert [(str(problem.entity), problem.field) for problem in problems] == expected


def test_check_change_accepts_references_within_one_change():
    base = build_configuration(build_vm(state=MAINTENANCE), Queue(name="records", pool="records"))
    puts = [DataCentre(name="dc-2"), Pool(name="new"), build_vm(pool="new", data_centre="dc-2")]
    removes = [EntityKey("pool", "records"), EntityKey("queue", "records")]
    assert check_change(base, puts, removes) == ()


# Availability budgets: VMs of one pool, by default with a budget of one.


def pool_of(*states, data_centre_in_service=True, budget=1):
    vms = [numbered_vm(number, state) for number, state in enumerate(states, 1)]
    data_centre = DataCentre(name="dc-1", in_service=data_centre_in_service)
    pool = Pool(name="records", max_unavailable=budget)
    return build_configuration(data_centre, pool, Pool(name="other", max_unavailable=0), *vms)


def numbered_vm(number, state, **fields):
    defaults = {"address": f"127.0.0.1:{number}", "data_centre": "dc-1"}
    return build_vm(f"vm-{number}", state=state, **{**defaults, **fields})


@pytest.mark.parametrize(
    ("before", "puts", "over_budget"),
    [
        (pool_of(IN_SERVICE, IN_SERVICE), [numbered_vm(1, DRAINING)], []),
        (pool_of(DRAINING, IN_SERVICE), [numbered_vm(1, MAINTENANCE)], []),
        (pool_of(DRAINING, IN_SERVICE), [numbered_vm(2, DRAINING)], ["records"]),
        (pool_of(FAILED, IN_SERVICE), [numbered_vm(2, DRAINING)], ["records"]),
        (pool_of(FAILED, FAILED), [numbered_vm(1, MAINTENANCE)], ["records"]),
        (pool_of(FAILED, IN_SERVICE), [numbered_vm(1, MAINTENANCE)], []),
        (
            pool_of(IN_SERVICE, IN_SERVICE, data_centre_in_service=False),
            [numbered_vm(1, DRAINING)],
            ["records"],
        ),
        (pool_of(MAINTENANCE, IN_SERVICE), [numbered_vm(2, FAILED)], []),
        (pool_of(MAINTENANCE, FAILED), [numbered_vm(1, IN_SERVICE)], []),
        (pool_of(MAINTENANCE, FAILED), [numbered_vm(2, IN_SERVICE)], []),
        (pool_of(DRAINING, FAILED), [numbered_vm(1, MAINTENANCE)], []),
        (pool_of(DRAINING, IN_SERVICE), [DataCentre(name="dc-1", in_service=False)], []),
        (
            pool_of(MAINTENANCE, IN_SERVICE),
            [numbered_vm(1, IN_SERVICE), numbered_vm(2, DRAINING)],
            [],
        ),
        (pool_of(MAINTENANCE), [Pool(name="records", max_unavailable=0)], ["records"]),
        (pool_of(FAILED), [Pool(name="records", max_unavailable=0)], []),
        (pool_of(MAINTENANCE), [numbered_vm(1, IN_SERVICE, pool="other")], []),
        (pool_of(MAINTENANCE), [numbered_vm(1, MAINTENANCE, pool="other")], ["other"]),
        (pool_of(IN_SERVICE), [numbered_vm(9, DRAINING), numbered_vm(8, DRAINING)], ["records"]),
    ],
)
def test_check_budget(before, puts, over_budget):
    problems = check_budget(before, apply_edit(before, puts, []))
    assert [problem.entity.name for problem in problems] == over_budget


def test_check_budget_counts_each_vm_once():
    before = pool_of(IN_SERVICE, IN_SERVICE, data_centre_in_service=False, budget=2)
    after = apply_edit(before, [numbered_vm(1, DRAINING)], [])
    assert check_budget(before, after) == ()
    pool = evolve(before.get(Pool, "records"), max_unavailable=1)
    assert check_budget(before, apply_edit(before, [pool, numbered_vm(1, DRAINING)], []))
