"""Builders of configuration entities and requests with default values."""

from typing import Any

from fireflydeck.core import (
    Configuration,
    ConfigurationChange,
    DataCentre,
    Entity,
    Organisation,
    Pool,
    Queue,
    Request,
    Vm,
)

__all__ = ["build_configuration", "build_request", "build_vm"]


def build_vm(name: str = "vm-1", **fields: Any) -> Vm:
    """Return a VM of pool ``records`` in data centre ``dc-1``."""
    defaults = {
        "pool": "records",
        "address": "127.0.0.1:9",
        "data_centre": "dc-1",
        "rack": "rack-1",
    }
    return Vm(name=name, **{**defaults, **fields})


def build_configuration(*entities: Entity, version: int = 1) -> Configuration:
    """Return a configuration with a small default fleet and the given entities.

    The default fleet has data centre ``dc-1``, pool and queue ``records``, one VM and organisation
    ``museum``; a given entity replaces the default one of the same kind and name.
    """
    defaults = (
        DataCentre(name="dc-1", region="r-1"),
        Pool(name="records"),
        Queue(name="records", pool="records"),
        Organisation(name="museum", share=1, limit=8),
        build_vm(),
    )
    change = ConfigurationChange(version=version, change_id="build", puts=defaults + entities)
    return Configuration(version=version - 1).apply(change)


def build_request(request_id: str = "r-1", **fields: Any) -> Request:
    """Return a request of organisation ``museum`` for queue ``records``."""
    return Request(
        request_id=request_id, **{"queue": "records", "organisation": "museum", **fields}
    )
