"""Progress of periodic maintenance by pool."""

from fireflydeck.core import Pool
from fireflydeck.policy.maintenance import MaintenanceLimits
from fireflydeck.policy.maintenance_progress import PoolProgress, maintenance_progress
from fireflydeck.testing import build_configuration, build_vm

LIMITS = MaintenanceLimits(interval_ms=1_000, duration_ms=600)
NOW = 10_000


def progress_of(*entities, seen=None):
    configuration = build_configuration(*entities)
    return maintenance_progress(configuration, LIMITS, NOW, seen or {}, {"vm-2"})


def test_maintenance_progress_counts_by_pool():
    vms = [build_vm(f"vm-{n}", maintained_ms=NOW - 2_000 + n) for n in (1, 2)]
    rest = build_vm("vm-3", maintained_ms=NOW - 100)
    expected = PoolProgress(
        pool="records", vms=3, due=2, in_maintenance=1, expected_end_ms=NOW + 1_200
    )
    empty = PoolProgress(pool="a", vms=0, due=0, in_maintenance=0, expected_end_ms=NOW)
    assert progress_of(*vms, rest, Pool(name="a")) == (empty, expected)


def test_maintenance_progress_of_a_new_fleet_ends_with_the_interval():
    (progress,) = progress_of()
    assert (progress.due, progress.expected_end_ms) == (0, NOW + LIMITS.interval_ms)
    (progress,) = progress_of(seen={"vm-1": NOW})
    assert NOW < progress.expected_end_ms <= NOW + LIMITS.interval_ms
