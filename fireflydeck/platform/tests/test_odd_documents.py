"""Documents of other writers: deep nesting, huge numbers, unusable addresses, wrong encodings."""

import contextlib

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core import Ran, Reason
from fireflydeck.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_registration,
    decode_wave,
)
from fireflydeck.platform.job_documents import decode_submission
from fireflydeck.platform.json_http_client import JsonHttpClient
from fireflydeck.platform.standin.documents import (
    configuration_document,
    registration_document,
    submission_document,
)

_EXAMPLES = 300
_MAX_PARSED_DEPTH = 1000
_WAVE = orjson.dumps(
    {"maintenance_wave": 3, "machines": ["m-1", "m-2"], "duration_s": 20, "cap": 2}
)


def _decode_submission(content):
    return decode_submission(
        content, job_id="0" * 16, queue="swatches", organisation="museum", accepted_ms=1
    )


_DECODERS = {
    "configuration": (configuration_document(), decode_configuration),
    "registration": (
        registration_document(),
        lambda content: decode_registration("i-1", content),
    ),
    "wave": (_WAVE, decode_wave),
    "submission": (submission_document("text", tasks=2), _decode_submission),
}
_all_decoders = pytest.mark.parametrize(
    ("sample", "decode"), _DECODERS.values(), ids=_DECODERS.keys()
)


def _nested(depth, opening=b"[", closing=b"]", core=b""):
    return opening * depth + core + closing * depth


def _leaf_paths(value, path=()):
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _leaf_paths(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _leaf_paths(item, (*path, index))
    yield path


def _with_raw_part(document, path, raw):
    """Return the document as JSON with the bytes `raw` in place of one of its parts."""
    if not path:
        return raw
    marker = "\x01replaced"
    value = document
    for key in path[:-1]:
        value = value[key]
    value[path[-1]] = marker
    return orjson.dumps(document).replace(orjson.dumps(marker), raw)


_ODD_PARTS = st.one_of(
    st.integers(1, _MAX_PARSED_DEPTH).map(_nested),
    st.integers(1, _MAX_PARSED_DEPTH).map(lambda n: _nested(n, b'{"a":', b"}", b"1")),
    st.sampled_from(
        [
            b"1e306",
            b"-1e306",
            b"1e400",
            b"9" * 400,
            b"-9223372036854775809",
            b"18446744073709551615",
            b'"\xff\xfe"',
            b'"\\ud800"',
            b'"' + b"9" * 5000 + b'"',
            b"NaN",
        ]
    ),
    st.text(max_size=300).map(orjson.dumps),
    st.integers(-(2**63), 2**63 - 1).map(orjson.dumps),
    st.floats(allow_nan=False, allow_infinity=False).map(orjson.dumps),
)


@_all_decoders
@given(data=st.data())
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None, database=None)
def test_only_document_errors_are_raised(sample, decode, data):
    document = orjson.loads(sample)
    path = data.draw(st.sampled_from(list(_leaf_paths(document))))
    content = _with_raw_part(document, path, data.draw(_ODD_PARTS))
    with contextlib.suppress(DocumentError):
        decode(content)


@_all_decoders
@given(content=st.binary(max_size=200))
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None, database=None)
def test_arbitrary_bytes(sample, decode, content):
    with pytest.raises(DocumentError):
        decode(content)


@pytest.mark.parametrize("field", ["service", "address", "state", "labels", "born", "capacity"])
def test_deeply_nested_registration(field):
    document = orjson.loads(registration_document())
    content = _with_raw_part(document, (field,), _nested(_MAX_PARSED_DEPTH))
    with pytest.raises(DocumentError):
        decode_registration("i-1", content)


def test_wave_of_excessive_duration():
    content = _with_raw_part(orjson.loads(_WAVE), ("duration_s",), b"1e306")
    with pytest.raises(DocumentError):
        decode_wave(content)


_UNUSABLE_ADDRESSES = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:\u0661\u0662",
    "10.0.0.1:-1",
    "10.0.0.1: 80",
    "10.0.0.1:+80",
    "10.0.0.1:8_0",
    "user@10.0.0.1:80",
    "10.0.0.1/path:80",
    "10.0.0.1\r\nX: y:80",
    "a b:80",
    "a" * 300 + ":80",
    ":80",
    "10.0.0.1",
    "10.0.0.256:80",
    "example.org:80",
]


@pytest.mark.parametrize("address", _UNUSABLE_ADDRESSES, ids=lambda text: ascii(text[:24]))
def test_unusable_address_of_a_registration(address):
    with pytest.raises(DocumentError):
        decode_registration("i-1", registration_document(address=address))


@pytest.mark.parametrize("server_id", ["", "i\n1", "i 1", "\u00e9", "\x00", "i\r\nX: y"])
def test_id_that_no_header_can_carry(server_id):
    with pytest.raises(DocumentError):
        decode_registration(server_id, registration_document())


@pytest.mark.parametrize("amount", [-5, 10**18])
def test_impossible_capacity(amount):
    capacity = {"cpu": amount, "mem_mb": 1000, "gpus": 0}
    with pytest.raises(DocumentError):
        decode_registration("i-1", registration_document(capacity=capacity))


@pytest.mark.anyio
@pytest.mark.parametrize("address", _UNUSABLE_ADDRESSES, ids=lambda text: ascii(text[:24]))
async def test_client_returns_a_failure_for_any_address(address):
    client = JsonHttpClient(address, failure_reason=Reason.BACKEND_UNREACHABLE, max_connections=1)
    result = await client.exchange("GET", "/", step="test", timeout_ms=300)
    await client.close()
    assert result.error.ran == Ran.NO


@pytest.mark.anyio
@pytest.mark.parametrize("value", ["a\nb", "a\r\nX: y", "\u20ac"])
async def test_client_returns_a_failure_for_any_header(value):
    client = JsonHttpClient(
        "127.0.0.1:1", failure_reason=Reason.BACKEND_UNREACHABLE, max_connections=1
    )
    result = await client.exchange(
        "GET", "/", step="test", timeout_ms=300, headers={"X-Expected-Instance": value}
    )
    await client.close()
    assert result.error.ran == Ran.NO
