"""Contract of the operator interface: accepted changes, refused input and keys."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fireflydeck.controller.edits import finish_drain
from fireflydeck.controller.keys import hash_key
from fireflydeck.controller.tests.operator import KEY, MAX_BODY_BYTES, on_site
from fireflydeck.core import ENTITY_TYPES, DataCentre, Organisation, Vm, VmState

ACCEPTED = [
    ("PUT", "/configuration/pool/paint", {"max_unavailable": 2}),
    ("PUT", "/configuration/queue/paint", {"pool": "records", "open_to_all": True}),
    ("PUT", "/configuration/organisation/school", {"share": 1, "limit": 4}),
    (
        "PUT",
        "/configuration/maintenance_window/night",
        {"data_centre": "dc-1", "start_ms": 1, "end_ms": 2},
    ),
    (
        "PUT",
        "/configuration/vm/vm-9",
        {"pool": "records", "data_centre": "dc-1", "address": "127.0.0.1:9"},
    ),
    ("DELETE", "/configuration/queue/records", None),
    ("DELETE", "/configuration/organisation/museum", None),
    ("DELETE", "/configuration/pool/spare", None),
    ("POST", "/vms/vm-1/drain", None),
    ("POST", "/vms/vm-1/fail", None),
    ("POST", "/data-centres/dc-1/out", None),
]


@pytest.mark.parametrize(("method", "path", "body"), ACCEPTED)
def test_accepted_change_is_committed_and_published(method, path, body):
    async def case(site):
        before = (await site.load()).version
        answer = await site.client.request(method, path, json=body)
        assert answer.status_code == 200, answer.text
        assert answer.json() == {"version": before + 1, "changed": True}
        assert site.published[-1].version == before + 1
        assert (await site.load()).version == before + 1

    on_site(case)


VM = {"pool": "records", "data_centre": "dc-1", "address": "127.0.0.1:9"}
NOT_JSON = b"{"

BAD_INPUT = [
    ("PUT", "/configuration/pool/x", NOT_JSON, 400, "bad-request"),
    ("PUT", "/configuration/pool/x", b"\xff", 400, "bad-request"),
    ("PUT", "/configuration/pool/x", b"[]", 400, "bad-request"),
    ("PUT", "/configuration/pool/x", b"[" * 90_000, 400, "bad-request"),
    ("PUT", "/configuration/pool/x", b"1" * 90_000, 400, "bad-request"),
    ("PUT", "/configuration/pool/x", b" " * (MAX_BODY_BYTES + 1), 413, "body-too-large"),
    ("PUT", "/configuration/pool/X", {}, 422, "invalid-change"),
    ("PUT", "/configuration/pool/x", {"colour": "red"}, 422, "invalid-change"),
    ("PUT", "/configuration/pool/x", {"max_unavailable": "1"}, 422, "invalid-change"),
    ("PUT", "/configuration/pool/x", {"max_unavailable": True}, 422, "invalid-change"),
    ("PUT", "/configuration/pool/x", {"max_unavailable": -1}, 422, "invalid-change"),
    ("PUT", "/configuration/pool/x", {"name": "y"}, 422, "invalid-change"),
    ("PUT", "/configuration/queue/x", {}, 422, "invalid-change"),
    ("PUT", "/configuration/queue/x", {"pool": "none"}, 422, "invalid-change"),
    ("PUT", "/configuration/organisation/x", {"share": 0}, 422, "invalid-change"),
    ("PUT", "/configuration/organisation/x", {"limit": -1}, 422, "invalid-change"),
    ("PUT", "/configuration/organisation/x", {"limit": 10**30}, 422, "invalid-change"),
    ("PUT", "/configuration/organisation/museum", {"key_hashes": []}, 422, "invalid-change"),
    ("PUT", "/configuration/vm/vm-1", {"state": "maintenance"}, 422, "invalid-change"),
    ("PUT", "/configuration/vm/vm-1", {"pool": "spare"}, 422, "invalid-change"),
    ("PUT", "/configuration/vm/x", {**VM, "address": "127.0.0.1:1"}, 422, "invalid-change"),
    ("PUT", "/configuration/vm/x", {**VM, "address": "localhost:9"}, 422, "invalid-change"),
    ("PUT", "/configuration/vm/x", {**VM, "data_centre": "dc-9"}, 422, "invalid-change"),
    ("PUT", "/configuration/data_centre/dc-1", {"in_service": False}, 422, "invalid-change"),
    (
        "PUT",
        "/configuration/maintenance_window/x",
        {"data_centre": "dc-1", "start_ms": 2, "end_ms": 2},
        422,
        "invalid-change",
    ),
    ("PUT", "/configuration/member/x", {}, 404, "not-found"),
    ("PUT", "/configuration/colour/x", {}, 404, "not-found"),
    ("GET", "/configuration/colour", None, 404, "not-found"),
    ("GET", "/explain/colour/x", None, 404, "not-found"),
    ("GET", "/nothing", None, 404, "not-found"),
    ("PATCH", "/configuration", None, 405, "not-found"),
    ("DELETE", "/configuration/pool/records", None, 422, "invalid-change"),
    ("DELETE", "/configuration/vm/vm-1", None, 422, "invalid-change"),
    ("DELETE", "/configuration/pool/none", None, 404, "not-found"),
    ("DELETE", "/organisations/museum/keys/0123456789ab", None, 404, "not-found"),
    ("POST", "/organisations/none/keys", None, 404, "not-found"),
    ("POST", "/data-centres/none/out", None, 404, "not-found"),
    ("POST", "/vms/none/drain", None, 404, "not-found"),
    ("POST", "/vms/vm-1/move", {"pool": "spare"}, 422, "invalid-change"),
    ("POST", "/vms/vm-1/move", {}, 400, "bad-request"),
    ("POST", "/vms/vm-1/move", {"pool": 7}, 400, "bad-request"),
    ("POST", "/sheet/apply", b"", 422, "invalid-change"),
    ("POST", "/sheet/apply", b"\xff", 400, "bad-request"),
]


@pytest.mark.parametrize(("method", "path", "body", "status", "reason"), BAD_INPUT)
def test_bad_input_is_refused_and_changes_nothing(method, path, body, status, reason):
    async def case(site):
        before = (await site.load()).version
        content = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        answer = await site.client.request(method, path, content=content)
        assert (answer.status_code, answer.json()["reason"]) == (status, reason), answer.text
        assert answer.headers["content-type"] == "application/problem+json"
        assert answer.json()["ran"] == "no"
        assert (status == 422) == bool(answer.json().get("problems"))
        assert (await site.load()).version == before

    on_site(case)


@pytest.mark.parametrize("key", ["", "wrong", KEY + "x", "\x7f"])
def test_request_without_the_operator_key_is_rejected(key):
    async def case(site):
        client = site.connect(site.service, key)
        for method, path in [("GET", "/configuration"), ("POST", "/vms/vm-1/drain")]:
            answer = await client.request(method, path)
            assert answer.status_code == 401
            assert answer.json()["reason"] == ("wrong-key" if key else "no-key")
        assert (await site.load()).get(Vm, "vm-1").state is VmState.IN_SERVICE

    on_site(case)


def test_if_version_must_match_the_current_version():
    async def case(site):
        path, body = "/configuration/pool/records", {"max_unavailable": 2}
        stale = await site.client.put(path, json=body, headers={"if-version": "7"})
        assert stale.status_code == 409
        assert stale.json()["entity_version"] == 1
        assert stale.json()["expected_version"] == 7
        exists = await site.client.put(path, json=body, headers={"if-version": "0"})
        assert exists.status_code == 409
        right = await site.client.put(path, json=body, headers={"if-version": "1"})
        assert right.status_code == 200
        for text in ("x", "-1", "1.0", "\u00b2", "9" * 40):
            header = {"if-version": text.encode()}
            assert (await site.client.put(path, json=body, headers=header)).status_code == 400

    on_site(case)


def test_if_version_applies_to_operations_and_keys():
    async def case(site):
        calls = [
            ("/vms/vm-1/drain", "vm:vm-1"),
            ("/data-centres/dc-1/out", "data_centre:dc-1"),
            ("/organisations/museum/keys", "organisation:museum"),
        ]
        for path, entity in calls:
            answer = await site.client.post(path, headers={"if-version": "99"})
            assert (answer.status_code, answer.json()["entity"]) == (409, entity)

    on_site(case)


def test_one_entity_is_shown_with_its_version():
    async def case(site):
        shown = (await site.client.get("/configuration/organisation/museum")).json()
        assert shown["entity"]["entity_version"] == 2
        missing = await site.client.get("/configuration/organisation/none")
        assert missing.status_code == 404

    on_site(case)


def test_put_keeps_fields_that_are_not_given():
    async def case(site):
        await site.client.put("/configuration/organisation/museum", json={"share": 5})
        organisation = (await site.load()).get(Organisation, "museum")
        assert (organisation.share, organisation.limit) == (5, 10)
        again = await site.client.put("/configuration/organisation/museum", json={"share": 5})
        assert not again.json()["changed"]

    on_site(case)


def test_limit_and_allotment_row_change_together():
    async def case(site):
        row = site.tables.tables.get("allotments", "museum")
        assert row.value == {"limit": 10, "grants": {}, "wanted": {}}
        grants = {"limit": 10, "grants": {"d-1": 6}, "wanted": {"d-2": 3}}
        row.value.update(grants)
        await site.client.put("/configuration/organisation/museum", json={"limit": 4})
        assert site.tables.tables.get("allotments", "museum").value == {**grants, "limit": 4}
        await site.client.delete("/configuration/organisation/museum")
        assert site.tables.tables.get("allotments", "museum").value == {**grants, "limit": 0}

    on_site(case)


def test_key_is_returned_once_and_stored_as_a_hash():
    async def case(site):
        granted = (await site.client.post("/organisations/museum/keys")).json()
        organisation = (await site.load()).get(Organisation, "museum")
        assert organisation.key_hashes == (hash_key(granted["key"]),)
        shown = (await site.client.get("/configuration")).text
        assert granted["key"] not in shown and organisation.key_hashes[0] not in shown
        assert granted["key_id"] in shown
        stored = repr(site.tables.tables.scan("configuration"))
        assert granted["key"] not in stored
        path = f"/organisations/museum/keys/{granted['key_id']}"
        assert (await site.client.delete(path)).status_code == 200
        assert (await site.load()).get(Organisation, "museum").key_hashes == ()
        assert (await site.client.delete(path)).status_code == 404

    on_site(case)


def test_move_takes_a_drained_vm_to_the_other_pool():
    async def case(site):
        await site.client.post("/vms/vm-1/drain")
        early = await site.client.post("/vms/vm-1/move", json={"pool": "spare"})
        assert early.status_code == 422
        await finish_drain_of(site, "vm-1")
        moved = await site.client.post("/vms/vm-1/move", json={"pool": "spare"})
        assert moved.status_code == 200
        vm = (await site.load()).get(Vm, "vm-1")
        assert (vm.pool, vm.state) == ("spare", VmState.IN_SERVICE)

    on_site(case)


def test_failed_vm_is_not_moved():
    async def case(site):
        await site.client.post("/vms/vm-1/fail")
        moved = await site.client.post("/vms/vm-1/move", json={"pool": "spare"})
        assert (moved.status_code, moved.json()["reason"]) == (422, "invalid-change")

    on_site(case)


async def finish_drain_of(site, name):
    result = await site.service.apply(lambda base: finish_drain(base, name), origin="controller")
    assert result.is_ok()


def test_budget_refuses_drains_but_not_failures_or_evacuations():
    async def case(site):
        client = site.client
        assert (await client.post("/vms/vm-1/drain")).status_code == 200
        second = await client.post("/vms/vm-2/drain")
        assert (second.status_code, second.json()["reason"]) == (409, "availability-budget")
        assert (await client.post("/data-centres/dc-1/out")).status_code == 200
        assert (await client.post("/vms/vm-2/fail")).status_code == 200
        assert (await client.post("/vms/vm-1/return")).status_code == 200
        counted = await client.post("/vms/vm-3/drain")
        assert counted.json()["reason"] == "availability-budget"

    on_site(case)


# Data centres.


def test_data_centre_is_taken_out_and_brought_back():
    async def case(site):
        await site.client.post("/data-centres/dc-1/out")
        assert not (await site.load()).get(DataCentre, "dc-1").in_service
        again = await site.client.post("/data-centres/dc-1/out")
        assert not again.json()["changed"]
        await site.client.post("/data-centres/dc-1/in")
        assert (await site.load()).get(DataCentre, "dc-1").in_service

    on_site(case)


# Random bodies.

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)
NAMES = st.text(max_size=4) | st.sampled_from(
    [*("name", "pool", "share", "limit", "region", "address", "state"), "start_ms", "end_ms"]
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.sampled_from(sorted(ENTITY_TYPES)), st.dictionaries(NAMES, VALUES, max_size=4))
@example("data_centre", {"region": "\ud800"})
@example("data_centre", {"\ud800": "x" * 5000})
@example("vm", {"pool": "records", "data_centre": "dc-1", "address": "\ud800:1"})
def test_random_bodies_are_accepted_or_refused_with_a_reason(kind, body):
    async def case(site):
        content = json.dumps(body).encode()
        answer = await site.client.put(f"/configuration/{kind}/x", content=content)
        assert answer.status_code in (200, 404, 422), answer.text
        assert len(answer.content) < 5000

    on_site(case)
