"""Crowds of clients that exceed the limits, against real entry processes with lowered limits.

Load: bodies held open, chunked and oversized bodies, heads of many fields, pipelined requests whose
responses are not read, and slow clients, on each listener and path. A process must stay alive
within a bound on memory and descriptors, and serve an ordinary job afterwards.
"""

import anyio
import httpx
import pytest

from fireflydeck.ownership import LEASE_ROW, decode_lease
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
from fireflydeck.testing.job_builders import JOB_ID
from fireflydeck.testing.platform_fleet import running_platform_fleet
from fireflydeck.testing.processes import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

_CONNECTIONS = 300
_CROWD_S = 3.0
_LIMITS = {"memory_mb": 64, "client_connections": 100}
_MAX_GROWTH_KB = 24 * 1024
"""Bound on the growth of a process's peak memory."""
_MAX_DESCRIPTORS = 180
_JOB_PATH = f"{JOB_PATH_PREFIX}{'0' * 15}7"
_PATHS = {
    "job": _JOB_PATH,
    "no-route": "/nothing/here",
    "readiness": "/-/readiness",
    "metrics": "/metrics",
    "peers": "/forward",
}


def _address(entry, target):
    addresses = {
        "readiness": entry.readiness_address,
        "metrics": entry.process.admin,
        "peers": entry.peer_address,
    }
    return addresses.get(target, entry.address)


async def _call(entry, method, job_id, body=None):
    async with httpx.AsyncClient() as client:
        url = f"http://{entry.address}{JOB_PATH_PREFIX}{job_id}"
        return await client.request(method, url, content=body, headers=CALLER_HEADERS, timeout=4)


async def _run_job(entry, job_id=JOB_ID):
    async def accepted():
        try:
            body = submission_document("text", tasks=1)
            return (await _call(entry, "POST", job_id, body)).status_code == 200
        except httpx.TransportError:
            return False

    async def completed():
        try:
            return (await _call(entry, "GET", job_id)).json().get("state") == "completed"
        except httpx.TransportError:
            return False

    await wait_until(accepted, what="acceptance", timeout_ms=30_000)
    await wait_until(completed, what="completion", timeout_ms=30_000)


class _Bounds:
    """Bounds on one process during a crowd."""

    def __init__(self, entry):
        self._entry = entry
        self._start_kb = peak_memory_kb(entry.process.pid)
        self._descriptors = 0

    async def watch(self, duration_s):
        with anyio.move_on_after(duration_s):
            while True:
                count = descriptor_count(self._entry.process.pid)
                self._descriptors = max(self._descriptors, count)
                await anyio.sleep(0.1)

    def check(self):
        assert self._entry.process.returncode is None
        growth_kb = peak_memory_kb(self._entry.process.pid) - self._start_kb
        figures = f"{growth_kb} kB, {self._descriptors} descriptors"
        assert growth_kb < _MAX_GROWTH_KB, figures
        assert self._descriptors < _MAX_DESCRIPTORS, figures


def _run(tmp_path, scenario, entries=1):
    def prepare(fleet):
        put_configuration(fleet.store.rows, max_body_bytes=MAX_BODY_BYTES)

    async def main():
        fleet_options = {"entries": entries, "prepare": prepare, "limits": _LIMITS}
        async with running_platform_fleet(tmp_path, **fleet_options) as fleet:
            with anyio.fail_after(100):
                await scenario(fleet)

    anyio.run(main)


@pytest.mark.parametrize("target", _PATHS)
@pytest.mark.parametrize("name", CROWDS)
def test_process_survives_a_crowd(tmp_path, name, target):
    """Guard against memory and descriptors that grow with the number of clients."""

    async def scenario(fleet):
        entry = fleet.entries[0]
        bounds = _Bounds(entry)
        crowd = CROWDS[name](_PATHS[target])
        async with running_crowd(_address(entry, target), crowd, _CONNECTIONS):
            await bounds.watch(_CROWD_S)
        await _run_job(entry)
        bounds.check()

    _run(tmp_path, scenario)


@pytest.mark.parametrize("name", ["held-body", "pipelined"])
def test_holder_is_replaced_during_a_crowd_at_all_processes(tmp_path, name):
    """Guard against a take-over that fails because each process serves a crowd."""

    async def scenario(fleet):
        bounds = [_Bounds(entry) for entry in fleet.entries]
        crowd = CROWDS[name](_JOB_PATH)
        first, second = fleet.entries
        async with (
            running_crowd(first.address, crowd, _CONNECTIONS),
            running_crowd(second.address, crowd, _CONNECTIONS),
            anyio.create_task_group() as tasks,
        ):
            for bound in bounds:
                tasks.start_soon(bound.watch, _CROWD_S)
        row = fleet.store.rows.get(LEASE_ROW)
        holder = decode_lease(row.value).holder
        killed = next(entry for entry in fleet.entries if entry.process.name == holder)
        for bound in bounds:
            bound.check()
        async with (
            running_crowd(first.address, crowd, _CONNECTIONS),
            running_crowd(second.address, crowd, _CONNECTIONS),
        ):
            killed.process.kill()
            await anyio.sleep(_CROWD_S)
        other = next(entry for entry in fleet.entries if entry is not killed)
        await _run_job(other)
        bounds[fleet.entries.index(other)].check()

    _run(tmp_path, scenario, entries=2)


def test_readiness_answers_during_crowds_on_two_listeners(tmp_path):
    """Guard against a load balancer that takes the VM out because of a crowd."""

    async def scenario(fleet):
        entry = fleet.entries[0]
        async with (
            running_crowd(entry.address, CROWDS["held-body"](_JOB_PATH), _CONNECTIONS),
            running_crowd(entry.readiness_address, CROWDS["slow-head"]("/"), _CONNECTIONS),
        ):
            await anyio.sleep(_CROWD_S / 2)
            await wait_until(entry.is_ready, what="readiness")

    _run(tmp_path, scenario)


@pytest.mark.parametrize("name", ["held-body", "pipelined"])
def test_planned_stop_ends_during_a_crowd(tmp_path, name):
    """Guard against a stop that waits for clients which never finish."""

    async def scenario(fleet):
        entry = fleet.entries[0]
        async with running_crowd(entry.address, CROWDS[name](_JOB_PATH), _CONNECTIONS):
            await anyio.sleep(_CROWD_S / 2)
            entry.process.terminate()
            assert await entry.process.wait_for_exit() == 0

    _run(tmp_path, scenario)
