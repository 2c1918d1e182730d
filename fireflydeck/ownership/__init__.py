"""The fleet's lease, whose holder schedules, and its hand-over to another process."""

from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import (
    COMMIT_ROW,
    DUTIES_ROW,
    LEASE_ROW,
    OWNERSHIP_TABLE,
    ROSTER_ROW,
    LeaseRecord,
    Tenure,
    decode_lease,
)

__all__ = [
    "COMMIT_ROW",
    "DUTIES_ROW",
    "LEASE_ROW",
    "LeaseKeeper",
    "LeaseRecord",
    "OWNERSHIP_TABLE",
    "ROSTER_ROW",
    "Tenure",
    "decode_lease",
]
