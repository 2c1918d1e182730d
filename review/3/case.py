"""LOST: a run fails once while the route of its queue is missing from the configuration."""

import asyncio
import os
import sys
from pathlib import Path

import orjson

from fireflydeck.core import SystemClock
from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.platform.standin.documents import configuration_document, put_operator_document
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.standins.run_record import RunRecord
from review.harness import (
    CAPACITY,
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
_MAX_ATTEMPTS = 3
_DURATION_MS = 6000
_TASK_CPU = 2000
_TIMEOUT_S = 20.0
_APPLY_S = 4.0
"""Twice the bound `config_apply_ms` of the sites."""
_OBSERVED_S = 4.0


def _put_configuration(rows: MemoryRows, *, version: int = 3, has_route: bool = True) -> None:
    """Write a configuration with two queues, or without the first of them."""
    document = orjson.loads(configuration_document(version=version, further_queues=("press",)))
    for route in document["routes"]:
        route["max_attempts"] = _MAX_ATTEMPTS
    if not has_route:
        del document["routes"][0]
    put_operator_document(rows, "config", orjson.dumps(document))


async def _run(record: Record) -> list[str]:
    server = PagingTaskServer(SystemClock(), CAPACITY, _DURATION_MS, name="i-1")
    async with running_fleet(record, _put_configuration, {"i-1": ("paint", server)}) as fleet:
        first_ms = now_ms()
        server.end_of_next = RunEnd.FAILED
        step = {"count": 1, "cpu": _TASK_CPU, "mem_mb": 500, "estimated_ms": _DURATION_MS}
        await fleet.submit(_JOB_ID, {"spec": "draws", "steps": [step]})
        await wait_until(lambda: server.records, _TIMEOUT_S, "the first start")
        server.end_of_next = RunEnd.DONE
        if _HAS_TROUBLE:
            _put_configuration(fleet.store.rows, version=4, has_route=False)
            record.write("version 4 lacks the route")
        await wait_until(lambda: _failures(fleet.runs()), _TIMEOUT_S, "the failed run")
        await asyncio.sleep(_OBSERVED_S)
        if _HAS_TROUBLE:
            _put_configuration(fleet.store.rows, version=5)
            record.write("version 5 has the route again")
        await asyncio.sleep(_APPLY_S)
        states = []
        for entry in fleet.entries:
            _, body = await fleet.call(entry, "GET", _JOB_ID)
            states.append(body.get("state"))
        record.write_runs(fleet.runs(), first_ms)
        failures = _failures(fleet.runs())
        if "failed" in states and failures < _MAX_ATTEMPTS:
            return [f"shown as failed after {failures} of {_MAX_ATTEMPTS} failed runs"]
        return []


def _failures(runs: list[RunRecord]) -> int:
    return sum(run.end == RunEnd.FAILED for run in runs)


if __name__ == "__main__":
    sys.exit(main(_run, Path(__file__).resolve().parent))
