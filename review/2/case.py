"""TWICE: more than 500 runs end on one backend server while the lease holder is frozen."""

import asyncio
import os
import sys
from collections import defaultdict
from functools import partial
from pathlib import Path

from fireflydeck.core import SystemClock
from fireflydeck.core.backend_orders import RunEnd, StartOrder, StartOutcome
from fireflydeck.platform.standin.documents import put_configuration
from fireflydeck.standins.run_record import RunRecord
from review.harness import (
    CAPACITY,
    CaseNotRunError,
    Fleet,
    PagingTaskServer,
    Record,
    main,
    now_ms,
    running_fleet,
    wait_until,
)

_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is injected; with TROUBLE=0 the rest happens without it."""
_ROUNDS = 3
"""Number of jobs, one after another; the case ends with the first that shows the fault."""
_TASKS = 640
_TASK_CPU = 50
_TASK_MEMORY_MB = 64
_ESTIMATED_MS = 8000
_FIRST_END_MS = 8000
"""Time from the first start to the first end; all tasks have been started by then."""
_END_SPREAD_MS = 750
"""Time in which the tasks end, one after another."""
_MIN_DURATION_MS = 1000
_FREEZE_LEAD_MS = 20
_FREEZE_MS = 800
_TIMEOUT_S = 30.0
_SETTLE_S = 3.0


class _StaggeredTaskServer(PagingTaskServer):
    """Backend server whose first runs of a job end one after another; repeated ones are short."""

    first_of_job: int = 0

    def start(self, order: StartOrder) -> StartOutcome:
        """Start a run."""
        count = len(self.records) - self.first_of_job
        due_ms = self.first_end_ms() + count * _END_SPREAD_MS // _TASKS
        self.duration_ms = max(_MIN_DURATION_MS, due_ms - now_ms())
        return super().start(order)

    def first_end_ms(self) -> int:
        """Return the time at which the run of the job that started first ends."""
        records = self.records[self.first_of_job :]
        return (records[0].started_ms if records else now_ms()) + _FIRST_END_MS


async def _run(record: Record) -> list[str]:
    server = _StaggeredTaskServer(SystemClock(), CAPACITY, name="i-1")
    servers = {"i-1": ("paint", server)}
    async with running_fleet(record, put_configuration, servers) as fleet:
        first_ms = now_ms()
        repeated: list[str] = []
        for number in range(1, _ROUNDS + 1):
            await _run_job(fleet, server, f"{number:016x}")
            repeated = _find_repeated(fleet.runs())
            if repeated:
                break
        record.write_runs(fleet.runs(), first_ms)
        return repeated


async def _run_job(fleet: Fleet, server: _StaggeredTaskServer, job_id: str) -> None:
    """Run a job whose tasks end while the lease holder is frozen."""
    server.first_of_job = len(server.records)
    step = {
        "count": _TASKS,
        "cpu": _TASK_CPU,
        "mem_mb": _TASK_MEMORY_MB,
        "estimated_ms": _ESTIMATED_MS,
    }
    await fleet.submit(job_id, {"spec": "scans", "steps": [step]})
    started = partial(_has_started, server)
    await wait_until(started, _TIMEOUT_S, "all starts")
    freeze_ms = server.first_end_ms() - _FREEZE_LEAD_MS
    if now_ms() >= freeze_ms:
        raise CaseNotRunError("the starts took too long")
    await wait_until(lambda: now_ms() >= freeze_ms, _TIMEOUT_S, "the first end")
    if _HAS_TROUBLE:
        await fleet.freeze_leader(_FREEZE_MS)
    await wait_until(partial(_is_done, fleet, job_id), _TIMEOUT_S, "all ends")
    await asyncio.sleep(_SETTLE_S)
    await fleet.call(fleet.entries[0], "GET", job_id)


def _has_started(server: _StaggeredTaskServer) -> bool:
    return len(server.records) - server.first_of_job >= _TASKS


def _is_done(fleet: Fleet, job_id: str) -> bool:
    done = {run.task for run in fleet.runs() if run.end == RunEnd.DONE and run.job_id == job_id}
    return len(done) >= _TASKS


def _find_repeated(runs: list[RunRecord]) -> list[str]:
    """Return the starts after a run that ended `done` and whose end was taken note of."""
    by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    return [
        f"{task}: run {other.run} started {other.started_ms - run.ended_ms} ms after run "
        f"{run.run} ended done"
        for task, group in by_task.items()
        for run in group
        for other in group
        if run.end == RunEnd.DONE
        and run.ended_ms is not None
        and run.noted_ms is not None
        and not run.lapsed_before_noted
        and other.started_ms > run.ended_ms
    ]


if __name__ == "__main__":
    sys.exit(main(_run, Path(__file__).resolve().parent))
