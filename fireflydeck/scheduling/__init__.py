"""The work of the lease's holder: placement, leases of backend servers, ends and duties."""

from fireflydeck.scheduling.scheduler import Scheduler
from fireflydeck.scheduling.tenure_run import EXTENDED_HOLD_MS, OrdersFactory, TenureRun

__all__ = [
    "EXTENDED_HOLD_MS",
    "OrdersFactory",
    "Scheduler",
    "TenureRun",
]
