"""The work of the lease's holder: placement, leases of backend servers, ends and duties."""

from fireflydeck.scheduling.scheduler import Scheduler
from fireflydeck.scheduling.server_reports import EXTENDED_HOLD_MS
from fireflydeck.scheduling.tenure_run import OrdersFactory, TenureRun

__all__ = [
    "EXTENDED_HOLD_MS",
    "OrdersFactory",
    "Scheduler",
    "TenureRun",
]
