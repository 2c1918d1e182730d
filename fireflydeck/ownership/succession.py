"""Interface through which a lease holder that can't reach the store finds a successor."""

from abc import ABC, abstractmethod

__all__ = ["Successors"]


class Successors(ABC):
    """Processes that may take the lease over from its holder."""

    @abstractmethod
    async def find(self, term: int) -> str | None:
        """Return the address of a process that can take the lease over from the holder of `term`.

        Returns `None` if there is none.
        """

    @abstractmethod
    async def hand_over(self, peer: str, term: int) -> None:
        """Notify the process at `peer` that this one has stopped giving orders in the term."""
