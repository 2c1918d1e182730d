"""Forecast of needs: bursts that rise over seconds, steady load, ends of bursts."""

import pytest

from fireflydeck.policy.pool_forecast import PoolForecast

_SAMPLE_INTERVAL_MS = 250
_HORIZON_MS = 2200


def _forecast_of(needs, first_ms=0):
    forecast = PoolForecast()
    for number, cores in enumerate(needs):
        forecast.record("paint", cores, first_ms + number * _SAMPLE_INTERVAL_MS)
    return forecast


def test_rise_of_a_burst_is_detected_before_the_pool_is_full():
    """The need rises from a twentieth to five times the mean in about four seconds.

    That is 50 cores per second.
    """
    forecast = _forecast_of([82, 95, 107, 120, 132])
    assert forecast.expected_cores("paint", _HORIZON_MS) == pytest.approx(132 + 50 * 2.2)


def test_one_large_job_is_not_a_burst():
    """Without a limit on the rise, a job of a hundred core-seconds moves seventeen VMs."""
    forecast = _forecast_of([0, 0, 0, 0, 60])
    assert forecast.expected_cores("paint", _HORIZON_MS) == pytest.approx(120)


def test_steady_need_is_not_changed():
    assert _forecast_of([80] * 20).expected_cores("paint", _HORIZON_MS) == pytest.approx(80)


def test_falling_need_is_not_extrapolated():
    assert _forecast_of([250, 200, 150, 100]).expected_cores("paint", _HORIZON_MS) == pytest.approx(
        100
    )


def test_first_sample_of_a_backlog_is_not_an_increase():
    """A new holder of the lease loads all jobs of its predecessor in one step."""
    assert _forecast_of([0, 180]).expected_cores("paint", _HORIZON_MS) == pytest.approx(180)


def test_unknown_pool_needs_nothing():
    forecast = PoolForecast()
    assert forecast.expected_cores("paint", _HORIZON_MS) == 0
