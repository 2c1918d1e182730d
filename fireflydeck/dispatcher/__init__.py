"""Dispatching of requests: queueing, slot allocation and execution on backend servers."""

from fireflydeck.dispatcher.allotments import Allotments, WholeLimitAllotments
from fireflydeck.dispatcher.backend_client import (
    BackendClient,
    BackendClientOptions,
    BackendRequest,
)
from fireflydeck.dispatcher.dispatcher import Dispatcher
from fireflydeck.dispatcher.fleet_allotments import ALLOTMENTS_TABLE, FleetAllotments
from fireflydeck.dispatcher.idempotency import IDEMPOTENCY_TABLE, IdempotencyKeys
from fireflydeck.dispatcher.scheduler import Scheduler
from fireflydeck.dispatcher.slots import SlotGrant, SlotOutcome, SlotRequest

__all__ = [
    "ALLOTMENTS_TABLE",
    "IDEMPOTENCY_TABLE",
    "Allotments",
    "BackendClient",
    "BackendClientOptions",
    "BackendRequest",
    "Dispatcher",
    "FleetAllotments",
    "IdempotencyKeys",
    "Scheduler",
    "SlotGrant",
    "SlotOutcome",
    "SlotRequest",
    "WholeLimitAllotments",
]
