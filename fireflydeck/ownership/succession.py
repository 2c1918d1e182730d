"""Interface through which a lease holder that should not go on finds a successor."""

from abc import ABC, abstractmethod

__all__ = ["Successors"]


class Successors(ABC):
    """Processes that may take the lease over from its holder."""

    @abstractmethod
    async def find(self, term: int, *, from_smaller_vm: bool = False) -> str | None:
        """Return the address of a process that can take the lease over from the holder of `term`.

        Returns `None` if there is none.

        Parameters
        ----------
        from_smaller_vm
            Whether only processes on large VMs qualify, since the holder is on a small one.
        """

    @abstractmethod
    async def hand_over(self, peer: str, term: int) -> None:
        """Notify the process at `peer` that this one has stopped giving orders in the term."""
