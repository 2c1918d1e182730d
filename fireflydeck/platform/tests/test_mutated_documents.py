"""Documents and answers with one invalid part are rejected, or decoded to the declared types."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core.fleet_configuration import AdvisorTimes
from fireflydeck.core.typed_values import mistyped_fields
from fireflydeck.platform.backend_server_client import decode_report
from fireflydeck.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_registration,
    decode_wave,
)
from fireflydeck.platform.fields import FIELD_ERRORS
from fireflydeck.platform.job_documents import decode_submission
from fireflydeck.platform.standin.documents import configuration_document, registration_document
from fireflydeck.platform.vm_client import decode_vm
from fireflydeck.testing.mutations import mutated
from fireflydeck.workload.specification import encode_job_spec

_EXAMPLES = 400

_CONFIGURATION = orjson.loads(
    configuration_document(advisor=AdvisorTimes(5, 2, 900), idle_timeout_ms=500)
)
_REGISTRATION = orjson.loads(registration_document(remaining_ms=900, machine="m-1"))
_WAVE = {"maintenance_wave": 3, "machines": ["m-1", "m-2"], "duration_s": 20, "cap": 2}
_STEP = {
    "count": 2,
    "cpu": 500,
    "mem_mb": 100,
    "estimated_ms": 600,
    "checkpointing": True,
    "requirements": "a",
    "affinity": "r1-3",
    "anti_affinity": 1,
    "image": "i",
    "long_running": True,
    "max_unavailable": 1,
    "target_ms": 40,
}
_SUBMISSION = {
    "spec": "text",
    "steps": [_STEP, {"count": 1, "depends_on": [0], "gang": True}],
    "start_at_ms": 1_800_000_000_000,
    "interval_ms": 1000,
    "repeat_count": 3,
}
_REPORT = {
    "clock_ms": 7000,
    "born": 12,
    "running": [["t.0.0.0", 1, "point", 100, 35], ["t.0.0.1", 2, "", 0]],
    "finished": [[3, "t.0.0.2", 1, "done", ""]],
}
_VM = {
    "machine": "m-1",
    "pool": "paint",
    "state": "up",
    "zone": "zvolen",
    "labels": ["a", "r1-3"],
    "capacity": {"cpu": 32_000, "mem_mb": 65_536, "gpus": 0},
    "id": "i-1",
}


def _submission(content):
    spec = decode_submission(
        content, job_id="0" * 16, queue="swatches", organisation="museum", accepted_ms=1
    )
    encode_job_spec(spec)
    return spec


@pytest.mark.parametrize(
    ("document", "decode", "errors"),
    [
        (_CONFIGURATION, decode_configuration, DocumentError),
        (_REGISTRATION, lambda content: decode_registration("i-1", content), DocumentError),
        (_WAVE, decode_wave, DocumentError),
        (_SUBMISSION, _submission, DocumentError),
        (_REPORT, lambda content: decode_report(orjson.loads(content)), FIELD_ERRORS),
        (_VM, lambda content: decode_vm(orjson.loads(content)), FIELD_ERRORS),
    ],
    ids=["configuration", "registration", "wave", "submission", "report", "vm"],
)
@given(data=st.data())
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None, database=None)
def test_wrong_part(document, decode, errors, data):
    content = _encode(data.draw(mutated(document)))
    try:
        value = decode(content)
    except errors:
        return
    assert mistyped_fields(value) == []


def _encode(document):
    """Encode as JSON; 10**19 becomes 1e300, since orjson writes no integers beyond 64 bits."""
    return orjson.dumps(document).replace(b"10000000000000000000", b"1e300")
