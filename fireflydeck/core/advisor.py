"""The platform's service that knows which backend servers may run a step."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure

__all__ = ["Advice", "PlacementAdvisor"]


@frozen
class Advice:
    """Tickets by the id of the backend server that may run a step, and how long they hold."""

    tickets: dict[str, str]
    validity_ms: int


class PlacementAdvisor(ABC):
    """Gives tickets for starts; it serves one call of a process at a time."""

    @abstractmethod
    async def advise(
        self, step: str, server_ids: Sequence[str], *, timeout_ms: int
    ) -> Result[Advice, Failure]:
        """Ask which of some backend servers may run a step; at most a hundred at a time."""
