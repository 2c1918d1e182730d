"""Decoders of the documents that operators and backend servers write to the store."""

from collections.abc import Mapping
from typing import Any

import orjson
from attrs import frozen

from fireflydeck.core.fleet_configuration import (
    AdvisorTimes,
    FleetConfiguration,
    JobOrganisation,
    JobQueue,
    MaintenanceWave,
    RequestLimits,
    ServerPool,
)
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.core.rows import RowKey
from fireflydeck.platform.fields import (
    FIELD_ERRORS,
    address,
    amount,
    exact_int,
    header_text,
    number,
    string,
    strings,
    truncated_int,
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
    "find_rack_label",
    "wave_status_key",
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
    """A document that is unreadable, or that has a missing or invalid field."""

    document: str
    detail: str

    def __str__(self) -> str:
        return f"{self.document}: {self.detail}"


def decode_configuration(content: bytes) -> FleetConfiguration:
    """Decode the operators' configuration.

    Raises
    ------
    DocumentError
        If it is unreadable, or a field is missing or invalid.
    """
    document = _decode_object("configuration", content)
    try:
        return FleetConfiguration(
            version=exact_int(document["version"]),
            queues=tuple(_decode_queue(item) for item in document.get("routes", ())),
            pools=tuple(_decode_pool(item) for item in document.get("services", ())),
            organisations=tuple(_decode_organisation(item) for item in document.get("tenants", ())),
            limits=_decode_limits(document.get("limits") or {}),
        )
    except FIELD_ERRORS as error:
        raise DocumentError("configuration", repr(error)) from error


def decode_registration(server_id: str, content: bytes) -> Registration:
    """Decode a backend server's registration.

    Raises
    ------
    DocumentError
        If it is unreadable, or a field is missing or invalid, such as in a row that was not
        written by a backend server.
    """
    name = f"registration {server_id}"
    document = _decode_object(name, content)
    try:
        labels = strings(document.get("labels", []))
        return Registration(
            server_id=header_text(server_id),
            pool=string(document["service"]),
            address=address(document["address"]),
            data_centre=string(document["zone"]),
            state=BackendServerState(document["state"]),
            capacity=decode_resources(document["capacity"]),
            labels=frozenset(labels),
            rack=find_rack_label(labels),
            born_ms=exact_int(document.get("born", 0)),
            clock_ms=exact_int(document.get("clock_ms", 0)),
            remaining_ms=truncated_int(document.get("remaining_ms") or 0),
            vm=string(document.get("machine", "")),
        )
    except FIELD_ERRORS as error:
        raise DocumentError(name, repr(error)) from error


def decode_resources(document: Mapping[str, Any]) -> Resources:
    """Decode an amount of capacity or demand; missing fields count as 0.

    Raises
    ------
    TypeError, ValueError
        If a field is not an integer, or negative or out of range.
    """
    return Resources(
        amount(document.get("cpu", 0)),
        amount(document.get("mem_mb", 0)),
        amount(document.get("gpus", 0)),
    )


def decode_wave(content: bytes) -> MaintenanceWave:
    """Decode an operator's request for a maintenance wave.

    Raises
    ------
    DocumentError
        If it is unreadable, or a field is missing or invalid.
    """
    document = _decode_object("wave", content)
    try:
        return MaintenanceWave(
            number=exact_int(document["maintenance_wave"]),
            vms=tuple(strings(document["machines"])),
            duration_ms=int(number(document["duration_s"]) * _MS_PER_S),
            max_at_once=exact_int(document["cap"]),
        )
    except FIELD_ERRORS as error:
        raise DocumentError("wave", repr(error)) from error


class WaveState:
    """States of a maintenance wave in the status that operators read."""

    RUNNING = "running"
    COMPLETED = "completed"


def encode_wave_state(state: str) -> bytes:
    """Encode the status of a maintenance wave."""
    return orjson.dumps({"state": state})


def wave_status_key(number: int) -> RowKey:
    """Return the key of a maintenance wave's status row."""
    return RowKey(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")


def find_rack_label(labels: list[str]) -> str:
    """Return the first label that names a rack, such as ``r1-3``; empty if there is none."""
    for label in labels:
        if label.startswith(_RACK_LABEL_PREFIX) and "-" in label:
            return label
    return ""


def _decode_object(name: str, content: bytes) -> Mapping[str, Any]:
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise DocumentError(name, str(error)) from error
    if not isinstance(document, dict):
        raise DocumentError(name, "not an object")
    return document


def _decode_queue(item: Mapping[str, Any]) -> JobQueue:
    return JobQueue(
        name=string(item["name"]),
        host=string(item["host"]),
        path_prefix=string(item["path_prefix"]),
        pool=string(item["service"]),
        priority=truncated_int(item.get("priority", 0)),
        max_attempts=truncated_int(item.get("max_attempts", 1)),
        slack_factor=number(item.get("slack_factor", 1.0)),
        target_latency_ms=truncated_int(item.get("target_latency_ms", 0)),
        timeout_ms=truncated_int(item.get("timeout_ms", 0)),
        public=bool(item.get("public", False)),
        advisor=_decode_advisor(item.get("placement_advisor")),
    )


def _decode_advisor(item: Mapping[str, Any] | None) -> AdvisorTimes | None:
    if not item:
        return None
    return AdvisorTimes(
        decision_ms=truncated_int(item["decision_ms"]),
        per_server_ms=truncated_int(item["period_ms"]),
        validity_ms=truncated_int(item["validity_ms"]),
    )


def _decode_pool(item: Mapping[str, Any]) -> ServerPool:
    return ServerPool(
        name=string(item["name"]),
        rejects_overload=bool(item.get("rejects_overload", False)),
        standby=bool(item.get("standby", False)),
    )


def _decode_organisation(item: Mapping[str, Any]) -> JobOrganisation:
    return JobOrganisation(
        name=string(item["name"]),
        keys=frozenset(strings(item.get("api_keys", []))),
        weight=number(item.get("weight", 1.0)),
        limit=decode_resources(item.get("cap") or {}),
    )


def _decode_limits(item: Mapping[str, Any]) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        truncated_int(item.get("max_header_bytes", defaults.max_header_bytes)),
        truncated_int(item.get("max_body_bytes", defaults.max_body_bytes)),
        truncated_int(item.get("header_timeout_ms", defaults.header_timeout_ms)),
        truncated_int(item.get("idle_timeout_ms", defaults.idle_timeout_ms)),
    )
