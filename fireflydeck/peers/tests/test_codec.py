import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core import FireflydeckError, Reason
from fireflydeck.peers import decode, encode
from fireflydeck.peers.codec import LENGTH_BYTES, SCHEMA_VERSION
from fireflydeck.peers.messages import MESSAGE_TYPES, Submit
from fireflydeck.testing import build_request

BAD_PAYLOADS = {
    "empty": b"",
    "not msgpack": b"\xc1",
    "trailing bytes": msgpack.packb([1, "Cancel", {"request_id": "a"}]) + b"\x00",
    "not an array": msgpack.packb({"a": 1}),
    "too few elements": msgpack.packb([1, "Cancel"]),
    "wrong version": msgpack.packb([2, "Cancel", {"request_id": "a"}]),
    "unknown type": msgpack.packb([1, "Unknown", {}]),
    "type is no text": msgpack.packb([1, ["Cancel"], {}]),
    "missing field": msgpack.packb([1, "Cancel", {}]),
    "field of wrong type": msgpack.packb([1, "Cancel", {"request_id": 5}]),
    "flag for a number": msgpack.packb([1, "Heartbeat", {"sequence": True}]),
    "fields are no map": msgpack.packb([1, "Cancel", "request_id"]),
    "deep nesting": b"\x91" * 100_000,
    "huge declared array": b"\xdd\xff\xff\xff\xff",
}


@pytest.mark.parametrize("payload", BAD_PAYLOADS.values(), ids=BAD_PAYLOADS.keys())
def test_decode_rejects(payload):
    with pytest.raises(FireflydeckError) as raised:
        decode(payload)
    assert raised.value.failure.reason is Reason.BAD_REQUEST


def test_decode_ignores_unknown_fields():
    payload = msgpack.packb([1, "Cancel", {"request_id": "a", "added_later": 1}])
    assert decode(payload).request_id == "a"


def test_encode_decode_round_trip():
    message = Submit(request=build_request(body=bytes(range(256))))
    assert decode(encode(message)[LENGTH_BYTES:]) == message


SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(-1, 2**64 - 1), st.text(max_size=4), st.binary(max_size=4)
)
FIELD_NAMES = st.sampled_from(
    ["request_id", "request", "answer", "failure", "change", "sequence", "nonce", "name", "puts"]
)
MAPS = st.dictionaries(FIELD_NAMES, SCALARS | st.lists(SCALARS, max_size=2), max_size=4)
FIELDS = st.dictionaries(FIELD_NAMES, SCALARS | MAPS | st.lists(MAPS, max_size=2), max_size=4)
ENVELOPES = st.tuples(
    st.just(SCHEMA_VERSION) | SCALARS,
    st.sampled_from(sorted(MESSAGE_TYPES)) | SCALARS,
    FIELDS | SCALARS,
)


def decode_or_reject(payload):
    try:
        decode(payload)
    except FireflydeckError as error:
        assert error.failure.reason is Reason.BAD_REQUEST


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_decode_raises_only_fireflydeck_error_for_bytes(payload):
    decode_or_reject(payload)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(ENVELOPES)
def test_decode_raises_only_fireflydeck_error_for_envelopes(envelope):
    decode_or_reject(msgpack.packb(envelope))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 255))
def test_decode_raises_only_fireflydeck_error_for_changed_byte(position, value):
    payload = bytearray(encode(Submit(request=build_request(body=b"body")))[LENGTH_BYTES:])
    payload[position % len(payload)] = value
    decode_or_reject(bytes(payload))
