"""Choice of the VMs of a maintenance wave that are drained."""

from attrs import evolve

from fireflydeck.policy.maintenance_wave import PendingVm, choose_vms_to_drain


def _vm(name, **fields):
    known = PendingVm(
        name=name, pool="paint", running=0, may_stop=True, is_draining=False, pool_has_backlog=False
    )
    return evolve(known, **fields)


def _chosen(*pending, down=0, max_at_once=3, is_urgent=False):
    return choose_vms_to_drain(pending, down=down, max_at_once=max_at_once, is_urgent=is_urgent)


def test_idle_vms_go_first():
    assert _chosen(_vm("a", running=2), _vm("b"), max_at_once=1) == ["b"]


def test_limit_counts_vms_that_are_down_or_draining():
    pending = [_vm("a", is_draining=True), _vm("b"), _vm("c")]
    assert _chosen(*pending, down=1, max_at_once=3) == ["b"]
    assert _chosen(*pending, down=2, max_at_once=3) == []


def test_one_busy_vm_per_pool():
    pending = [_vm("a", running=1), _vm("b", running=1), _vm("c", running=1, pool="mane")]
    assert _chosen(*pending) == ["a", "c"]


def test_busy_vms_of_a_pool_with_a_backlog_are_drained_only_when_the_time_is_short():
    pending = [_vm("a", running=1, pool_has_backlog=True)]
    assert _chosen(*pending) == []
    assert _chosen(*pending, is_urgent=True) == ["a"]


def test_budgets_are_kept_when_the_time_is_short():
    assert _chosen(_vm("a", running=1, may_stop=False), is_urgent=True) == []
