"""Pace of fill tasks that raise the percentile latency of serving tasks on the same server."""

import pytest

from fireflydeck.policy.interference import FULL_PACE, next_pace

_TARGET_MS = 100


@pytest.mark.parametrize(
    ("pace", "latency_ms", "expected"),
    [
        (100, 150, 50),
        (12, 150, 0),
        (0, 150, 0),
        (50, 90, 50),
        (50, 60, 60),
        (95, 60, 100),
        (0, 60, 10),
    ],
)
def test_next_pace(pace, latency_ms, expected):
    assert next_pace(pace, latency_ms=latency_ms, target_ms=_TARGET_MS) == expected


@pytest.mark.parametrize("added_ms", [0.5, 2.0, 20.0])
def test_latency_falls_below_its_target_within_the_allowed_time(added_ms):
    """Each percent of pace adds `added_ms` to a latency of 70 ms; the pace changes every 700 ms."""
    pace, changes = FULL_PACE, 0
    while 70 + added_ms * pace > _TARGET_MS:
        pace = next_pace(pace, latency_ms=int(70 + added_ms * pace), target_ms=_TARGET_MS)
        changes += 1
    assert changes * 700 <= 4000
