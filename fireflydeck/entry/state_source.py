"""What other entry processes do for this one."""

from abc import ABC, abstractmethod

from attrs import frozen

from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest

__all__ = ["ForwardedAnswer", "RequestForwarder", "StateSource"]


class StateSource(ABC):
    """Tells states of jobs sooner than the store shows them."""

    @abstractmethod
    async def job_state(self, job_id: str) -> str | None:
        """Return a job's state, or `None` if it is not known."""


@frozen
class ForwardedAnswer:
    """The answer of another process, and its address."""

    peer: str
    answer: CallerAnswer


class RequestForwarder(ABC):
    """Passes callers' requests on to another entry process."""

    @abstractmethod
    async def forward(self, request: CallerRequest, *, timeout_ms: int) -> ForwardedAnswer | None:
        """Return another process's answer, or `None` if none answered in time."""
