"""Immutable value objects, the clock and errors; imports no other package of the project."""

from fireflydeck.core.clock import Clock, SystemClock
from fireflydeck.core.configuration import (
    ENTITY_TYPES,
    Configuration,
    ConfigurationChange,
    VersionGapError,
)
from fireflydeck.core.entities import (
    DataCentre,
    Entity,
    EntityKey,
    MaintenanceWindow,
    Member,
    MemberRole,
    Organisation,
    Pool,
    Queue,
    Urgency,
    Vm,
    VmState,
)
from fireflydeck.core.errors import Failure, FireflydeckError, Ran, Reason
from fireflydeck.core.requests import Answer, Header, JobState, Request, end_to_end_headers
from fireflydeck.core.slots import SlotRequest

__all__ = [
    "ENTITY_TYPES",
    "Answer",
    "Clock",
    "Configuration",
    "ConfigurationChange",
    "DataCentre",
    "Entity",
    "EntityKey",
    "Failure",
    "FireflydeckError",
    "Header",
    "JobState",
    "MaintenanceWindow",
    "Member",
    "MemberRole",
    "Pool",
    "Queue",
    "Ran",
    "Reason",
    "Request",
    "SlotRequest",
    "SystemClock",
    "Organisation",
    "Urgency",
    "VersionGapError",
    "Vm",
    "VmState",
    "end_to_end_headers",
]
