"""VMs as the platform lists them, and orders to move them or take them down."""

from abc import ABC, abstractmethod
from enum import StrEnum

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure
from fireflydeck.core.placement import Resources

__all__ = ["DutyOutcome", "ListedVm", "VmListState", "VmOrders"]


class VmListState(StrEnum):
    """State of a VM."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class DutyOutcome(StrEnum):
    """Answers to a move or a maintenance; all but `TAKEN` mean that nothing was done."""

    TAKEN = "taken"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    INVALID = "invalid"


@frozen(kw_only=True)
class ListedVm:
    """A VM; `server_id` is the id of the backend server on it, empty if there is none.

    `labels` tell its kind and its rack; tasks may require one of them.
    """

    name: str
    pool: str
    state: VmListState
    data_centre: str
    rack: str
    capacity: Resources
    server_id: str
    labels: frozenset[str] = frozenset()


class VmOrders(ABC):
    """The platform's VM interface; a failure with `Ran.NO` means that nothing was done."""

    @abstractmethod
    async def list_vms(self, *, timeout_ms: int) -> Result[tuple[ListedVm, ...], Failure]:
        """Return all VMs."""

    @abstractmethod
    async def move(
        self, *, vm: str, pool: str, fencing_token: int, timeout_ms: int
    ) -> Result[DutyOutcome, Failure]:
        """Move a VM to a pool; all that runs there ends at once."""

    @abstractmethod
    async def maintenance(
        self, *, vm: str, wave: int, fencing_token: int, timeout_ms: int
    ) -> Result[DutyOutcome, Failure]:
        """Take a VM down for its maintenance; all that runs there ends at once."""
