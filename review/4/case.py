"""QUOTA: a new lease holder starts tasks before it knows all that the organisation runs."""

import asyncio
import os
import sys
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
_PRESS_JOB = "00000000000000b1"
_PAINT_JOB = "00000000000000a1"
_PRESS_POOL = "press"
_PRESS_PREFIX = "/press/"
_PRESS_SERVERS = 30
_LIMIT_CPU = 64_000
_TASK_CPU = 2000
_OVERSHOOT = 0.1
"""The bound `quota_overshoot` of the sites."""
_PAINT_TASKS = 16
_DURATION_MS = 150_000
_TIMEOUT_S = 20.0
_STEADY_S = 2.0
_ROUNDS = 4
"""Number of kills; the case ends with the first that shows the fault."""
_DOWN_S = 1.0
_OBSERVED_S = 5.0


def _put_configuration(rows: MemoryRows) -> None:
    """Write a configuration with a queue for each of two pools, and one organisation."""
    document = orjson.loads(configuration_document(further_queues=("press",), cpu_limit=_LIMIT_CPU))
    document["routes"][1]["service"] = "press"
    document["services"] = [
        {"name": name, "rejects_overload": True, "standby": False} for name in ("paint", "press")
    ]
    put_operator_document(rows, "config", orjson.dumps(document))


def _server(name: str) -> PagingTaskServer:
    return PagingTaskServer(SystemClock(), CAPACITY, duration_ms=_DURATION_MS, name=name)


def _job(tasks: int, **fields: int) -> dict[str, object]:
    step = {"count": tasks, "cpu": _TASK_CPU, "mem_mb": 500, "estimated_ms": _DURATION_MS}
    return {"spec": "draws", "steps": [{**step, **fields}]}


async def _run(record: Record) -> list[str]:
    servers = {"i-00": ("paint", _server("i-00"))}
    for number in range(1, _PRESS_SERVERS + 1):
        servers[f"i-{number:02}"] = ("press", _server(f"i-{number:02}"))
    async with running_fleet(record, _put_configuration, servers, far_pool=_PRESS_POOL) as fleet:
        first_ms = now_ms()
        press_tasks = _PRESS_SERVERS
        await fleet.submit(_PRESS_JOB, _job(press_tasks, anti_affinity=1), _PRESS_PREFIX)
        await wait_until(lambda: len(fleet.runs()) >= press_tasks, _TIMEOUT_S, "first starts")
        await fleet.submit(_PAINT_JOB, _job(_PAINT_TASKS))
        full = _LIMIT_CPU // _TASK_CPU
        await wait_until(lambda: len(fleet.runs()) >= full, _TIMEOUT_S, "starts up to the limit")
        await asyncio.sleep(_STEADY_S)
        for _ in range(_ROUNDS):
            await _kill_and_restart_leader(fleet)
            if _find_overshoots(fleet.runs()):
                break
        record.write_runs(fleet.runs(), first_ms)
        return _find_overshoots(fleet.runs())


async def _kill_and_restart_leader(fleet: Fleet) -> None:
    """Kill the lease holder, start it again, and wait until its successor has taken over."""
    if _HAS_TROUBLE:
        killed = await fleet.kill_leader()
        await asyncio.sleep(_DOWN_S)
        await killed.start()
    await asyncio.sleep(_OBSERVED_S)


def _find_overshoots(runs: list[RunRecord]) -> list[str]:
    """Return the starts that bring the organisation over its limit and the overshoot."""
    allowed = _LIMIT_CPU * (1 + _OVERSHOOT) + _TASK_CPU
    found: list[str] = []
    for run in runs:
        active = [
            other
            for other in runs
            if other.started_ms <= run.started_ms
            and (other.ended_ms is None or other.ended_ms > run.started_ms)
        ]
        used = len(active) * _TASK_CPU
        if used > allowed:
            found.append(f"{run.task} run {run.run} brings {used} mcores, allowed {allowed:.0f}")
    return found


if __name__ == "__main__":
    sys.exit(main(_run, Path(__file__).resolve().parent))
