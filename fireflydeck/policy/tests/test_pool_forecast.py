"""Needs ahead of time: turns that rise over seconds, steady load, ends of turns."""

import pytest

from fireflydeck.policy.pool_forecast import PoolForecast

_ROUND_MS = 250
_AHEAD_MS = 2200


def _followed(needs, first_ms=0):
    forecast = PoolForecast()
    for number, cores in enumerate(needs):
        forecast.note("paint", cores, first_ms + number * _ROUND_MS)
    return forecast


def test_rise_of_a_turn_is_seen_before_the_pool_is_full():
    """From a twentieth to five times the mean within some four seconds: 50 cores a second."""
    forecast = _followed([82, 95, 107, 120, 132])
    assert forecast.cores_ahead("paint", _AHEAD_MS) == pytest.approx(132 + 50 * 2.2)


def test_one_large_job_is_no_turn():
    """A job of a hundred core-seconds took seventeen VMs to its pool."""
    forecast = _followed([0, 0, 0, 0, 60])
    assert forecast.cores_ahead("paint", _AHEAD_MS) == pytest.approx(120)


def test_steady_load_needs_what_it_has():
    assert _followed([80] * 20).cores_ahead("paint", _AHEAD_MS) == pytest.approx(80)


def test_end_of_a_turn_is_no_need_below_the_present_one():
    assert _followed([250, 200, 150, 100]).cores_ahead("paint", _AHEAD_MS) == pytest.approx(100)


def test_first_sight_of_a_backlog_is_no_rise():
    """A new holder of the lease finds the jobs of its predecessor all at once."""
    assert _followed([0, 180]).cores_ahead("paint", _AHEAD_MS) == pytest.approx(180)


def test_unknown_pool_needs_nothing():
    forecast = PoolForecast()
    assert forecast.cores_ahead("paint", _AHEAD_MS) == 0
