"""Scheduling by the lease holder: placement, leases of backend servers, runs and VM operations."""

from fireflydeck.scheduling.scheduler import Scheduler
from fireflydeck.scheduling.session import LEASE_EXTENSION_GRACE_MS
from fireflydeck.scheduling.tenure_scheduler import OrdersFactory, TenureScheduler

__all__ = [
    "LEASE_EXTENSION_GRACE_MS",
    "OrdersFactory",
    "Scheduler",
    "TenureScheduler",
]
