"""Settings file that the platform provides to each process."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson
from attrs import frozen

from fireflydeck.platform.fields import FIELD_ERRORS

__all__ = [
    "SETTINGS_VARIABLE",
    "PlatformTimeBounds",
    "NodeSettings",
    "NodeSettingsError",
    "load_node_settings",
    "settings_path",
]

SETTINGS_VARIABLE = "FIREFLYDECK_BOOT"
_DEFAULT_PATH = "/etc/fireflydeck/node.json"
_MS_PER_S = 1000
_UNLIMITED_LINK_MBPS = 1000.0
"""Bandwidth if the file gives no limit, in Mbit/s."""


@frozen
class NodeSettingsError(Exception):
    """A settings file that is unreadable, or that has a missing or invalid field."""

    path: str
    detail: str

    def __str__(self) -> str:
        return f"settings file {self.path}: {self.detail}"


@frozen(kw_only=True)
class PlatformTimeBounds:
    """Time bounds of the platform, in milliseconds.

    Parameters
    ----------
    max_lease_ms
        Longest lease that a backend server grants.
    stop_timeout_ms
        Longest time that a stop takes.
    vm_order_lease_ms
        Time that must pass between the VM orders of two successive lease holders.
    notice_ms
        How long a task that was unavailable counts as unavailable.
    grace_ms
        Time from SIGTERM to SIGKILL.
    outcome_retention_ms
        How long callers may query the outcome of a job.
    interference_ms
        How long a serving task may exceed its target latency because of other tasks.
    throttle_delay_ms
        Time until a changed throttle percentage takes effect.
    migration_ms
        Time that the move of a VM to another pool takes.
    maintenance_ms
        Time that the maintenance of a VM takes.
    """

    max_lease_ms: int
    stop_timeout_ms: int
    vm_order_lease_ms: int
    notice_ms: int
    grace_ms: int
    cancel_ms: int
    early_ms: int
    outcome_retention_ms: int
    interference_ms: int
    throttle_delay_ms: int
    migration_ms: int
    maintenance_ms: int


@frozen(kw_only=True)
class NodeSettings:
    """Settings of this process.

    Parameters
    ----------
    caller_address, readiness_address
        ``ip:port`` to listen on.
    internal_ports
        First and last port for connections between the processes of the system.
    transaction_ms
        Time that one transaction of the store takes.
    vm_api_address, advisor_address
        ``ip:port`` of the platform's VM interface and placement advisor; empty for none.
    cores
        Processor time that the VM provides per second, in seconds.
    link_mbps
        Bandwidth of the VM's network link, in Mbit/s.
    client_memory_mb
        Memory for the connections and requests of clients, in MB; `None` for a part of
        `memory_mb`.
    client_connections
        Open connections of callers; `None` for a number that fits the memory and the
        descriptors.
    """

    name: str
    ip: str
    data_centre: str
    caller_address: str
    readiness_address: str
    internal_ports: tuple[int, int]
    heartbeat_ms: int
    bounds: PlatformTimeBounds
    store_address: str
    transaction_ms: float
    vm_api_address: str
    advisor_address: str
    memory_mb: int
    cores: float
    link_mbps: float
    client_memory_mb: int | None = None
    client_connections: int | None = None


def settings_path(environment: Mapping[str, str] | None = None) -> Path:
    """Return the path of the settings file, from the environment or the default."""
    variables = os.environ if environment is None else environment
    return Path(variables.get(SETTINGS_VARIABLE) or _DEFAULT_PATH)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check the settings file; unknown fields are ignored.

    Raises
    ------
    NodeSettingsError
        If it is unreadable, or a field is missing or invalid.
    """
    try:
        document = orjson.loads(path.read_bytes())
        return _decode(document)
    except OSError as error:
        raise NodeSettingsError(str(path), str(error)) from error
    except orjson.JSONDecodeError as error:
        raise NodeSettingsError(str(path), f"not JSON: {error}") from error
    except KeyError as error:
        raise NodeSettingsError(str(path), f"field {error} is missing") from error
    except FIELD_ERRORS as error:
        raise NodeSettingsError(str(path), f"wrong value: {error}") from error


def _decode(document: Mapping[str, Any]) -> NodeSettings:
    listen = document["listen_addresses"]
    first_port, last_port = document["internal_port_range"]
    store = document["platform"]
    vm_api = document.get("cloud_api") or {}
    limits = document["limits"]
    return NodeSettings(
        name=_non_empty_string(document, "node_name"),
        ip=_non_empty_string(document, "ip"),
        data_centre=_non_empty_string(document, "zone"),
        caller_address=_non_empty_string(listen, "frontend"),
        readiness_address=_non_empty_string(listen, "readiness"),
        internal_ports=(int(first_port), int(last_port)),
        heartbeat_ms=int(document.get("heartbeat_ms", 1500)),
        bounds=_bounds(document["bounds"]),
        store_address=_non_empty_string(store, "address"),
        transaction_ms=float(store.get("transaction_ms", 6.0)),
        vm_api_address=vm_api.get("address") or "",
        advisor_address=document.get("placement_advisor") or "",
        memory_mb=int(limits["memory_mb"]),
        cores=float(limits.get("cpu_share", 1.0)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("link_mbps", _UNLIMITED_LINK_MBPS)),
        client_memory_mb=_optional_int(limits, "client_memory_mb"),
        client_connections=_optional_int(limits, "client_connections"),
    )


def _bounds(document: Mapping[str, Any]) -> PlatformTimeBounds:
    return PlatformTimeBounds(
        max_lease_ms=int(document.get("max_hold_ms", 6000)),
        stop_timeout_ms=int(document.get("stop_timeout_ms", 900)),
        vm_order_lease_ms=int(document.get("lease_ms", 3000)),
        notice_ms=int(document.get("notice_ms", 4500)),
        grace_ms=int(document.get("grace_s", 6) * _MS_PER_S),
        cancel_ms=int(document.get("cancel_ms", 3000)),
        early_ms=int(document.get("early_ms", 250)),
        outcome_retention_ms=int(document.get("status_s", 120) * _MS_PER_S),
        interference_ms=int(document.get("interference_ms", 4000)),
        throttle_delay_ms=int(document.get("rate_window_ms", 100)),
        migration_ms=int(document.get("migration_s", 1.5) * _MS_PER_S),
        maintenance_ms=int(document.get("maintenance_s", 2) * _MS_PER_S),
    )


def _optional_int(document: Mapping[str, Any], name: str) -> int | None:
    value = document.get(name)
    return None if value is None else int(value)


def _non_empty_string(document: Mapping[str, Any], name: str) -> str:
    value = document[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string")
    return value
