"""Refusals for overload as callers and operators see them.

Load: an organisation sends far more than its share to a pool that is full already.
"""

import json

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.entry.tests.interface_client import running_interface
from fireflydeck.kernel import Event
from fireflydeck.platform.standin.documents import submission_document
from fireflydeck.testing.job_builders import JOB_ID
from fireflydeck.workload import job_key
from fireflydeck.workload.records import REFUSALS_TABLE, refusal_key

pytestmark = pytest.mark.anyio

_BODY = submission_document("text", tasks=1)
_PATH = f"/swatch/{JOB_ID}"
_WAIT_MS = 60_000


async def _overload(client, accepted=0.0):
    """Publish that the organisation of the key is beyond its share in its pool."""
    configuration = client.operators.configuration
    organisation = configuration.organisation_of_key("key-1").name
    pool = configuration.queues[0].pool
    published = {pool: PoolOverload(_WAIT_MS, {organisation: accepted})}
    client.lease.set_overload_source(lambda: published)
    with anyio.fail_after(5):
        while client.lease.overload_of(pool) is None:
            await anyio.sleep(0.01)


async def test_caller_learns_why_and_when_to_return():
    async with running_interface() as client:
        await _overload(client)
        status, body, headers = await client.call("POST", _PATH, _BODY)
        assert status == 429
        assert 5 <= int(headers["Retry-After"]) <= 10
        document = json.loads(body)
        assert document["error"] == "queue-full"
        assert f"start in {_WAIT_MS} ms" in document["detail"]
        assert client.store.rows.get(job_key(JOB_ID)) is None
        assert client.store.rows.get(refusal_key(JOB_ID)) is not None
        fields = next(fields for event, fields in client.log.events if event == Event.JOB_REFUSED)
        assert (fields["job"], fields["wait_ms"], fields["accepted"]) == (JOB_ID, _WAIT_MS, 0.0)
        assert fields["retry_after_s"] == int(headers["Retry-After"])
        assert client.metrics.value("jobs_rejected_total", reason="queue-full") == 1
        assert (await client.call("GET", _PATH))[0] == 410


async def test_caller_that_returns_once_there_is_room_is_accepted():
    async with running_interface() as client:
        await _overload(client)
        assert (await client.call("POST", _PATH, _BODY))[0] == 429
        assert (await client.call("POST", _PATH, _BODY))[0] == 429
        await _overload(client, accepted=1.0)
        with anyio.fail_after(5):
            while (await client.call("POST", _PATH, _BODY))[0] == 429:
                await anyio.sleep(0.05)
        assert (await client.call("GET", _PATH))[:2] == (200, b'{"state":"queued"}')
        await _overload(client)
        assert (await client.call("POST", _PATH, _BODY))[0] == 200


async def test_outdated_overload_refuses_nothing():
    async with running_interface() as client:
        await _overload(client)
        client.clock.ahead_ms = 2500
        assert (await client.call("POST", _PATH, _BODY))[0] == 200


async def test_refusal_whose_write_gets_no_answer_is_unknown():
    async with running_interface() as client:
        await _overload(client)
        client.store.unanswered_tables = {REFUSALS_TABLE}
        status, _, headers = await client.call("POST", _PATH, _BODY)
        assert (status, "Retry-After" in headers) == (504, False)


async def test_refusal_by_another_process_is_relayed():
    """Guard against a process cut off from the store that turns a true refusal into a 504."""
    async with running_interface() as client:
        client.store.outage = Ran.UNKNOWN
        await client.wait_for_outage()
        client.forwarder.answer = CallerAnswer(429, b'{"error":"queue-full"}', 4)
        status, _, headers = await client.call("POST", _PATH, _BODY)
        assert (status, headers["Retry-After"]) == (429, "4")


async def test_refusal_that_another_process_told_late_is_unknown():
    """Guard against a 429 that the caller gets after a repeated request replaced the refusal."""
    async with running_interface() as client:
        client.store.outage = Ran.UNKNOWN
        await client.wait_for_outage()
        forward = client.forwarder.forward

        async def slow_forward(request, *, timeout_ms):
            client.clock.ahead_ms += 301
            return await forward(request, timeout_ms=timeout_ms)

        client.forwarder.forward = slow_forward
        client.forwarder.answer = CallerAnswer(429, b'{"error":"queue-full"}', 4)
        assert (await client.call("POST", _PATH, _BODY))[0] == 504
