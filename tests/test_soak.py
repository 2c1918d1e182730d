"""Seeded runs of the fault soak: plans that failed in the past, and one that did not."""

import anyio
import pytest

from fireflydeck.soak.run import run_soak

pytestmark = pytest.mark.processes

_PLANS = {
    (7, 12_000): "",
    (1, 6_000): "clients of the platform were not closed at a graceful stop",
    (23, 8_000): "a store answer without rows was taken for an empty table, so jobs were unknown",
    (32, 30_000): "the soak stopped a process that was still starting",
    (15, 20_000): "a job that ended during a round of the row shortener aborted the round",
    (141, 20_000): "a start in transit was executed by the next incarnation of its server",
    (201, 8_000): "ends of a server's next incarnation were acknowledged by the previous one's"
    " numbers",
    (221, 14_000): "connections of the stand-in outlived the incarnation of its server",
    (142, 24_000): "SIGHUP terminated a process that was still starting",
    (36, 14_000): "the soak changed the servers' clocks after leases had been granted by them;"
    " later, by chance, a library logged an error at a stop that was not a structured line",
    (524, 10_000): "a submission was announced after the peer link had stopped",
    (2002, 30_000): "an entry process answered by an older configuration than one it had relayed",
    (2003, 30_000): "the same, twice within 0.2 s",
    (2006, 30_000): "the same",
}
"""Cause of the past failure by seed and run length in milliseconds; empty without a failure."""
_SPECULATIVE_PLANS = {2006: 14_000, 23: 14_000}
"""Lengths by seed of runs in which tasks may have copies and the lease changes its holder."""
_MAX_PARALLEL_RUNS = 2
"""More runs would keep the stand-ins, which all share this process, from answering in time."""


def test_promises_are_kept(tmp_path):
    _check_plans(tmp_path, list(_PLANS))


def test_promises_are_kept_with_speculative_copies(tmp_path):
    """Guards against a third run of a task, and a copy that starts after the recorded end."""
    _check_plans(tmp_path, list(_SPECULATIVE_PLANS.items()), is_speculative=True)


def _check_plans(tmp_path, plans, *, is_speculative=False):
    reports = []
    limiter = anyio.CapacityLimiter(_MAX_PARALLEL_RUNS)

    async def run(seed, length_ms):
        directory = tmp_path / str(seed)
        directory.mkdir()
        async with limiter:
            report = await run_soak(seed, length_ms, directory, is_speculative=is_speculative)
            reports.append(report)

    async def main():
        async with anyio.create_task_group() as tasks:
            for seed, length_ms in plans:
                tasks.start_soon(run, seed, length_ms)

    anyio.run(main)
    assert [report.seed for report in reports if report.accepted == 0] == []
    for report in reports:
        for violation in report.violations:
            print(f"seed {report.seed}: {violation.promise}: {violation.detail}")
    assert [str(report) for report in reports if report.violations] == []
