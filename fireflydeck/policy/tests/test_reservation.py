"""Load: a few large tasks and gangs beside many small tasks that fill each gap."""

import pytest

from fireflydeck.core.placement import Resources
from fireflydeck.policy.reservation import (
    ReservationRequest,
    ServerForecast,
    ServerHolds,
    earliest_fit,
    is_common_size,
    remaining_ms,
)

_GB = 1024


def _cores(count, memory_gb=0):
    return Resources(count * 1000, memory_gb * _GB)


def _forecast(server_id, free, *releases, **fields):
    ordered = sorted(releases, key=lambda release: release[0])
    return ServerForecast(server_id=server_id, free=free, releases=ordered, **fields)


def _request(demand, **fields):
    return ReservationRequest(demand=demand, **fields)


def test_task_is_reserved_where_it_fits_first():
    forecasts = [
        _forecast("a", _cores(8), (900, _cores(32))),
        _forecast("b", _cores(8), (300, _cores(16)), (500, _cores(16))),
        _forecast("c", _cores(30), (2000, _cores(34))),
    ]
    fit = earliest_fit(_request(_cores(40)), forecasts, now_ms=0)
    assert (fit.at_ms, fit.counts) == (500, {"b": 1})


def test_task_that_fits_on_no_empty_server_gets_no_reservation():
    forecasts = [_forecast("a", _cores(8), (900, _cores(24)))]
    assert earliest_fit(_request(_cores(40)), forecasts, now_ms=0) is None


def test_server_with_full_memory_and_free_cores_is_reserved_when_memory_is_free():
    """Free cores alone do not start a task on a server whose memory is full."""
    forecasts = [
        _forecast("a", _cores(60), (800, _cores(1, 64))),
        _forecast("b", _cores(0, 64), (600, _cores(40))),
    ]
    fit = earliest_fit(_request(_cores(16, 32)), forecasts, now_ms=0)
    assert (fit.at_ms, fit.counts) == (600, {"b": 1})


def test_gang_starts_when_the_last_member_has_a_place():
    forecasts = [
        _forecast("a", _cores(16), (700, _cores(16))),
        _forecast("b", _cores(0), (400, _cores(16)), (900, _cores(16))),
        _forecast("c", _cores(0), (5000, _cores(64))),
    ]
    fit = earliest_fit(_request(_cores(16), count=4), forecasts, now_ms=0)
    assert (fit.at_ms, fit.counts) == (900, {"a": 2, "b": 2})
    one_each = [_forecast(f.server_id, f.free, *f.releases, max_tasks=1) for f in forecasts]
    fit = earliest_fit(_request(_cores(16), count=3), one_each, now_ms=0)
    assert (fit.at_ms, fit.counts) == (5000, {"a": 1, "b": 1, "c": 1})


@pytest.mark.parametrize(("later_ms", "servers"), [(50, {"a1", "a2"}), (500, {"a1", "b1"})])
def test_step_is_kept_in_one_rack_unless_it_waits_much_longer(later_ms, servers):
    forecasts = [
        _forecast("a1", _cores(0), (100, _cores(16)), rack="a"),
        _forecast("b1", _cores(0), (100, _cores(16)), rack="b"),
        _forecast("a2", _cores(0), (100 + later_ms, _cores(16)), rack="a"),
    ]
    request = _request(_cores(16), count=2, duration_ms=1000, same_rack=True)
    assert set(earliest_fit(request, forecasts, now_ms=0).counts) == servers


def test_reservation_moves_only_if_another_server_is_clearly_sooner():
    """Held capacity would be lost if each small change of an estimate moved the reservation."""
    kept = _forecast("a", _cores(30), (500, _cores(10)), is_kept=True)
    sooner = _forecast("b", _cores(0), (450, _cores(64)))
    much_sooner = _forecast("c", _cores(0), (300, _cores(64)))
    request = _request(_cores(40))
    assert earliest_fit(request, [sooner, kept], now_ms=0).counts == {"a": 1}
    assert earliest_fit(request, [sooner, kept, much_sooner], now_ms=0).counts == {"c": 1}


def test_run_that_exceeds_its_estimate_is_expected_to_go_on():
    """A run of seven times its estimate must not be expected to end at any moment."""
    assert remaining_ms(elapsed_ms=400, expected_ms=1000, spread=0.4) == 600
    overdue = [remaining_ms(elapsed_ms=ms, expected_ms=1000, spread=0.4) for ms in (1000, 6000)]
    assert overdue[0] > 200
    assert overdue[1] > 1200


def _holds(amount, at_ms, free, *releases):
    holds = ServerHolds()
    holds.add("large", at_ms=at_ms, until_ms=9000, amount=amount, free=free, releases=releases)
    return holds


def test_short_task_is_backfilled_and_a_longer_one_waits():
    holds = _holds(_cores(40), 1000, _cores(20), (1000, _cores(20)))
    assert holds.admits(_cores(20), end_ms=1000)
    assert not any(hold.is_withholding for hold in holds.holds)
    assert not holds.admits(_cores(20), end_ms=1001)
    assert all(hold.is_withholding for hold in holds.holds)


def test_long_tasks_fill_only_what_is_free_beside_the_reservation():
    holds = _holds(_cores(40, 4), 1000, _cores(20, 8), (900, _cores(30, 2)), (1100, _cores(9, 9)))
    assert not holds.admits(_cores(2, 7), end_ms=5000)
    assert holds.admits(_cores(10, 6), end_ms=5000)
    holds.take(_cores(8, 2), end_ms=5000)
    assert not holds.admits(_cores(3), end_ms=5000)
    assert holds.admits(_cores(2), end_ms=5000)
    holds.give_back(_cores(8, 2), end_ms=5000)
    assert holds.admits(_cores(10, 6), end_ms=5000)


def test_second_reservation_leaves_the_first_one_its_capacity():
    """Two large jobs of two organisations."""
    holds = _holds(_cores(40), 1000, _cores(0), (1000, _cores(64)))
    assert holds.admits(_cores(24), end_ms=5000)
    holds.add(
        "second",
        at_ms=1000,
        until_ms=5000,
        amount=_cores(20),
        free=_cores(0),
        releases=[(1000, _cores(64))],
    )
    assert holds.admits(_cores(4), end_ms=5000)
    assert not holds.admits(_cores(5), end_ms=5000)
    assert holds.amount == _cores(60)
    holds.add(
        "third",
        at_ms=2000,
        until_ms=5000,
        amount=_cores(8),
        free=_cores(0),
        releases=[(1000, _cores(64)), (1500, _cores(8))],
    )
    assert [hold.spare for hold in holds.holds] == [_cores(4), _cores(4), _cores(4)]


def test_tasks_that_single_runs_make_room_for_need_no_reservation():
    """Small tasks at the head of a full pool's queue must not take the reservations."""
    counts = {_cores(2, 2): 90, _cores(8, 4): 9, _cores(4, 24): 1}
    assert is_common_size(_cores(2, 1), counts)
    assert is_common_size(_cores(8, 4), counts)
    assert not is_common_size(_cores(9, 1), counts)
    assert not is_common_size(_cores(2, 24), counts)
    assert not is_common_size(_cores(2, 1), {_cores(2, 1): 3})
