"""Interface of the platform's placement advisor: the backend servers that may run a step."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure

__all__ = ["Advice", "PlacementAdvisor"]


@frozen
class Advice:
    """Answer of the placement advisor.

    Parameters
    ----------
    tickets
        Ticket of each backend server that may run the step, by the id of the server.
    validity_ms
        How long the tickets are valid, in milliseconds.
    """

    tickets: dict[str, str]
    validity_ms: int


class PlacementAdvisor(ABC):
    """Issuer of the tickets that permit the start of a step on a backend server.

    It handles one call at a time from each process.
    """

    @abstractmethod
    async def advise(
        self, step: str, server_ids: Sequence[str], *, timeout_ms: int
    ) -> Result[Advice, Failure]:
        """Query which of the given backend servers may run a step.

        Parameters
        ----------
        server_ids
            Ids of the backend servers, at most 100.
        """
