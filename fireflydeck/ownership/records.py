"""The row that tells who holds the fleet's lease."""

import msgpack
from attrs import Factory, asdict, fields_dict, frozen

from fireflydeck.core.rows import RowKey
from fireflydeck.workload.records import FLEET_PARTITION

__all__ = [
    "COMMIT_ROW",
    "DUTIES_ROW",
    "LEASE_ROW",
    "OWNERSHIP_TABLE",
    "ROSTER_ROW",
    "LeaseRecord",
    "Tenure",
    "decode_lease",
]

OWNERSHIP_TABLE = "ownership"
LEASE_ROW = RowKey(OWNERSHIP_TABLE, FLEET_PARTITION, "lease")
"""Renewed by the holder; a row that stands still for its `ttl_ms` is free to take."""
COMMIT_ROW = RowKey(OWNERSHIP_TABLE, FLEET_PARTITION, "commits")
"""Changes with every commit of the holder, so that a late one can't overwrite a newer one."""

ROSTER_ROW = RowKey("roster", FLEET_PARTITION, "servers")
"""Backend servers that may run what the holder started."""
DUTIES_ROW = RowKey("roster", FLEET_PARTITION, "duties")
"""VMs that were ordered lately, had their maintenance, or came from standby."""


@frozen
class Tenure:
    """One holding of the lease: its term, and the store's version from which it holds."""

    term: int
    since_version: int
    since_ms: int


@frozen(kw_only=True)
class LeaseRecord:
    """Who holds the lease.

    Parameters
    ----------
    holder
        Name of the process; empty after a release.
    address
        ``ip:port`` where other processes reach it.
    term
        Grows with each change of the holder; the fencing token of all orders.
    sequence
        Grows with each renewal.
    ttl_ms
        Time without a renewal after which the lease may be taken.
    pending
        Jobs that have not begun, by queue.
    candidate_delay_ms
        How long the holder left the lease to processes on larger VMs; 0 if its own is large.
    """

    holder: str
    address: str
    term: int
    sequence: int
    ttl_ms: int
    pending: dict[str, int] = Factory(dict)
    candidate_delay_ms: int = 0

    def encode(self) -> bytes:
        """Encode for the row."""
        return msgpack.packb(asdict(self))


def decode_lease(content: bytes) -> LeaseRecord:
    """Decode the row; fields that a later version of the program adds are left out.

    Raises
    ------
    ValueError
        If it is not a lease.
    """
    try:
        document = msgpack.unpackb(content)
        known = {name: document[name] for name in fields_dict(LeaseRecord) if name in document}
        return LeaseRecord(**known)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise ValueError(f"not a lease: {error}") from error
