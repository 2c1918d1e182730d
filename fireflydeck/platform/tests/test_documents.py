"""Decoding of documents of operators, backend servers and callers, including malformed ones."""

import orjson
import pytest

from fireflydeck.core.placement import BackendServerState, Resources
from fireflydeck.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_registration,
    decode_wave,
)
from fireflydeck.platform.job_documents import JOB_ID_PATTERN, decode_submission
from fireflydeck.platform.node_settings import NodeSettingsError, load_node_settings, settings_path
from fireflydeck.platform.standin.documents import configuration_document, registration_document

_SETTINGS = {
    "node_name": "edge-1",
    "ip": "10.1.0.23",
    "zone": "zvolen",
    "listen_addresses": {"frontend": "10.1.0.23:8340", "readiness": "10.1.0.23:8343"},
    "internal_port_range": [7000, 7015],
    "bounds": {"max_hold_ms": 6000},
    "limits": {"memory_mb": 300},
    "platform": {"address": "10.200.1.7:8344"},
    "something_new": {"a": 1},
}


def _submission(**fields):
    return orjson.dumps({"spec": "text", "steps": [{"count": 2, "cpu": 500}], **fields})


def _decode(content):
    return decode_submission(
        content, job_id="0" * 16, queue="swatches", organisation="museum", accepted_ms=1
    )


def test_configuration():
    configuration = decode_configuration(configuration_document())
    queue = configuration.queue("swatches")
    assert (queue.pool, queue.max_attempts, queue.slack_factor) == ("paint", 2, 1.6)
    assert configuration.organisation_of_key("key-1").name == "museum"
    assert configuration.organisation("museum").limit == Resources(64_000, 0, 0)
    assert [pool.name for pool in configuration.pools if pool.standby] == ["spare"]


@pytest.mark.parametrize("content", [b"", b"[]", b"{}", b"\xff", b'{"version":1,"routes":7}'])
def test_unreadable_configuration(content):
    with pytest.raises(DocumentError):
        decode_configuration(content)


def test_registration():
    found = decode_registration("i-1", registration_document(remaining_ms=900, machine="m-1"))
    assert (found.pool, found.rack, found.vm) == ("paint", "r1-3", "m-1")
    assert (found.state, found.born_ms) == (BackendServerState.READY, 1)


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "sleeping"},
        {"service": 7},
        {"service": None},
        {"address": "nowhere"},
        {"capacity": None},
        {"capacity": {"cpu": "many"}},
        {"labels": "a"},
        {"zone": ["zvolen"]},
        {"born": "today"},
    ],
)
def test_registration_of_another_writer(fields):
    with pytest.raises(DocumentError):
        decode_registration("i-1", registration_document(**fields))


def test_wave():
    content = b'{"maintenance_wave":1,"machines":["m-1"],"duration_s":20,"cap":1}'
    wave = decode_wave(content)
    assert (wave.number, wave.vms, wave.duration_ms, wave.max_at_once) == (1, ("m-1",), 20_000, 1)


def test_submission():
    spec = _decode(_submission(steps=[{"count": 1}, {"count": 2, "depends_on": [0], "gang": True}]))
    assert [step.count for step in spec.steps] == [1, 2]
    assert spec.steps[1].depends_on == (0,)
    assert spec.steps[1].gang
    assert spec.steps[0].max_unavailable is None


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"null",
        b"{",
        b'{"spec":"text"}',
        _submission(spec=7),
        _submission(spec="x" * 4001),
        _submission(steps=[]),
        _submission(steps=[{"count": 0}]),
        _submission(steps=[{"count": "2"}]),
        _submission(steps=[{"count": 1, "depends_on": [0]}]),
        _submission(steps=[{"count": 1, "depends_on": [1]}, {"count": 1}]),
        _submission(steps=[{"count": 20_000}]),
        _submission(steps=[{"count": 1, "cpu": "all"}]),
        _submission(steps=[{"count": 1}] * 101),
        _submission(steps=[{"count": 1, "cpu": -500}]),
        _submission(steps=[{"count": 1, "mem_mb": -1}]),
        _submission(steps=[{"count": 1, "cpu": 2**62}]),
        _submission(steps=[{"count": 1, "estimated_ms": 1e30}]),
        _submission(steps=[{"count": 1, "anti_affinity": -1}]),
        _submission(start_at_ms=1e300),
        _submission(repeat_count=2**63, interval_ms=1),
        _submission(steps={"count": 1}),
        _submission(steps=[{"count": 1, "depends_on": 7}]),
    ],
)
def test_malformed_submission(content):
    with pytest.raises(DocumentError):
        _decode(content)


@pytest.mark.parametrize("job_id", ["0" * 15, "0" * 17, "G" * 16, "0" * 16 + "\n", "", "../x"])
def test_ids_of_wrong_form(job_id):
    assert JOB_ID_PATTERN.match(job_id) is None


def test_settings(tmp_path):
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(_SETTINGS))
    settings = load_node_settings(settings_path({"FIREFLYDECK_BOOT": str(path)}))
    assert (settings.name, settings.internal_ports) == ("edge-1", (7000, 7015))
    assert settings.bounds.max_lease_ms == 6000


@pytest.mark.parametrize(
    ("fields", "text"),
    [
        ({"node_name": None}, "node_name"),
        ({"ip": 7}, "ip"),
        ({"platform": {}}, "address"),
        ({"internal_port_range": [7000]}, "wrong value"),
        ({"limits": {"memory_mb": "much"}}, "wrong value"),
        ({"limits": {"memory_mb": 200, "client_connections": "many"}}, "wrong value"),
    ],
)
def test_wrong_settings_give_one_line(tmp_path, fields, text):
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps({**_SETTINGS, **fields}))
    with pytest.raises(NodeSettingsError, match=text) as caught:
        load_node_settings(path)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("content", [b"", b"[]", b"{"])
def test_unreadable_settings(tmp_path, content):
    path = tmp_path / "node.json"
    path.write_bytes(content)
    with pytest.raises(NodeSettingsError):
        load_node_settings(path)
