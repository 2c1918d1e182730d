"""Requests through separate processes, from caller to backend server and back."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until

pytestmark = pytest.mark.processes


def test_request_with_key_is_answered(run_with_fleet):
    async def scenario(fleet):
        key = await fleet.grant_key("museum")
        for vm in fleet.entry_vms:
            answer = await fleet.call("/queues/records/echo", key=key, vm=vm, content=b"hello")
            assert (answer.status_code, answer.content) == (200, b"echo:hello")
        refused = await fleet.call("/queues/records/echo", content=b"hello")
        assert (refused.status_code, refused.json()["ran"]) == (401, "no")
        public = await fleet.call("/queues/public/echo", content=b"hello")
        assert public.status_code == 200
        starts = [e for e in await fleet.backend_log() if e["event"] == "start"]
        assert len(starts) == 3

    run_with_fleet(scenario)


def test_stop_is_graceful(run_with_fleet):
    """All processes of a fleet that has answered a request exit with 0."""

    async def scenario(fleet):
        assert (await fleet.call("/queues/public/echo")).status_code == 200
        assert await fleet.stop()

    run_with_fleet(scenario)


def test_keyed_request_runs_once_and_long_work_finishes(run_with_fleet):
    """One idempotency key at two entry VMs concurrently; a job's result read at the other VM."""

    async def scenario(fleet):
        key = await fleet.grant_key("museum")
        headers = {"idempotency_key": "order-1", "x_run_ms": "50"}
        answers = []

        async def send_order(vm):
            answers.append(await fleet.call("/queues/records/x", key=key, vm=vm, **headers))

        async with anyio.create_task_group() as tasks:
            for vm in fleet.entry_vms * 3:
                tasks.start_soon(send_order, vm)
        assert 200 in {answer.status_code for answer in answers}
        assert {answer.status_code for answer in answers} <= {200, 409}
        assert len([e for e in await fleet.backend_log() if e["event"] == "start"]) == 1

        accepted = await fleet.call("/jobs/records", key=key, content=b'{"run_ms": 500}')
        assert accepted.status_code == 202

        async def result():
            path = f"{accepted.json()['location']}/result"
            answer = await fleet.call(path, key=key, vm=fleet.entry_vms[1], method="GET")
            return answer if answer.status_code == 200 else None

        assert (await wait_until(result, what="result of the job")).status_code == 200

    run_with_fleet(scenario)
