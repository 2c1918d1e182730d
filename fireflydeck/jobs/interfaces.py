"""What the jobs of a process need from its other parts."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import frozen
from expression import Result

from fireflydeck.core import Configuration, Failure, SlotRequest, Vm
from fireflydeck.jobs.record import JobRecord

__all__ = [
    "ConfigurationReader",
    "JobNotifier",
    "SlotGrant",
    "SlotOutcome",
    "SlotRequest",
    "SlotSource",
]


class SlotOutcome(StrEnum):
    """What became of the work for which a slot was granted.

    `HANDED_OVER` work may still run on the VM, attended by another member.
    """

    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"
    NOT_STARTED = "not-started"
    HANDED_OVER = "handed-over"


@frozen(kw_only=True)
class SlotGrant:
    """A slot on a VM, held until its release.

    Parameters
    ----------
    granted_ms
        Monotonic time of the grant.
    """

    request_id: str
    vm: Vm
    granted_ms: int


class SlotSource(ABC):
    """Gives out slots in fair order and within the organisations' limits."""

    @abstractmethod
    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Failure]:
        """Wait for a slot; a cancelled wait leaves nothing behind."""

    @abstractmethod
    def release(self, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Give a slot back."""


class ConfigurationReader(Protocol):
    """The configuration in force and whether it is known to be current."""

    @property
    def current(self) -> Configuration:
        """The newest configuration known here."""

    def is_fresh(self) -> bool:
        """Tell whether the configuration was confirmed within the freshness bound."""

    def on_change(self, listener: Callable[[Configuration, Configuration], None]) -> None:
        """Call the listener with the previous and the new configuration after each change."""


class JobNotifier(ABC):
    """Tells the owner of a queue about its jobs; a lost notice costs only time."""

    @abstractmethod
    async def job_queued(self, record: JobRecord) -> None:
        """Announce a committed job."""

    @abstractmethod
    async def job_cancelled(self, record: JobRecord) -> None:
        """Announce a cancellation."""
