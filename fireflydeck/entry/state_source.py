"""What other entry processes do for this one."""

from abc import ABC, abstractmethod

from attrs import frozen

from fireflydeck.core.rows import StoredRow
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest

__all__ = ["ForwardResult", "RequestForwarder", "StateSource", "SubmissionAnnouncer"]


class StateSource(ABC):
    """Tells states of jobs sooner than the store shows them."""

    @abstractmethod
    async def job_state(self, job_id: str) -> str | None:
        """Return a job's state, or `None` if it is not known."""


class SubmissionAnnouncer(ABC):
    """Tells the holder of the lease of submissions before the store's changes do."""

    @abstractmethod
    def announce(self, row: StoredRow) -> None:
        """Tell of a job's row that was stored; returns at once, and the news may get lost."""


@frozen(kw_only=True)
class ForwardResult:
    """What became of a request that was passed on.

    Parameters
    ----------
    peer
        Address of the process that answered; empty for none.
    answer
        Its answer; `None` if no process had the store.
    is_uncertain
        Whether a process that gave no final answer may have served the request, or may do so yet.
    """

    peer: str = ""
    answer: CallerAnswer | None = None
    is_uncertain: bool = False


class RequestForwarder(ABC):
    """Passes callers' requests on to another entry process."""

    @abstractmethod
    async def forward(self, request: CallerRequest, *, timeout_ms: int) -> ForwardResult:
        """Let another process answer within the time."""
