"""Interfaces of the services that job runners and job routes depend on."""

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
    """Outcome of the work for which a slot was granted.

    `HANDED_OVER` means that the work may still run on the VM, monitored by another member.
    """

    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"
    NOT_STARTED = "not-started"
    HANDED_OVER = "handed-over"


@frozen(kw_only=True)
class SlotGrant:
    """A slot on a VM, occupied until it is released.

    Parameters
    ----------
    granted_ms
        Monotonic time of the grant.
    """

    request_id: str
    vm: Vm
    granted_ms: int


class SlotSource(ABC):
    """Grants slots in fair order and within the organisations' limits."""

    @abstractmethod
    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Failure]:
        """Wait for a slot; a cancelled wait occupies no slot and leaves no queue entry."""

    @abstractmethod
    def release(self, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Release a granted slot and report the outcome of its work."""


class ConfigurationReader(Protocol):
    """Read access to the current configuration and its freshness."""

    @property
    def current(self) -> Configuration:
        """The newest configuration known to this process."""

    def is_fresh(self) -> bool:
        """Return whether the configuration was confirmed within the freshness bound."""

    def on_change(self, listener: Callable[[Configuration, Configuration], None]) -> None:
        """Call the listener with the previous and the new configuration after each change."""


class JobNotifier(ABC):
    """Notifies the owner of a queue about its jobs.

    A lost notification only delays the owner, which also scans the open jobs.
    """

    @abstractmethod
    async def job_queued(self, record: JobRecord) -> None:
        """Announce a committed job."""

    @abstractmethod
    async def job_cancelled(self, record: JobRecord) -> None:
        """Announce a cancellation."""
