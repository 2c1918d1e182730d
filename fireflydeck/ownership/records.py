"""Rows of the fleet's lease, and the record that names its holder."""

import msgpack
from attrs import Factory, asdict, fields_dict, frozen

from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.core.rows import RowKey
from fireflydeck.core.typed_values import mistyped_fields
from fireflydeck.ownership.published_overload import decode_overload
from fireflydeck.workload.records import FLEET_PARTITION

__all__ = [
    "COMMIT_ROW",
    "LEASE_ROW",
    "OWNERSHIP_TABLE",
    "ROSTER_ROW",
    "ROSTER_WORK_ROW",
    "TOKENS_PER_TERM",
    "VM_OPERATIONS_ROW",
    "LeaseRecord",
    "Tenure",
    "decode_lease",
]

OWNERSHIP_TABLE = "ownership"
LEASE_ROW = RowKey(OWNERSHIP_TABLE, FLEET_PARTITION, "lease")
"""Renewed by the holder; a lease whose row does not change for its `ttl_ms` may be acquired."""
COMMIT_ROW = RowKey(OWNERSHIP_TABLE, FLEET_PARTITION, "commits")
"""Changed by every commit of the holder, so that a delayed commit can't overwrite a newer one."""

ROSTER_ROW = RowKey("roster", FLEET_PARTITION, "servers")
"""Backend servers on which tasks that the holder started may be running."""
ROSTER_WORK_ROW = RowKey("roster", FLEET_PARTITION, "work")
"""Queues whose tasks may be running in each pool, and a bound of its servers' capacity."""
VM_OPERATIONS_ROW = RowKey("roster", FLEET_PARTITION, "duties")
"""VMs that got an order recently, have had their maintenance, or came from standby."""

TOKENS_PER_TERM = 100
"""Number of fencing tokens that a tenure owns; its term is the highest of them."""


@frozen
class Tenure:
    """Period in which one process holds the lease.

    Parameters
    ----------
    term
        Term of the lease, a number that increases with each acquisition. It is the highest
        fencing token of the tenure.
    since_version
        Version of the store with which the lease was acquired.
    since_ms
        When the lease was acquired, in milliseconds on the holder's own clock.
    earlier_term
        Term of the tenure before, whose fencing tokens are all lower; 0 if there was none.
    """

    term: int
    since_version: int
    since_ms: int
    earlier_term: int

    @property
    def first_token(self) -> int:
        """Return the lowest fencing token of the tenure."""
        return self.earlier_term + 1


@frozen(kw_only=True)
class LeaseRecord:
    """Holder of the lease, and the data that its last renewal published.

    Parameters
    ----------
    holder
        Name of the process; empty after a release.
    address
        ``ip:port`` where other processes reach it.
    term
        Increases with each acquisition; no order of the holder has a higher fencing token.
    sequence
        Increases with each acquisition, renewal and release.
    ttl_ms
        Time without a renewal after which another process may acquire the lease, in milliseconds.
    pending
        Number of jobs that have not started, by queue.
    candidate_delay_ms
        How long the holder waited before it acquired a free lease, so that processes on larger VMs
        could acquire it first, in milliseconds; 0 if its own VM is large.
    overload
        Overloaded pools by name.
    """

    holder: str
    address: str
    term: int
    sequence: int
    ttl_ms: int
    pending: dict[str, int] = Factory(dict)
    candidate_delay_ms: int = 0
    overload: dict[str, PoolOverload] = Factory(dict)

    def encode(self) -> bytes:
        """Encode the record for its row."""
        return msgpack.packb(asdict(self))


def decode_lease(content: bytes) -> LeaseRecord:
    """Decode a lease record; fields that a later version of the program added are ignored.

    Raises
    ------
    ValueError
        If the content is not a lease record.
    """
    try:
        document = msgpack.unpackb(content)
        known = {name: document[name] for name in fields_dict(LeaseRecord) if name in document}
        known["overload"] = decode_overload(document.get("overload"))
        record = LeaseRecord(**known)
    except (AttributeError, TypeError, ValueError) as error:
        raise ValueError(f"not a lease: {type(error).__name__}") from error
    if mistyped_fields(record):
        raise ValueError("not a lease: a field is invalid")
    return record
