"""Frame format: a length prefix and a msgpack array of schema version, type name and fields."""

import struct
from typing import Any

import msgpack

from fireflydeck.core import Failure, FireflydeckError, Reason
from fireflydeck.core.converter import ConversionError, from_plain, to_plain
from fireflydeck.peers.messages import MESSAGE_TYPES, Message

__all__ = ["LENGTH_BYTES", "SCHEMA_VERSION", "decode", "encode", "frame_length"]

SCHEMA_VERSION = 1
"""Version of the envelope; new message fields do not change it."""

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size
"""Size of the length prefix in bytes."""


def encode(message: Message) -> bytes:
    """Return the frame of a message, with its length prefix."""
    fields = to_plain(message)
    payload = msgpack.packb([SCHEMA_VERSION, type(message).__name__, fields])
    return _LENGTH.pack(len(payload)) + payload


def frame_length(prefix: bytes) -> int:
    """Return the length of the payload in bytes from the length prefix."""
    return _LENGTH.unpack(prefix)[0]


def decode(payload: bytes) -> Message:
    """Return the message in the payload of a frame.

    Raises
    ------
    FireflydeckError
        With reason `BAD_REQUEST` if the payload is not a known message of this schema version.

    Examples
    --------
    >>> from fireflydeck.peers.messages import Cancel
    >>> decode(encode(Cancel(request_id="r1"))[LENGTH_BYTES:])
    Cancel(request_id='r1')
    """
    try:
        version, name, fields = msgpack.unpackb(payload)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _bad_frame(f"not an envelope: {error!r:.100}") from error
    if version != SCHEMA_VERSION:
        raise _bad_frame(f"schema version {version!r:.20} is not {SCHEMA_VERSION}")
    cls = MESSAGE_TYPES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise _bad_frame(f"unknown message type {name!r:.60}")
    return _structure(fields, cls)


def _structure(fields: Any, cls: type[Message]) -> Message:
    try:
        return from_plain(fields, cls)
    except ConversionError as error:
        raise _bad_frame(str(error)) from error


def _bad_frame(detail: str) -> FireflydeckError:
    return FireflydeckError(Failure(Reason.BAD_REQUEST, step="peer.decode", detail=detail))
