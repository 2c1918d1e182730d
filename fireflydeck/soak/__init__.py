"""Soak test of the entry role: real processes under random faults, checked for violations."""

from fireflydeck.soak.fault_plan import FaultKind, PlannedFault, plan_faults
from fireflydeck.soak.observations import JobRecord
from fireflydeck.soak.promises import Violation, check_promises

__all__ = [
    "FaultKind",
    "JobRecord",
    "PlannedFault",
    "Violation",
    "check_promises",
    "plan_faults",
]
