"""Interface to the platform for listing, moving and maintaining VMs."""

from abc import ABC, abstractmethod
from enum import StrEnum

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure
from fireflydeck.core.placement import Resources

__all__ = ["ListedVm", "ListedVmState", "VmOperationOutcome", "VmOrders"]


class ListedVmState(StrEnum):
    """State of a VM in the platform's list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class VmOperationOutcome(StrEnum):
    """Answer to an order for a move or a maintenance of a VM.

    `TAKEN`: the order was accepted; all others mean that nothing was done. `FENCED`: its fencing
    token is lower than one that the platform has seen.
    """

    TAKEN = "taken"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    INVALID = "invalid"


@frozen(kw_only=True)
class ListedVm:
    """A VM as the platform lists it.

    Parameters
    ----------
    server_id
        Id of the backend server on the VM; empty if there is none.
    labels
        Labels for the kind of the VM and its rack; a task may require one of them.
    """

    name: str
    pool: str
    state: ListedVmState
    data_centre: str
    rack: str
    capacity: Resources
    server_id: str
    labels: frozenset[str] = frozenset()


class VmOrders(ABC):
    """Client of the platform for its VMs.

    A failure with `Ran.NO` means that nothing was done.
    """

    @abstractmethod
    async def list_vms(self, *, timeout_ms: int) -> Result[tuple[ListedVm, ...], Failure]:
        """Return all VMs."""

    @abstractmethod
    async def move(
        self, *, vm: str, pool: str, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Move a VM to a pool; this ends all work on the VM immediately."""

    @abstractmethod
    async def start_maintenance(
        self, *, vm: str, wave: int, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Take a VM down for maintenance; this ends all work on the VM immediately."""
