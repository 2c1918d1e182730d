"""Latency that gateway and dispatcher add to direct calls to a backend server."""

import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import httpx
from attrs import frozen

from fireflydeck.measure.report import Report
from fireflydeck.testing.fleet import Fleet, running_fleet
from fireflydeck.testing.sheets import build_sheet

__all__ = ["measure_latency"]

_CONNECTIONS = (1, 16, 64)
_REQUESTS_PER_CONNECTION = 60
_WARM_UP_REQUESTS = 5
_MS_PER_S = 1000


@frozen(kw_only=True)
class _Timing:
    p50_ms: float
    p99_ms: float
    requests_per_s: float


async def _run_load(connections: int, send: Callable[[], Awaitable[httpx.Response]]) -> _Timing:
    times: list[float] = []

    async def worker() -> None:
        for number in range(_REQUESTS_PER_CONNECTION + _WARM_UP_REQUESTS):
            started = time.monotonic()
            answer = await send()
            answer.raise_for_status()
            if number >= _WARM_UP_REQUESTS:
                times.append((time.monotonic() - started) * _MS_PER_S)

    started = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(worker)
    elapsed = time.monotonic() - started
    total = connections * (_REQUESTS_PER_CONNECTION + _WARM_UP_REQUESTS)
    times.sort()
    return _Timing(
        p50_ms=statistics.median(times),
        p99_ms=times[int(len(times) * 0.99)],
        requests_per_s=total / elapsed,
    )


async def _measure(fleet: Fleet, report: Report) -> None:
    url = f"http://{fleet.address_of('records-1')}/direct"
    headers = {"x-request-id": "m", "x-run-ms": "0", "x-lease-ms": "10000", "x-organisation": ""}
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    async with httpx.AsyncClient(limits=limits, timeout=60) as client:

        async def direct() -> httpx.Response:
            return await client.post(url, content=b"x", headers=headers)

        async def through_gateway() -> httpx.Response:
            target = f"http://{fleet.entry_vms[0].callers_address}/queues/public/x"
            return await client.post(target, content=b"x", headers={"x-run-ms": "0"})

        for connections in _CONNECTIONS:
            for way, send in (("direct", direct), ("gateway and dispatcher", through_gateway)):
                timing = await _run_load(connections, send)
                report.add(
                    connections=connections,
                    way=way,
                    p50_ms=round(timing.p50_ms, 2),
                    p99_ms=round(timing.p99_ms, 2),
                    requests_per_s=round(timing.requests_per_s),
                )


async def measure_latency(report: Report) -> None:
    """Measure direct calls and calls through the gateway in one run, with one entry VM."""
    sheet = build_sheet(vms_per_pool=16, slots=64)
    with tempfile.TemporaryDirectory(prefix="fireflydeck-measure-") as directory:
        async with running_fleet(Path(directory), sheet, entry_vms=1) as fleet:
            await _measure(fleet, report)
