"""Forwarding of requests to dispatchers, and of their answers and refusals to callers."""

import anyio
import pytest
from expression import Error, Ok

from fireflydeck.core import (
    Answer,
    Failure,
    Header,
    Ran,
    Reason,
)
from fireflydeck.gateway.problem import STATUS_BY_REASON
from fireflydeck.testing.gateway import (
    authorized_headers,
    run_gateway,
)

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_request_and_answer_are_forwarded(http2):
    async with run_gateway() as bench, bench.client(http2=http2) as client:
        bench.peers.dispatcher.reply = lambda request: Ok(
            Answer(
                request_id=request.request_id,
                status=201,
                headers=(
                    Header("content-type", "image/png"),
                    Header("connection", "x-hop"),
                    Header("x-hop", "1"),
                    Header("content-length", "999"),
                    Header("set-cookie", "a=1"),
                    Header("set-cookie", "b=2"),
                ),
                body=b"\x00\xff" * 100_000,
                vm="vm-1",
            )
        )
        headers = authorized_headers(
            x_urgency="urgent",
            x_deadline_ms="4000",
            x_idempotent="true",
            idempotency_key="k-1",
            x_organisation="other",
            x_own="v",
        )
        path = "/queues/records/scan%2Fa/b?x=1&y=%20"
        response = await client.post(path, headers=headers, content=b"body")
        assert (response.status_code, response.content) == (201, b"\x00\xff" * 100_000)
        assert response.headers["content-length"] == "200000"
        assert response.headers.get_list("set-cookie") == ["a=1", "b=2"]
        assert response.headers["x-vm"] == "vm-1"
        assert "x-hop" not in response.headers
        (request,) = bench.peers.dispatcher.requests
        assert (request.queue, request.organisation, request.urgency) == (
            "records",
            "museum",
            "urgent",
        )
        assert (request.path, request.body) == ("/scan%2Fa/b?x=1&y=%20", b"body")
        assert (request.idempotent, request.idempotency_key) == (True, "k-1")
        assert 3_000 < request.deadline_ms <= 4_000
        names = {header.name for header in request.headers}
        assert "x-own" in names
        assert names.isdisjoint({"authorization", "x-organisation", "host", "x-urgency"})
        assert response.headers["x-request-id"] == request.request_id


@pytest.mark.parametrize("reason", list(Reason))
async def test_every_reason_has_a_status(reason):
    assert 400 <= STATUS_BY_REASON[reason] < 600


async def test_refusal_of_the_dispatcher_is_forwarded():
    async with run_gateway() as bench, bench.client() as client:
        failure = Failure(
            Reason.QUEUE_FULL, step="queue.enter", detail="full", retry_after_ms=2_300
        )
        bench.peers.dispatcher.reply = lambda request: Error(failure)
        refused = await client.get("/queues/visitors/a")
        problem = refused.json()
        assert (refused.status_code, refused.headers["retry-after"]) == (429, "3")
        assert (problem["retry_after_ms"], problem["step"], problem["ran"]) == (
            2_300,
            "queue.enter",
            Ran.NO,
        )


async def test_head_and_empty_answers_have_no_body():
    async with run_gateway() as bench, bench.client() as client:
        bench.peers.dispatcher.reply = lambda request: Ok(
            Answer(
                request_id=request.request_id,
                status=200 if request.method == "HEAD" else 204,
                headers=(Header("content-length", "1234"),),
            )
        )
        head = await client.head("/queues/visitors/a")
        assert (head.status_code, head.headers["content-length"]) == (200, "1234")
        assert (await client.delete("/queues/visitors/a")).status_code == 204


async def test_late_dispatcher_leads_to_a_deadline_failure_with_unknown_outcome():
    async with run_gateway() as bench, bench.client() as client:
        bench.peers.dispatcher.release = anyio.Event()
        refused = await client.get("/queues/visitors/a", headers={"x-deadline-ms": "50"})
        problem = refused.json()
        assert (refused.status_code, problem["reason"], problem["ran"]) == (
            504,
            "deadline",
            "unknown",
        )


async def test_answer_without_a_final_status_is_invalid():
    async with run_gateway() as bench, bench.client() as client:
        bench.peers.dispatcher.reply = lambda request: Ok(
            Answer(request_id=request.request_id, status=101)
        )
        refused = await client.get("/queues/visitors/a")
        assert (refused.status_code, refused.json()["reason"]) == (502, "answer-invalid")
        assert refused.json()["ran"] == "unknown"
