"""Interfaces to the other entry processes: job states, announcements, forwarded requests."""

from abc import ABC, abstractmethod

from attrs import frozen

from fireflydeck.core.rows import StoredRow
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest

__all__ = ["ForwardResult", "JobStateSource", "RequestForwarder", "SubmissionAnnouncer"]


class JobStateSource(ABC):
    """Source of job states that are newer than those in the store."""

    @abstractmethod
    async def job_state(self, job_id: str) -> str | None:
        """Return a job's state, or `None` if the source doesn't know it."""


class SubmissionAnnouncer(ABC):
    """Announces stored submissions to the lease holder.

    Without an announcement, the lease holder reads them later from the store's changes.
    """

    @abstractmethod
    def announce(self, row: StoredRow) -> None:
        """Announce a job's row that was stored.

        Return without waiting; the announcement may be lost.
        """


@frozen(kw_only=True)
class ForwardResult:
    """Result of forwarding a request.

    Parameters
    ----------
    peer
        Address of the process that answered; empty if none did.
    answer
        Its answer; `None` if no process gave a final answer.
    is_uncertain
        Whether a process that gave no final answer may have served the request or may still do so.
    """

    peer: str = ""
    answer: CallerAnswer | None = None
    is_uncertain: bool = False


class RequestForwarder(ABC):
    """Forwards callers' requests to other entry processes."""

    @abstractmethod
    async def forward(self, request: CallerRequest, *, timeout_ms: int) -> ForwardResult:
        """Forward a request to another process, which has to answer within the timeout."""
