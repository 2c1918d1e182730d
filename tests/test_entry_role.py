"""Entry processes with stand-ins of the platform: whole path, kill, planned stop and freeze."""

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
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.testing.job_builders import (
    JOB_ID,
)
from fireflydeck.testing.platform_fleet import running_platform_fleet
from fireflydeck.testing.processes import wait_until

pytestmark = pytest.mark.processes

_CALLER_COUNT = 8
_FROZEN_S = 6.0
"""Longer than the time for which a withdrawn key may still be accepted."""
_JOB = submission_document("text", tasks=3)


def _lease_holder(rows: MemoryRows) -> str:
    row = rows.get(LEASE_ROW)
    return decode_lease(row.value).holder if row else ""


async def _call(method, entry, job_id=JOB_ID, body=None):
    async with httpx.AsyncClient() as client:
        url = f"http://{entry.address}{JOB_PATH_PREFIX}{job_id}"
        return await client.request(method, url, content=body, headers=CALLER_HEADERS, timeout=4)


async def _submit(entry, job_id=JOB_ID):
    async def accepted():
        try:
            answer = await _call("POST", entry, job_id, _JOB)
        except httpx.TransportError:
            return False
        return answer.status_code == 200

    await wait_until(accepted, what="acceptance")


async def _wait_until_completed(entry, job_id=JOB_ID):
    async def completed():
        return (await _call("GET", entry, job_id)).json().get("state") == "completed"

    await wait_until(completed, what="completion", timeout_ms=20_000)


def _started_tasks(fleet):
    return sorted(task for server in fleet.servers.values() for task, _ in server.starts)


def _expected_tasks(*job_ids):
    return sorted(f"{job_id}.0.0.{index}" for job_id in job_ids for index in range(3))


def _run(tmp_path, scenario):
    async def main():
        async with running_platform_fleet(tmp_path) as fleet:
            with anyio.fail_after(50):
                await scenario(fleet)

    anyio.run(main)


def test_job_is_served_from_end_to_end(tmp_path):
    async def scenario(fleet):
        await _submit(fleet.entries[0])
        await _submit(fleet.entries[1])
        await _wait_until_completed(fleet.entries[1])
        assert _started_tasks(fleet) == _expected_tasks(JOB_ID)

    _run(tmp_path, scenario)


def test_killed_holder_is_replaced_and_nothing_runs_twice(tmp_path):
    async def scenario(fleet):
        for server in fleet.servers.values():
            server.duration_ms = 2500
        await _submit(fleet.entries[0])

        async def all_started():
            return len(_started_tasks(fleet)) == 3

        await wait_until(all_started, what="starts")
        name = _lease_holder(fleet.store.rows)
        killed = next(entry for entry in fleet.entries if entry.process.name == name)
        other = next(entry for entry in fleet.entries if entry is not killed)
        killed.process.kill()
        await _wait_until_completed(other)
        assert _started_tasks(fleet) == _expected_tasks(JOB_ID)

    _run(tmp_path, scenario)


def test_stopped_holder_releases_its_lease(tmp_path):
    async def scenario(fleet):
        await _submit(fleet.entries[0])
        await _wait_until_completed(fleet.entries[0])
        name = _lease_holder(fleet.store.rows)
        stopped = next(entry for entry in fleet.entries if entry.process.name == name)
        other = next(entry for entry in fleet.entries if entry is not stopped)
        stopped.process.terminate()

        async def other_holds_lease():
            return _lease_holder(fleet.store.rows) == other.process.name

        await wait_until(other_holds_lease, what="next lease holder")
        second = "00000000000000e5"
        await _submit(other, second)
        await _wait_until_completed(other, second)
        assert _started_tasks(fleet) == _expected_tasks(JOB_ID, second)

    _run(tmp_path, scenario)


def test_planned_stop_interrupts_no_request(tmp_path):
    """Callers keep their connections open and send requests until connections are refused."""

    async def scenario(fleet):
        entry = fleet.entries[0]
        await _submit(entry)
        statuses = []

        async def send_requests():
            async with httpx.AsyncClient(headers=CALLER_HEADERS, timeout=4) as client:
                while True:
                    try:
                        answer = await client.get(
                            f"http://{entry.address}{JOB_PATH_PREFIX}{JOB_ID}"
                        )
                    except httpx.ConnectError:
                        return
                    statuses.append(answer.status_code)
                    await anyio.sleep(0.02)

        async with anyio.create_task_group() as tasks:
            for _ in range(_CALLER_COUNT):
                tasks.start_soon(send_requests)
            await anyio.sleep(0.5)
            entry.process.terminate()
            assert await entry.process.wait_for_exit() == 0
        assert len(statuses) > _CALLER_COUNT
        assert set(statuses) == {200}

    _run(tmp_path, scenario)


def test_withdrawn_key_is_refused_by_a_process_that_was_frozen(tmp_path):
    async def scenario(fleet):
        frozen = fleet.entries[0]
        await _submit(frozen)
        frozen.process.pause()
        put_configuration(fleet.store.rows, version=4, keys=())
        await anyio.sleep(_FROZEN_S)
        frozen.process.resume()
        statuses = []
        for number in range(30):
            answer = await _call("POST", frozen, f"{number + 100:016x}", _JOB)
            statuses.append(answer.status_code)
            await anyio.sleep(0.05)
        assert 200 not in statuses
        assert statuses[-1] == 401
        await _wait_until_refused(fleet.entries[1])
        assert {task.partition(".")[0] for task in _started_tasks(fleet)} <= {JOB_ID}

    _run(tmp_path, scenario)


async def _wait_until_refused(entry):
    async def refused():
        return (await _call("POST", entry, "00000000000000ff", _JOB)).status_code == 401

    await wait_until(refused, what="refusal of the withdrawn key")
