"""Upper limits of organisations over the fleet: this dispatcher's part of each limit."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Organisation
from fireflydeck.kernel import Service

__all__ = ["Allotments", "WholeLimitAllotments"]


class Allotments(ABC):
    """How many tasks of an organisation this dispatcher may run."""

    @abstractmethod
    def can_start(self, organisation: str) -> bool:
        """Tell whether a task of the organisation may start now."""

    @abstractmethod
    def try_start(self, organisation: str) -> bool:
        """Count a starting task; `False` if the allotment is used up."""

    @abstractmethod
    def finish(self, organisation: str) -> None:
        """Count a finished task."""

    @abstractmethod
    def set_waiting(self, organisation: str, waiting: int) -> None:
        """Tell how many requests of the organisation wait here for a slot."""

    @abstractmethod
    def on_increase(self, listener: Callable[[], None]) -> None:
        """Call the listener after more tasks of some organisation may run."""


class WholeLimitAllotments(Allotments, Service):
    """Gives this process the whole limit; for fleets with a single dispatcher.

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
        """Tell whether a task of the organisation may start now."""
        if not organisation:
            return True
        entity = self._view.current.get(Organisation, organisation)
        return entity is not None and self._running.get(organisation, 0) < entity.limit

    def try_start(self, organisation: str) -> bool:
        """Count a starting task."""
        if not self.can_start(organisation):
            return False
        self._running[organisation] = self._running.get(organisation, 0) + 1
        return True

    def finish(self, organisation: str) -> None:
        """Count a finished task."""
        self._running[organisation] -= 1

    def set_waiting(self, organisation: str, waiting: int) -> None:
        """Do nothing: there is nobody to share the limit with."""

    def on_increase(self, listener: Callable[[], None]) -> None:
        """Do nothing: the limit follows the configuration, which has its own listeners."""

    def state(self) -> dict[str, dict[str, int]]:
        """Return running tasks by organisation."""
        return {
            "running": {
                organisation: count for organisation, count in self._running.items() if count
            }
        }
