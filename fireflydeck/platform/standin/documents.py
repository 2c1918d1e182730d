"""Sample documents and requests of operators, backend servers, callers and the platform."""

from collections.abc import Mapping
from typing import Any

import orjson

from fireflydeck.core.fleet_configuration import AdvisorTimes
from fireflydeck.core.rows import RowKey, RowTransaction, RowWrite
from fireflydeck.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    REGISTRATION_TABLE,
    WAVE_PREFIX,
    wave_status_key,
)
from fireflydeck.standins.memory_rows import MemoryRows

__all__ = [
    "CALLER_HEADERS",
    "JOB_PATH_PREFIX",
    "MAX_ATTEMPTS",
    "configuration_document",
    "put_configuration",
    "put_evacuation",
    "put_operator_document",
    "put_registration",
    "put_wave",
    "read_wave_state",
    "registration_document",
    "remove_configuration",
    "remove_evacuation",
    "remove_registration",
    "remove_wave",
    "settings_document",
    "submission_document",
]

_API_KEY = "key-1"
_HOST = "paint.example"
CALLER_HEADERS = {"Host": _HOST, "Api-Key": _API_KEY}
"""Headers of a caller of the sample queue."""
JOB_PATH_PREFIX = "/swatch/"
"""Path prefix of the sample queue; a job's id follows it."""
MAX_ATTEMPTS = 2
"""Number of failed runs of a task after which its job fails, in the sample queue."""
_DATA_CENTRE = "zvolen"
_POOL = "paint"
_WAVE_DURATION_S = 20
_MAX_BODY_BYTES = 2000


def configuration_document(
    *,
    version: int = 3,
    keys: tuple[str, ...] = (_API_KEY,),
    further_queues: tuple[str, ...] = (),
    advisor: AdvisorTimes | None = None,
    idle_timeout_ms: int | None = None,
    cpu_limit: int = 64_000,
    pool: str = _POOL,
    further_pool: str = _POOL,
    has_queue: bool = True,
    max_attempts: int = MAX_ATTEMPTS,
    max_body_bytes: int = _MAX_BODY_BYTES,
) -> bytes:
    """Return a configuration with one queue, one organisation, a pool and a standby pool.

    Parameters
    ----------
    keys
        Keys of the organisation.
    further_queues
        Names of queues beside the sample queue; the path prefix of each is its name.
    advisor
        Times of the queue's placement advisor; `None` for a queue without one.
    idle_timeout_ms
        Longest time without a byte while a request arrives; `None` for the default.
    cpu_limit
        Limit on the organisation's running tasks, in thousandths of a core.
    pool, further_pool
        Pool of the queue, and pool of the further queues.
    has_queue
        Whether the queue is in the configuration, beside the further ones.
    max_attempts
        Number of failed runs of a task at which its job fails.
    max_body_bytes
        Limit on the body of a request, in bytes.
    """
    route: dict[str, Any] = {
        "name": "swatches",
        "host": _HOST,
        "path_prefix": JOB_PATH_PREFIX,
        "route_type": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": pool,
        "max_attempts": max_attempts,
        "slack_factor": 1.6,
        "public": False,
    }
    if advisor is not None:
        route["placement_advisor"] = {
            "decision_ms": advisor.decision_ms,
            "period_ms": advisor.per_server_ms,
            "validity_ms": advisor.validity_ms,
        }
    limits = {"max_body_bytes": max_body_bytes}
    if idle_timeout_ms is not None:
        limits["idle_timeout_ms"] = idle_timeout_ms
    organisation = {
        "name": "museum",
        "api_keys": list(keys),
        "weight": 4,
        "cap": {"cpu": cpu_limit, "mem_mb": 0, "gpus": 0},
    }
    services = [
        *(
            {"name": name, "rejects_overload": True, "standby": False}
            for name in sorted({_POOL, pool, further_pool})
        ),
        {"name": "spare", "rejects_overload": True, "standby": True},
    ]
    return orjson.dumps(
        {
            "version": version,
            "routes": [
                *([route] if has_queue else ()),
                *(_further_route(route, name, further_pool) for name in further_queues),
            ],
            "services": services,
            "limits": limits,
            "tenants": [organisation],
        }
    )


def _further_route(route: dict[str, Any], name: str, pool: str) -> dict[str, Any]:
    return {**route, "name": name, "path_prefix": f"/{name}/", "service": pool}


def registration_document(**fields: Any) -> bytes:
    """Return a backend server's registration; `fields` replace or extend the sample fields."""
    document = {
        "service": _POOL,
        "address": "10.128.0.9:8080",
        "zone": _DATA_CENTRE,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 32_000, "mem_mb": 65_536, "gpus": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 0,
        "sequence": 4,
        "born": 1,
    }
    return orjson.dumps({**document, **fields})


def put_configuration(rows: MemoryRows, **options: Any) -> None:
    """Write a configuration; `options` are those of `configuration_document`."""
    _put(rows, OPERATOR_TABLE, CONFIGURATION_KEY, configuration_document(**options))


def put_evacuation(rows: MemoryRows, data_centre: str = _DATA_CENTRE) -> None:
    """Request the evacuation of a data centre."""
    _put(rows, OPERATOR_TABLE, EVACUATION_PREFIX + data_centre, b"{}")


def remove_evacuation(rows: MemoryRows, data_centre: str = _DATA_CENTRE) -> None:
    """Put an evacuated data centre in service again."""
    _remove(rows, OPERATOR_TABLE, EVACUATION_PREFIX + data_centre)


def put_operator_document(rows: MemoryRows, key: str, content: bytes) -> None:
    """Write arbitrary content as an operators' document."""
    _put(rows, OPERATOR_TABLE, key, content)


def remove_configuration(rows: MemoryRows) -> None:
    """Remove the configuration's row."""
    _remove(rows, OPERATOR_TABLE, CONFIGURATION_KEY)


def read_wave_state(rows: MemoryRows, number: int) -> str | None:
    """Return the published state of a maintenance wave; `None` if none was published yet."""
    row = rows.get(wave_status_key(number))
    return orjson.loads(row.value)["state"] if row is not None else None


def put_wave(rows: MemoryRows, number: int, vms: list[str], *, max_at_once: int) -> None:
    """Request a maintenance wave.

    Parameters
    ----------
    max_at_once
        Maximum number of VMs that may be down for maintenance at a time.
    """
    document = {
        "maintenance_wave": number,
        "machines": vms,
        "duration_s": _WAVE_DURATION_S,
        "cap": max_at_once,
    }
    _put(rows, OPERATOR_TABLE, f"{WAVE_PREFIX}{number}", orjson.dumps(document))


def remove_wave(rows: MemoryRows, number: int) -> None:
    """Withdraw a maintenance wave."""
    _remove(rows, OPERATOR_TABLE, f"{WAVE_PREFIX}{number}")


def put_registration(
    rows: MemoryRows,
    server_id: str,
    *,
    address: str,
    born_ms: int = 1,
    data_centre: str = _DATA_CENTRE,
    **fields: Any,
) -> None:
    """Register a backend server."""
    content = registration_document(address=address, born=born_ms, zone=data_centre, **fields)
    _put(rows, REGISTRATION_TABLE, server_id, content)


def remove_registration(rows: MemoryRows, server_id: str) -> None:
    """Remove a backend server's registration."""
    _remove(rows, REGISTRATION_TABLE, server_id)


def submission_document(
    payload: str, *, tasks: int, estimated_ms: int = 600, is_speculative: bool = False
) -> bytes:
    """Return a submission of a job with one step."""
    step: dict[str, Any] = {"count": tasks, "cpu": 500, "estimated_ms": estimated_ms}
    if is_speculative:
        step["speculative"] = True
    return orjson.dumps({"spec": payload, "steps": [step]})


def settings_document(
    *,
    name: str,
    caller_address: str,
    readiness_address: str,
    internal_port: int,
    store_address: str,
    vm_address: str,
    limits: Mapping[str, float] | None = None,
) -> bytes:
    """Return the settings file of an entry process; `limits` replace or extend the sample ones."""
    host = caller_address.rpartition(":")[0]
    bounds = {
        "max_hold_ms": 6000,
        "stop_timeout_ms": 900,
        "lease_ms": 3000,
        "notice_ms": 4500,
        "grace_s": 6,
        "cancel_ms": 3000,
        "status_s": 120,
    }
    return orjson.dumps(
        {
            "node_name": name,
            "ip": host,
            "zone": _DATA_CENTRE,
            "listen_addresses": {"frontend": caller_address, "readiness": readiness_address},
            "internal_port_range": [internal_port, internal_port],
            "heartbeat_ms": 1500,
            "limits": {"memory_mb": 300, **(limits or {})},
            "bounds": bounds,
            "platform": {"address": store_address, "transaction_ms": 6.0},
            "cloud_api": {"address": vm_address},
        }
    )


def _remove(rows: MemoryRows, table: str, key: str) -> None:
    rows.commit(RowTransaction(removals=(RowKey(table, "", key),)))


def _put(rows: MemoryRows, table: str, key: str, content: bytes) -> None:
    rows.commit(RowTransaction(writes=(RowWrite(RowKey(table, "", key), content),)))
