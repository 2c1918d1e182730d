"""Allotments: a dispatcher's shares of the organisations' task limits in the fleet."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Organisation
from fireflydeck.kernel import Service

__all__ = ["Allotments", "WholeLimitAllotments"]


class Allotments(ABC):
    """Limits how many tasks of each organisation this dispatcher runs."""

    @abstractmethod
    def can_start(self, organisation: str) -> bool:
        """Return whether a task of the organisation may start now."""

    @abstractmethod
    def try_start(self, organisation: str) -> bool:
        """Count a starting task; return `False` if the allotment is exhausted."""

    @abstractmethod
    def finish(self, organisation: str) -> None:
        """Count a finished task."""

    @abstractmethod
    def set_waiting(self, organisation: str, waiting: int) -> None:
        """Set the number of the organisation's requests that wait for a slot here."""

    @abstractmethod
    def on_increase(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after an organisation's allotment has increased."""


class WholeLimitAllotments(Allotments, Service):
    """Allotments of a fleet with a single dispatcher, which has each limit to itself.

    Parameters
    ----------
    view
        The configuration with the organisations' limits.
    """

    def __init__(self, view: ConfigurationView) -> None:
        self._view = view
        self._running: dict[str, int] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "allotments"

    def can_start(self, organisation: str) -> bool:
        """Return whether a task of the organisation may start now."""
        if not organisation:
            return True
        entity = self._view.current.get(Organisation, organisation)
        return entity is not None and self._running.get(organisation, 0) < entity.limit

    def try_start(self, organisation: str) -> bool:
        """Count a starting task; return `False` if the limit is reached."""
        if not self.can_start(organisation):
            return False
        self._running[organisation] = self._running.get(organisation, 0) + 1
        return True

    def finish(self, organisation: str) -> None:
        """Count a finished task."""
        self._running[organisation] -= 1

    def set_waiting(self, organisation: str, waiting: int) -> None:
        """Do nothing: no other dispatcher shares the limit."""

    def on_increase(self, listener: Callable[[], None]) -> None:
        """Do nothing: the limit follows the configuration, which has its own listeners."""

    def state(self) -> dict[str, dict[str, int]]:
        """Return the number of running tasks by organisation."""
        return {
            "running": {
                organisation: count for organisation, count in self._running.items() if count
            }
        }
