"""Acks: after a job of many tasks, no end of any run is taken note of any more."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

from aiohttp import web

from fireflydeck.core import SystemClock
from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.platform.standin import StoreApp
from fireflydeck.platform.standin.documents import put_configuration
from review.harness import (
    CAPACITY,
    Fleet,
    PagingTaskServer,
    Record,
    main,
    now_ms,
    running_fleet,
)

_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is injected; with TROUBLE=0 the rest happens without it."""
_LARGE_JOB = "00000000000000a1"
_LARGE_JOB_TASKS = 9000
_SMALL_JOB_TASKS = 900
_TASK_CPU = 50
_TASK_MEMORY_MB = 64
_DURATION_MS = 300
_SERVERS = 8
_MAX_PER_SERVER = 40
"""The field `anti_affinity` of the large job, which spreads its tasks."""
_MAX_ROW_BYTES = 65_536
"""The field `max_row_bytes` of the sample settings."""
_LATE_JOBS = 5
_LATE_JOB_TASKS = 4
_LARGE_JOB_S = 60.0
_MIN_REFUSED = 100
_POLL_S = 0.5
_ACK_TIMEOUT_MS = 4000
"""The bound `ack_timeout_ms` of the sites."""
_SHARE_OF_ENDS = 5
"""More than one in five is over the fifth that the rule allows."""
_OBSERVED_S = 16.0


class _BoundedStoreApp(StoreApp):
    """Store that refuses a transaction with a value that is too long, and does nothing."""

    refused = 0

    def _commit(self, body: dict[str, Any]) -> web.Response:
        base64_bytes = _MAX_ROW_BYTES * 4 // 3 + 4
        if any(len(item["value"]) > base64_bytes for item in body["upserts"]):
            self.refused += 1
            return web.Response(status=400)
        return super()._commit(body)


def _job(tasks: int) -> dict[str, object]:
    step = {
        "count": tasks,
        "cpu": _TASK_CPU,
        "mem_mb": _TASK_MEMORY_MB,
        "estimated_ms": _DURATION_MS,
        "anti_affinity": _MAX_PER_SERVER,
    }
    return {"spec": "scans", "steps": [step]}


async def _run(record: Record) -> list[str]:
    servers = {
        name: ("paint", PagingTaskServer(SystemClock(), CAPACITY, _DURATION_MS, name=name))
        for name in (f"i-{number}" for number in range(1, _SERVERS + 1))
    }
    store = _BoundedStoreApp()
    async with running_fleet(record, put_configuration, servers, store=store) as fleet:
        first_ms = now_ms()
        tasks = _LARGE_JOB_TASKS if _HAS_TROUBLE else _SMALL_JOB_TASKS
        await fleet.submit(_LARGE_JOB, _job(tasks))
        await _wait_for_tasks(fleet, store, tasks)
        record.write(f"{len(fleet.runs())} runs, {store.refused} refused transactions")
        late_jobs = [f"{number:016x}" for number in range(1, _LATE_JOBS + 1)]
        for job_id in late_jobs:
            await fleet.submit(job_id, _job(_LATE_JOB_TASKS))
        await asyncio.sleep(_OBSERVED_S)
        for job_id in (_LARGE_JOB, *late_jobs):
            await fleet.call(fleet.entries[0], "GET", job_id)
        record.write(f"{len(fleet.runs())} runs, {store.refused} refused transactions")
        late = [run for run in fleet.runs() if run.job_id in late_jobs]
        record.write_runs(late, first_ms)
        return _find_unnoted(fleet)


async def _wait_for_tasks(fleet: Fleet, store: _BoundedStoreApp, tasks: int) -> None:
    """Wait until all tasks of the large job have ended, or the store refuses transactions."""
    deadline_ms = now_ms() + _LARGE_JOB_S * 1000
    while now_ms() < deadline_ms:
        done = {run.task for run in fleet.runs() if run.end == RunEnd.DONE}
        if len(done) >= tasks or store.refused >= _MIN_REFUSED:
            return
        await asyncio.sleep(_POLL_S)


def _find_unnoted(fleet: Fleet) -> list[str]:
    """Return the listed ends that were not taken note of in time, if over a fifth of all are."""
    latest_ms = now_ms() - _ACK_TIMEOUT_MS
    listed = 0
    unnoted: list[str] = []
    for server in fleet.servers.values():
        for run in server.records:
            listed_ms = server.listed_ms.get((run.task, run.run), latest_ms + 1)
            if listed_ms > latest_ms:
                continue
            listed += 1
            if run.noted_ms is None or run.noted_ms - listed_ms > _ACK_TIMEOUT_MS:
                unnoted.append(f"{run.task} run {run.run}")
    fleet.record.write(f"{len(unnoted)} of {listed} listed ends were not taken note of in time")
    if len(unnoted) * _SHARE_OF_ENDS <= listed:
        return []
    return [f"{len(unnoted)} of {listed} listed ends were not taken note of: {unnoted[0]} first"]


if __name__ == "__main__":
    sys.exit(main(_run, Path(__file__).resolve().parent))
