"""Scheduling and maintenance policies: pure functions and small data structures without I/O.

The package imports only `core` and the job specification of `workload`.
"""

from fireflydeck.policy.estimates import RunTimeEstimates
from fireflydeck.policy.fair_order import Demand, FairOrder, WaitingRequest
from fireflydeck.policy.placement import PoolPlacement, VmLoad, fits_vm
from fireflydeck.policy.retry_budget import RetryBudget

__all__ = [
    "Demand",
    "FairOrder",
    "PoolPlacement",
    "RetryBudget",
    "RunTimeEstimates",
    "VmLoad",
    "WaitingRequest",
    "fits_vm",
]
