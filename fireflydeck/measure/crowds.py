"""Peak memory and descriptors of an entry process under crowds, and CPU time per request."""

import logging
import os
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import fire
import httpx

from fireflydeck.platform.standin.documents import (
    CALLER_HEADERS,
    JOB_PATH_PREFIX,
    put_configuration,
    submission_document,
)
from fireflydeck.testing.client_crowds import (
    CROWDS,
    MAX_BODY_BYTES,
    descriptor_count,
    peak_memory_kb,
    running_crowd,
)
from fireflydeck.testing.platform_fleet import EntryProcess, PlatformFleet, running_platform_fleet
from fireflydeck.testing.processes import wait_until

__all__ = ["main"]

_MACHINE_MEMORY_MB = 200
"""Memory of the smallest machine."""
_HOLD_S = 4.0
_SAMPLE_S = 0.1
_IDLE_S = 3.0
_CALLERS = 4
_PATHS = {"job": f"{JOB_PATH_PREFIX}{7:016x}", "no-route": "/nothing/here"}


def main(
    connections: str = "300,1000,3500",
    crowds: str = ",".join(CROWDS),
    requests: int = 2000,
    paths: str = ",".join(_PATHS),
) -> None:
    """Play each crowd on a new entry process.

    Parameters
    ----------
    connections, crowds, paths
        Sizes, names and targets of the crowds, separated by commas.
    requests
        Number of ordinary requests of each kind; 0 to measure none.
    """
    logging.disable(logging.WARNING)
    if requests:
        anyio.run(_run, _measure_requests, requests)
    print("crowd | path | connections | peak MB | descriptors | job afterwards", flush=True)
    for name in filter(None, _items(crowds)):
        for target in _items(paths):
            for size in _items(connections):
                anyio.run(_run, _play, name, target, int(size))


def _items(value: Any) -> list[str]:
    """Return the items of an option; a list of numbers arrives as a tuple."""
    return [str(item) for item in value] if isinstance(value, tuple) else str(value).split(",")


async def _run(measure: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    def prepare(fleet: PlatformFleet) -> None:
        put_configuration(fleet.store.rows, max_body_bytes=MAX_BODY_BYTES)

    with tempfile.TemporaryDirectory() as directory:
        async with running_platform_fleet(
            Path(directory),
            entries=1,
            prepare=prepare,
            limits={"memory_mb": _MACHINE_MEMORY_MB},
        ) as fleet:
            await measure(fleet.entries[0], *arguments)


async def _play(entry: EntryProcess, name: str, target: str, size: int) -> None:
    pid = entry.process.pid
    descriptors = 0
    async with running_crowd(entry.address, CROWDS[name](_PATHS[target]), size):
        for _ in range(int(_HOLD_S / _SAMPLE_S)):
            if entry.process.returncode is not None:
                break
            descriptors = max(descriptors, descriptor_count(pid))
            await anyio.sleep(_SAMPLE_S)
    peak_mb = peak_memory_kb(pid) / 1024
    served = await _serves_job(entry)
    print(f"{name} | {target} | {size} | {peak_mb:.0f} | {descriptors} | {served}", flush=True)


async def _serves_job(entry: EntryProcess) -> bool:
    url = f"http://{entry.address}{JOB_PATH_PREFIX}{1:016x}"
    async with httpx.AsyncClient(headers=CALLER_HEADERS, timeout=4) as client:

        async def completed() -> bool:
            try:
                await client.post(url, content=submission_document("text", tasks=1))
                return (await client.get(url)).json().get("state") == "completed"
            except httpx.TransportError:
                return False

        try:
            return await wait_until(completed, timeout_ms=30_000)
        except TimeoutError:
            return False


async def _measure_requests(entry: EntryProcess, count: int) -> None:
    """Print the CPU time of ordinary requests, without that of the process's own work."""
    url = f"http://{entry.address}{JOB_PATH_PREFIX}"
    body = submission_document("text", tasks=1)
    requests = {
        "GET of a queue": lambda client, _: client.get(url),
        "POST without a route": lambda client, _: client.post(
            f"http://{entry.address}/none", content=body
        ),
    }
    await anyio.sleep(_IDLE_S)
    start_ms, started_at = _cpu_ms(entry), anyio.current_time()
    await anyio.sleep(_IDLE_S)
    own_work = (_cpu_ms(entry) - start_ms) / (anyio.current_time() - started_at)
    for name, send in requests.items():
        start_ms, started_at = _cpu_ms(entry), anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for _ in range(_CALLERS):
                tasks.start_soon(_send_all, send, count // _CALLERS)
        duration = anyio.current_time() - started_at
        used_ms = _cpu_ms(entry) - start_ms - own_work * duration
        print(f"CPU time of a {name}: {used_ms / count:.3f} ms", flush=True)


async def _send_all(send: Callable[..., Awaitable[Any]], count: int) -> None:
    async with httpx.AsyncClient(headers=CALLER_HEADERS, timeout=10) as client:
        for number in range(count):
            await send(client, number)


def _cpu_ms(entry: EntryProcess) -> float:
    """Return the CPU time that the process has used, in milliseconds."""
    fields = Path(f"/proc/{entry.process.pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    fire.Fire(main)
