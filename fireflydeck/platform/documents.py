"""Decodes what operators and backend servers write to the store."""

from collections.abc import Mapping
from typing import Any

import orjson
from attrs import frozen

from fireflydeck.core.fleet_configuration import (
    AdvisorTimes,
    FleetConfiguration,
    JobQueue,
    MaintenanceWave,
    Organisation,
    RequestLimits,
    ServerPool,
)
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.core.rows import RowKey
from fireflydeck.platform.fields import (
    FIELD_ERRORS,
    address,
    integer,
    number,
    string,
    strings,
    whole,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_TABLE",
    "REGISTRATION_TABLE",
    "STATUS_TABLE",
    "WAVE_PREFIX",
    "DocumentError",
    "WaveState",
    "decode_configuration",
    "decode_registration",
    "decode_resources",
    "decode_wave",
    "encode_wave_state",
    "rack_of",
    "wave_status_row",
]

OPERATOR_TABLE = "op"
REGISTRATION_TABLE = "servers"
STATUS_TABLE = "status"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"

_MS_PER_S = 1000
_RACK_LABEL_PREFIX = "r"


@frozen
class DocumentError(ValueError):
    """A document that can't be read, or whose fields are missing or of another type."""

    document: str
    detail: str

    def __str__(self) -> str:
        return f"{self.document}: {self.detail}"


def decode_configuration(content: bytes) -> FleetConfiguration:
    """Decode the newest configuration.

    Raises
    ------
    DocumentError
        If it can't be read.
    """
    document = _object("configuration", content)
    try:
        return FleetConfiguration(
            version=whole(document["version"]),
            queues=tuple(_queue(item) for item in document.get("routes", ())),
            pools=tuple(_pool(item) for item in document.get("services", ())),
            organisations=tuple(_organisation(item) for item in document.get("tenants", ())),
            limits=_limits(document.get("limits") or {}),
        )
    except FIELD_ERRORS as error:
        raise DocumentError("configuration", repr(error)) from error


def decode_registration(server_id: str, content: bytes) -> Registration:
    """Decode a backend server's entry.

    Raises
    ------
    DocumentError
        If a field is missing or of another type: another writer's entry.
    """
    name = f"registration {server_id}"
    document = _object(name, content)
    try:
        labels = strings(document.get("labels", []))
        return Registration(
            server_id=server_id,
            pool=string(document["service"]),
            address=address(document["address"]),
            data_centre=string(document["zone"]),
            state=BackendServerState(document["state"]),
            capacity=decode_resources(document["capacity"]),
            labels=frozenset(labels),
            rack=rack_of(labels),
            born_ms=whole(document.get("born", 0)),
            clock_ms=whole(document.get("clock_ms", 0)),
            remaining_ms=integer(document.get("remaining_ms") or 0),
            vm=string(document.get("machine", "")),
        )
    except FIELD_ERRORS as error:
        raise DocumentError(name, repr(error)) from error


def decode_resources(document: Mapping[str, Any]) -> Resources:
    """Decode an amount of capacity."""
    return Resources(
        whole(document.get("cpu", 0)),
        whole(document.get("mem_mb", 0)),
        whole(document.get("gpus", 0)),
    )


def decode_wave(content: bytes) -> MaintenanceWave:
    """Decode a request for maintenance.

    Raises
    ------
    DocumentError
        If it can't be read.
    """
    document = _object("wave", content)
    try:
        return MaintenanceWave(
            number=whole(document["maintenance_wave"]),
            vms=tuple(strings(document["machines"])),
            duration_ms=int(number(document["duration_s"]) * _MS_PER_S),
            max_at_once=whole(document["cap"]),
        )
    except FIELD_ERRORS as error:
        raise DocumentError("wave", repr(error)) from error


class WaveState:
    """States of a wave as operators read them."""

    RUNNING = "running"
    COMPLETED = "completed"


def encode_wave_state(state: str) -> bytes:
    """Encode the status of a wave."""
    return orjson.dumps({"state": state})


def wave_status_row(number: int) -> RowKey:
    """Return the key of a wave's status row."""
    return RowKey(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")


def rack_of(labels: list[str]) -> str:
    """Return the label that names the rack, such as ``r1-3``; empty if there is none."""
    for label in labels:
        if label.startswith(_RACK_LABEL_PREFIX) and "-" in label:
            return label
    return ""


def _object(name: str, content: bytes) -> Mapping[str, Any]:
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise DocumentError(name, str(error)) from error
    if not isinstance(document, dict):
        raise DocumentError(name, "not an object")
    return document


def _queue(item: Mapping[str, Any]) -> JobQueue:
    return JobQueue(
        name=string(item["name"]),
        host=string(item["host"]),
        path_prefix=string(item["path_prefix"]),
        pool=string(item["service"]),
        priority=integer(item.get("priority", 0)),
        max_attempts=integer(item.get("max_attempts", 1)),
        slack_factor=number(item.get("slack_factor", 1.0)),
        target_latency_ms=integer(item.get("target_latency_ms", 0)),
        timeout_ms=integer(item.get("timeout_ms", 0)),
        public=bool(item.get("public", False)),
        advisor=_advisor(item.get("placement_advisor")),
    )


def _advisor(item: Mapping[str, Any] | None) -> AdvisorTimes | None:
    if not item:
        return None
    return AdvisorTimes(
        decision_ms=integer(item["decision_ms"]),
        per_server_ms=integer(item["period_ms"]),
        validity_ms=integer(item["validity_ms"]),
    )


def _pool(item: Mapping[str, Any]) -> ServerPool:
    return ServerPool(
        name=string(item["name"]),
        rejects_overload=bool(item.get("rejects_overload", False)),
        standby=bool(item.get("standby", False)),
    )


def _organisation(item: Mapping[str, Any]) -> Organisation:
    return Organisation(
        name=string(item["name"]),
        keys=frozenset(strings(item.get("api_keys", []))),
        weight=number(item.get("weight", 1.0)),
        limit=decode_resources(item.get("cap") or {}),
    )


def _limits(item: Mapping[str, Any]) -> RequestLimits:
    known = RequestLimits()
    return RequestLimits(
        integer(item.get("max_header_bytes", known.max_header_bytes)),
        integer(item.get("max_body_bytes", known.max_body_bytes)),
        integer(item.get("header_timeout_ms", known.header_timeout_ms)),
        integer(item.get("idle_timeout_ms", known.idle_timeout_ms)),
    )
