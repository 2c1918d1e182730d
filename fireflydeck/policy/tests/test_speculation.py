"""Choice of the runs that get a copy. Load: 3% of the tasks last up to seven times as long."""

import random

import pytest

from fireflydeck.policy.speculation import (
    CopyRecord,
    DurationSpread,
    SurvivalCurve,
    choose_copies,
    copy_budget,
)
from fireflydeck.testing.speculation import build_curve, build_progress


def test_run_far_beyond_the_spread_gets_a_copy():
    decision = choose_copies([build_progress()])[0]
    assert decision.remaining_ms > decision.copy_ms
    assert decision.copy_ms == pytest.approx(1000, rel=0.05)


@pytest.mark.parametrize("elapsed_ms", [400, 1000, 1250])
def test_run_within_the_spread_gets_none(elapsed_ms):
    assert choose_copies([build_progress(elapsed_ms=elapsed_ms)]) == []


def test_run_that_is_expected_to_end_before_its_copy_gets_none():
    """Durations that vary by half without a long tail: the slow run is nearly through."""
    curve = build_curve(tail=(1.3, 1.35, 1.4, 1.45, 1.5, 1.55, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6))
    assert choose_copies([build_progress(elapsed_ms=1400, curve=curve)]) == []


def test_estimates_off_by_their_usual_factor_cause_no_copy_before_a_spread_is_known():
    unknown = SurvivalCurve.of([])
    assert choose_copies([build_progress(elapsed_ms=2150, curve=unknown)]) == []
    assert choose_copies([build_progress(elapsed_ms=2250, curve=unknown)])


def test_run_that_gains_most_comes_first():
    runs = [build_progress(task=str(ms), expected_ms=ms, elapsed_ms=2 * ms) for ms in (500, 1500)]
    assert [decision.run.task for decision in choose_copies(runs)] == ["1500", "500"]


@pytest.mark.parametrize(("running", "budget"), [(0, 1), (19, 1), (60, 6), (2000, 200)])
def test_budget_is_a_small_part_of_the_running_tasks(running, budget):
    assert copy_budget(running) == budget


def test_run_without_an_expected_duration_gets_none():
    assert choose_copies([build_progress(expected_ms=0)]) == []


def test_running_runs_keep_the_spread_from_looking_short():
    """Guards against counting only ended runs: early in a burst, these are the short ones."""
    source = random.Random(7)
    durations = [source.uniform(0.5, 2.0) for _ in range(2000)]
    reached = [source.uniform(0.0, 2.0) for _ in durations]
    pairs = list(zip(durations, reached, strict=True))
    ended = [duration for duration, now in pairs if duration <= now]
    running = [now for duration, now in pairs if duration > now]
    assert SurvivalCurve.of(ended).quantile(0.5) < 1.1
    assert SurvivalCurve.of(ended, running).quantile(0.5) == pytest.approx(1.25, abs=0.06)
    assert SurvivalCurve.of(ended, running).quantile(0.9) == pytest.approx(1.85, abs=0.06)


def test_mean_remaining_time_is_that_of_the_longer_runs():
    curve = SurvivalCurve.of([1.0, 2.0, 3.0, 4.0])
    assert curve.remaining(0.5) == pytest.approx(2.0)
    assert curve.remaining(1.0) == pytest.approx(2.0)
    assert curve.remaining(2.5) is None


def test_slow_runs_that_were_stopped_do_not_hide_the_tail():
    """Guards against copies that stop all slow runs and so make slow runs look nearly through."""
    body = [0.9 + 0.002 * number for number in range(100)]
    stopped = [1.6, 1.8, 2.4, 2.4, 2.6, 2.8]
    curve = SurvivalCurve.of([*body, 1.6, 2.0, 2.5], stopped)
    assert 1.5 < curve.remaining(1.3) < 2.0


def test_only_the_latest_durations_count():
    spread = DurationSpread()
    spread.ended.extend([9.0] * 100)
    spread.ended.extend([1.0] * 600)
    assert spread.curve().quantile(0.99) == 1.0


@pytest.mark.parametrize(
    ("won", "lost", "expected"), [(0, 9, True), (0, 10, False), (1, 9, False), (2, 8, True)]
)
def test_copies_end_for_a_queue_where_they_do_not_win(won, lost, expected):
    """Load: the slow tasks have more work, so that their copies only use capacity."""
    assert CopyRecord(won, lost).is_promising is expected
