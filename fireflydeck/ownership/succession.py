"""Interface through which a holder that can't reach the store finds a successor."""

from abc import ABC, abstractmethod

__all__ = ["Successors"]


class Successors(ABC):
    """Processes that may take the lease over from its holder."""

    @abstractmethod
    async def find(self, term: int) -> str | None:
        """Return the address of a process that reaches the store and knows this term.

        Returns `None` if there is none.
        """

    @abstractmethod
    async def hand_over(self, peer: str, term: int) -> None:
        """Notify a process that this one has stopped giving orders under the term."""
