"""The lease of the fleet: who schedules, and who takes over."""

from fireflydeck.ownership.lease import LeaseKeeper, Tenure
from fireflydeck.ownership.records import (
    BORROWED_ROW,
    COMMIT_ROW,
    LEASE_ROW,
    OWNERSHIP_TABLE,
    ROSTER_ROW,
    UPKEEP_ROW,
    LeaseRecord,
    decode_lease,
)

__all__ = [
    "BORROWED_ROW",
    "COMMIT_ROW",
    "LEASE_ROW",
    "LeaseKeeper",
    "LeaseRecord",
    "OWNERSHIP_TABLE",
    "ROSTER_ROW",
    "Tenure",
    "UPKEEP_ROW",
    "decode_lease",
]
