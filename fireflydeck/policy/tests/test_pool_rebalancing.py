"""Moves of VMs: bursts of demand, idle pools, needless moves, VMs with labels."""

from attrs import evolve

from fireflydeck.policy.pool_rebalancing import MovableVm, PoolLoad, VmMove, choose_moves

_VM_CORES = 32.0
_SPARE = "spare"


def _pool(name, vms, **fields):
    known = PoolLoad(
        name=name,
        needed_cores=0.0,
        available_cores=vms * _VM_CORES,
        vms=vms,
    )
    return evolve(known, **fields)


def _standby():
    return _pool(_SPARE, 0, standby=True)


def _vms(pool, count, idle_ms=0, **fields):
    return [
        MovableVm(name=f"{pool}-{number}", pool=pool, cores=_VM_CORES, idle_ms=idle_ms, **fields)
        for number in range(count)
    ]


def _targets(moves):
    return [move.target for move in moves]


def test_pool_with_a_burst_gets_all_missing_cores_at_once():
    """A burst brings five times the mean demand for some seconds, more than the pool can serve."""
    moves = choose_moves([_pool("paint", 6, needed_cores=250), _standby()], _vms(_SPARE, 6))
    assert _targets(moves) == ["paint"] * 3


def test_idle_vms_of_other_pools_go_before_those_on_standby():
    pools = [_pool("paint", 6, needed_cores=250), _pool("mane", 8), _standby()]
    moves = choose_moves(pools, _vms("mane", 2, idle_ms=1000) + _vms(_SPARE, 6))
    assert [move.source for move in moves] == ["mane"] * 2 + [_SPARE]


def test_idle_vms_move_to_the_pool_with_the_next_burst():
    pools = [_pool("paint", 12), _pool("mane", 6, needed_cores=300)]
    moves = choose_moves(pools, _vms("paint", 12, idle_ms=500))
    assert {(move.source, move.target) for move in moves} == {("paint", "mane")}


def test_busy_vms_stay():
    pools = [_pool("paint", 12), _pool("mane", 6, needed_cores=300)]
    assert choose_moves(pools, _vms("paint", 12)) == []


def test_vms_that_are_moving_to_the_pool_count():
    pools = [_pool("paint", 6, needed_cores=250, incoming_cores=4 * _VM_CORES), _standby()]
    assert choose_moves(pools, _vms(_SPARE, 6)) == []


def test_borrowed_vms_go_back_once_their_pool_is_idle():
    pools = [_pool("paint", 8), _standby()]
    moves = choose_moves(pools, _vms("paint", 2, idle_ms=60_000))
    assert moves == [VmMove(f"paint-{number}", "paint", _SPARE) for number in range(2)]


def test_pauses_of_a_second_send_nothing_to_standby():
    pools = [_pool("paint", 6), _standby()]
    assert choose_moves(pools, _vms("paint", 6, idle_ms=1000)) == []


def test_pool_keeps_the_vms_that_its_open_jobs_need():
    pools = [_pool("paint", 6, needed_cores=600), _pool("mane", 6, needed_cores=100)]
    moves = choose_moves(pools, _vms("mane", 6, idle_ms=2000))
    assert len(moves) == 2


def test_idle_fleet_moves_nothing():
    assert choose_moves([_pool("paint", 6), _standby()], _vms(_SPARE, 6)) == []


def test_tasks_limited_per_vm_get_enough_vms():
    pools = [_pool("paint", 3, needed_cores=20, min_vms=5), _standby()]
    assert _targets(choose_moves(pools, _vms(_SPARE, 6))) == ["paint"] * 2
    pools = [_pool("paint", 6, min_vms=6), _standby()]
    assert choose_moves(pools, _vms("paint", 6, idle_ms=60_000)) == []


def test_vm_with_a_required_label_comes_and_stays():
    pools = [
        _pool(
            "paint",
            3,
            required_labels=frozenset({"gpu"}),
            missing_labels=frozenset({"gpu"}),
        ),
        _standby(),
    ]
    labelled = MovableVm(
        name="g", pool=_SPARE, cores=_VM_CORES, idle_ms=0, labels=frozenset({"gpu"})
    )
    assert choose_moves(pools, [*_vms(_SPARE, 3), labelled]) == [VmMove("g", _SPARE, "paint")]
    pools = [_pool("paint", 6, required_labels=frozenset({"gpu"})), _standby()]
    vms = _vms("paint", 6, idle_ms=60_000, labels=frozenset({"gpu"}))
    assert choose_moves(pools, vms) == []


def test_vm_moves_only_to_a_pool_that_accepts_it():
    pools = [_pool("paint", 6, needed_cores=250), _standby()]
    vms = _vms(_SPARE, 6, unsuitable_pools=frozenset({"paint"}))
    assert choose_moves(pools, vms) == []
