"""How a holder that lost the store finds a process to hold the lease instead of it."""

from abc import ABC, abstractmethod

__all__ = ["Successors"]


class Successors(ABC):
    """The other processes, as the holder of the lease reaches them."""

    @abstractmethod
    async def find(self, term: int) -> str | None:
        """Return the address of a process that the store answers and that knows this term."""

    @abstractmethod
    async def hand_over(self, peer: str, term: int) -> None:
        """Tell a process that this one gives no more orders under the term."""
