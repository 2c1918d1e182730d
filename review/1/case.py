"""TWICE: a queue has changed its service, and the lease holder is killed."""

import asyncio
import os
import sys
from functools import partial
from pathlib import Path

import orjson

from fireflydeck.core import SystemClock
from fireflydeck.platform.standin.documents import configuration_document, put_operator_document
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.standins.run_record import RunRecord
from review.harness import (
    CAPACITY,
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
_JOB_ID = "00000000000000a1"
_OLD_POOL = "paint"
_NEW_POOL = "press"
_OLD_SERVERS = 30
_NEW_SERVERS = 6
_TASK_CPU = 17_000
"""More than half of a backend server, so that each runs one task."""
_DURATION_MS = 150_000
_TIMEOUT_S = 20.0
_APPLY_S = 4.0
"""Twice the bound `config_apply_ms` of the sites."""
_ROUNDS = 4
"""Number of kills; the case ends with the first that shows the fault."""
_DOWN_S = 1.0
_OBSERVED_S = 5.0


def _put_configuration(rows: MemoryRows, *, version: int, pool: str) -> None:
    """Write a configuration that sends the queue to a pool."""
    document = orjson.loads(configuration_document(version=version, cpu_limit=0))
    document["routes"][0]["service"] = pool
    document["services"] = [
        {"name": name, "rejects_overload": True, "standby": False}
        for name in (_OLD_POOL, _NEW_POOL)
    ]
    put_operator_document(rows, "config", orjson.dumps(document))


def _servers() -> dict[str, tuple[str, PagingTaskServer]]:
    pools = [_NEW_POOL] * _NEW_SERVERS + [_OLD_POOL] * _OLD_SERVERS
    names = [f"i-{number:02}" for number in range(len(pools))]
    return {
        name: (pool, PagingTaskServer(SystemClock(), CAPACITY, _DURATION_MS, name=name))
        for name, pool in zip(names, pools, strict=True)
    }


async def _run(record: Record) -> list[str]:
    configure = partial(_put_configuration, version=3, pool=_OLD_POOL)
    async with running_fleet(record, configure, _servers(), far_pool=_OLD_POOL) as fleet:
        first_ms = now_ms()
        step = {
            "count": _OLD_SERVERS,
            "cpu": _TASK_CPU,
            "mem_mb": 500,
            "estimated_ms": _DURATION_MS,
        }
        await fleet.submit(_JOB_ID, {"spec": "draws", "steps": [step]})
        await wait_until(lambda: len(fleet.runs()) >= _OLD_SERVERS, _TIMEOUT_S, "all starts")
        _put_configuration(fleet.store.rows, version=4, pool=_NEW_POOL)
        record.write(f"version 4 sends the queue to {_NEW_POOL}")
        await asyncio.sleep(_APPLY_S)
        for _ in range(_ROUNDS):
            await _kill_and_restart_leader(fleet)
            if _find_repeated(fleet.runs()):
                break
        record.write_runs(fleet.runs(), first_ms)
        return _find_repeated(fleet.runs())


async def _kill_and_restart_leader(fleet: Fleet) -> None:
    """Kill the lease holder, start it again, and wait until its successor has taken over."""
    if _HAS_TROUBLE:
        killed = await fleet.kill_leader()
        await asyncio.sleep(_DOWN_S)
        await killed.start()
    await asyncio.sleep(_OBSERVED_S)


def _find_repeated(runs: list[RunRecord]) -> list[str]:
    """Return the starts of tasks of which another run is still active."""
    return [
        f"{run.task}: run {run.run} started on {run.server} while run {other.run} is active "
        f"on {other.server}"
        for run in runs
        for other in runs
        if other is not run
        and other.task == run.task
        and other.started_ms <= run.started_ms
        and (other.ended_ms is None or other.ended_ms > run.started_ms)
    ]


if __name__ == "__main__":
    sys.exit(main(_run, Path(__file__).resolve().parent))
