"""Value objects of the scheduler: slot grants and their outcomes."""

from enum import StrEnum

from attrs import frozen

from fireflydeck.core import SlotRequest, Vm

__all__ = ["SlotGrant", "SlotOutcome", "SlotRequest"]


class SlotOutcome(StrEnum):
    """Result of the use of a granted slot.

    `FINISHED`, `FAILED` and `UNREACHABLE` count in the VM's failure rate, `REFUSED` pauses the VM
    for a short time, and `UNUSED` affects neither.
    """

    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNUSED = "unused"


@frozen(kw_only=True)
class SlotGrant:
    """A slot on a VM; it must be released exactly once.

    Parameters
    ----------
    grant_id
        Identifier, unique in this process.
    granted_ms
        Monotonic time of the grant, in milliseconds.
    """

    grant_id: int
    request_id: str
    vm: Vm
    granted_ms: int
