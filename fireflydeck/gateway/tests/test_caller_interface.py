"""Contract of the HTTP interface for callers, over a real server: keys, queues, admission."""

import anyio
import pytest
from expression import Ok

from fireflydeck.core import (
    ConfigurationChange,
    EntityKey,
    Member,
    Organisation,
    Reason,
)
from fireflydeck.gateway import hash_key
from fireflydeck.testing.gateway import (
    KEY,
    MAX_BODY_BYTES,
    authorized_headers,
    build_gateway_configuration,
    chunks,
    run_gateway,
)

pytestmark = pytest.mark.anyio


REFUSALS = {
    "no key": ("POST", "/queues/records/a", {}, b"", 401, "no-key"),
    "wrong key": (
        "POST",
        "/queues/records/a",
        {"authorization": "Bearer x"},
        b"",
        401,
        "wrong-key",
    ),
    "wrong key on an open queue": (
        "POST",
        "/queues/visitors/a",
        {"authorization": "Bearer x"},
        b"",
        401,
        "wrong-key",
    ),
    "other scheme": (
        "POST",
        "/queues/records/a",
        {"authorization": f"Basic {KEY}"},
        b"",
        401,
        "wrong-key",
    ),
    "empty key": ("POST", "/queues/records/a", {"authorization": "Bearer"}, b"", 401, "wrong-key"),
    "unknown queue": ("POST", "/queues/nowhere/a", authorized_headers(), b"", 404, "unknown-queue"),
    "no queue": ("GET", "/queues/", authorized_headers(), b"", 404, "unknown-queue"),
    "unknown path": ("GET", "/elsewhere", authorized_headers(), b"", 404, "unknown-queue"),
    "method": ("BREW", "/queues/records/a", authorized_headers(), b"", 400, "bad-request"),
    "urgency": (
        "POST",
        "/queues/records/a",
        authorized_headers(x_urgency="soon"),
        b"",
        400,
        "bad-request",
    ),
    "deadline zero": (
        "POST",
        "/queues/records/a",
        authorized_headers(x_deadline_ms="0"),
        b"",
        400,
        "bad-request",
    ),
    "deadline text": (
        "POST",
        "/queues/records/a",
        authorized_headers(x_deadline_ms="1s"),
        b"",
        400,
        "bad-request",
    ),
    "deadline too long": (
        "POST",
        "/queues/records/a",
        authorized_headers(x_deadline_ms="3600001"),
        b"",
        400,
        "bad-request",
    ),
    "idempotent": (
        "POST",
        "/queues/records/a",
        authorized_headers(x_idempotent="maybe"),
        b"",
        400,
        "bad-request",
    ),
    "idempotency key": (
        "POST",
        "/queues/records/a",
        authorized_headers(idempotency_key="k" * 256),
        b"",
        400,
        "bad-request",
    ),
    "two keys": (
        "POST",
        "/queues/records/a",
        [("authorization", f"Bearer {KEY}"), ("authorization", "Bearer x")],
        b"",
        400,
        "bad-request",
    ),
    "body too large": (
        "POST",
        "/queues/records/a",
        authorized_headers(),
        bytes(MAX_BODY_BYTES + 1),
        413,
        "body-too-large",
    ),
}


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_refusals(http2):
    async with run_gateway(max_body_bytes=MAX_BODY_BYTES) as bench:
        async with bench.client(http2=http2) as client:
            for name, (method, path, headers, body, status, reason) in REFUSALS.items():
                response = await client.request(method, path, headers=headers, content=body)
                assert (name, response.status_code) == (name, status)
                problem = response.json()
                assert (name, problem["reason"], problem["ran"]) == (name, reason, "no")
                assert problem["request_id"] == response.headers["x-request-id"]
                assert response.headers["content-type"] == "application/problem+json"
                assert KEY not in response.text
        assert bench.peers.dispatcher.requests == []
        assert bench.gateway.state()["held_bytes"] == 0


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_size_of_a_body_without_content_length_is_limited(http2):
    async with (
        run_gateway(max_body_bytes=MAX_BODY_BYTES) as bench,
        bench.client(http2=http2) as client,
    ):
        accepted = await client.post(
            "/queues/records/a", headers=authorized_headers(), content=chunks(100, 10)
        )
        assert (accepted.status_code, len(accepted.content)) == (200, 1_000)
        refused = await client.post(
            "/queues/records/a", headers=authorized_headers(), content=chunks(100, 11)
        )
        assert (refused.status_code, refused.json()["reason"]) == (413, "body-too-large")


async def test_open_queue_requires_no_key_but_accepts_one():
    async with run_gateway() as bench, bench.client() as client:
        assert (await client.get("/queues/visitors/a")).status_code == 200
        assert (
            await client.get("/queues/visitors/a", headers=authorized_headers())
        ).status_code == 200
        organisations = [request.organisation for request in bench.peers.dispatcher.requests]
        assert organisations == ["", "museum"]


async def test_withdrawn_key_is_refused_from_the_next_configuration_version():
    async with run_gateway() as bench, bench.client() as client:
        assert (
            await client.get("/queues/records/a", headers=authorized_headers())
        ).status_code == 200
        bench.view.configuration = build_gateway_configuration(
            Organisation(name="museum", key_hashes=(hash_key("new"),)),
            bench.peers.member,
            version=2,
        )
        refused = await client.get("/queues/records/a", headers=authorized_headers())
        assert (refused.status_code, refused.json()["reason"]) == (401, "wrong-key")


async def test_stale_configuration_is_refused_with_a_retry_hint():
    async with run_gateway() as bench, bench.client() as client:
        bench.view.fresh = False
        refused = await client.get("/queues/visitors/a")
        assert (refused.status_code, refused.json()["reason"]) == (503, "stale-configuration")
        assert refused.json()["ran"] == "no"
        assert refused.headers["retry-after"] == "1"


def replace_configuration(view, *entities):
    view.configuration = build_gateway_configuration(*entities, version=2)


def remove_queue(view):
    change = ConfigurationChange(
        version=view.configuration.version + 1,
        change_id="c",
        removes=(EntityKey("queue", "records"),),
    )
    view.configuration = view.configuration.apply(change)


CHANGES_WHILE_BODY_ARRIVES = {
    "stale": (lambda view: setattr(view, "fresh", False), "stale-configuration"),
    "key withdrawn": (
        lambda view: replace_configuration(
            view, Organisation(name="museum"), *view.current.all(Member)
        ),
        "wrong-key",
    ),
    "queue removed": (remove_queue, "unknown-queue"),
}


@pytest.mark.parametrize(
    ("change", "reason"),
    CHANGES_WHILE_BODY_ARRIVES.values(),
    ids=CHANGES_WHILE_BODY_ARRIVES.keys(),
)
async def test_admission_is_checked_again_after_the_body(change, reason):
    async with run_gateway() as bench, bench.client() as client:

        async def changing_body():
            yield b"first"
            while bench.gateway.state()["held_bytes"] < 5:
                await anyio.sleep(0.01)
            change(bench.view)
            yield b"second"

        refused = await client.post(
            "/queues/records/a", headers=authorized_headers(), content=changing_body()
        )
        assert refused.json()["reason"] == reason
        assert bench.peers.dispatcher.requests == []


async def test_jobs_paths_are_served_by_the_jobs_application():
    async def jobs_app(scope, receive, send):
        await send({"type": "http.response.start", "status": 202, "headers": []})
        await send({"type": "http.response.body", "body": b"job"})

    async with run_gateway(jobs_app) as bench, bench.client() as client:
        assert (await client.post("/jobs/records")).content == b"job"


async def test_authenticate_checks_keys_for_the_jobs_routes():
    async with run_gateway() as bench:
        assert bench.gateway.authenticate(f"Bearer {KEY}", "records") == Ok("museum")
        assert bench.gateway.authenticate(None, "records").error.reason is Reason.NO_KEY
