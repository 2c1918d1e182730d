"""Where the states of jobs are asked for before the store."""

from abc import ABC, abstractmethod

__all__ = ["StateSource"]


class StateSource(ABC):
    """Knows the states of jobs."""

    @abstractmethod
    async def job_state(self, job_id: str) -> str | None:
        """Return a job's state; `None` if it is not known, and the store has to be read."""
