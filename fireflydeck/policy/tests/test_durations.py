"""Durations learned from ended tasks."""

import random
from math import exp, log

import pytest

from fireflydeck.policy.durations import TaskDurations

_QUEUE = "swatches"


def _learned(pairs):
    durations = TaskDurations()
    for estimated_ms, actual_ms in pairs:
        durations.record(_QUEUE, estimated_ms=estimated_ms, actual_ms=actual_ms)
    return durations


def test_estimates_are_used_until_enough_steps_ended():
    assert _learned([(600, 1200)] * 7).expected_ms(_QUEUE, 600) == 600
    assert TaskDurations().expected_ms(_QUEUE, 450) == 450


def test_estimates_that_are_all_half_are_corrected():
    durations = _learned([(ms / 2, ms) for ms in range(200, 1200, 50)])
    assert durations.expected_ms(_QUEUE, 300) == pytest.approx(600)


def test_uninformative_estimates_are_replaced_by_the_mean():
    durations = _learned([(200, 600), (1800, 600)] * 10)
    assert durations.expected_ms(_QUEUE, 200) == pytest.approx(600)


def test_queue_without_estimates_has_its_mean():
    durations = _learned([(600, 400)] * 10)
    assert durations.expected_ms(_QUEUE, 0) == pytest.approx(400)


def test_estimates_that_are_off_by_half_are_improved():
    """The declared times are wrong by a factor of about 1.6 in either direction."""
    source = random.Random(5)
    durations = TaskDurations()
    before = after = 0.0
    for _ in range(400):
        actual_ms = 600 * exp(source.gauss(0, 0.47))
        estimated_ms = actual_ms * exp(source.gauss(0, 0.47))
        before += abs(log(estimated_ms / actual_ms))
        after += abs(log(durations.expected_ms(_QUEUE, estimated_ms) / actual_ms))
        durations.record(_QUEUE, estimated_ms=estimated_ms, actual_ms=actual_ms)
    assert after < before * 0.8
