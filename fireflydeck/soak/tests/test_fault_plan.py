"""Fault plans are repeatable, stay within the run and have all kinds, series and overlaps."""

from itertools import pairwise

import pytest

from fireflydeck.soak.fault_plan import FaultKind, plan_faults

_LENGTH_MS = 60_000


@pytest.mark.parametrize("seed", range(5))
def test_plan_is_repeatable_and_ends_with_the_run(seed):
    faults = plan_faults(seed, _LENGTH_MS)
    assert faults == plan_faults(seed, _LENGTH_MS)
    assert faults
    assert all(fault.at_ms >= 0 and fault.end_ms <= _LENGTH_MS for fault in faults)
    assert [fault.at_ms for fault in faults] == sorted(fault.at_ms for fault in faults)


def test_fifty_seeds_cover_every_kind_series_and_overlaps():
    plans = [plan_faults(seed, _LENGTH_MS) for seed in range(50)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    pairs = [pair for plan in plans for pair in pairwise(plan)]
    assert any(first.end_ms > second.at_ms for first, second in pairs)
    assert any(first.kind == second.kind for first, second in pairs)
