"""Messages between entry processes, apart from answers to forwarded requests."""

from typing import Self

from attrs import frozen

from fireflydeck.core.rows import StoredRow
from fireflydeck.entry.caller_request import CallerRequest
from fireflydeck.entry.message import Message
from fireflydeck.workload.records import job_id_of, job_key

__all__ = [
    "ForwardedRequest",
    "StateAnswer",
    "StateQuery",
    "SubmissionNotice",
    "SuccessionNotice",
    "SuccessionQuery",
]


@frozen
class ForwardedRequest(Message):
    """A caller's request that the sender can't serve; see `CallerRequest` for its fields."""

    method: str
    host: str
    path: str
    key: str
    timeout_ms: int
    body: bytes

    @classmethod
    def from_request(cls, request: CallerRequest) -> Self:
        """Return the message that forwards a request."""
        return cls(
            request.method,
            request.host,
            request.path,
            request.key,
            request.timeout_ms,
            request.body,
        )

    def to_request(self, min_configuration_version: int) -> CallerRequest:
        """Return the request."""
        return CallerRequest(
            method=self.method,
            host=self.host,
            path=self.path,
            key=self.key,
            timeout_ms=self.timeout_ms,
            body=self.body,
            was_forwarded=True,
            min_configuration_version=min_configuration_version,
        )


@frozen
class StateQuery(Message):
    """Query of a job's state, sent to the lease holder.

    Parameters
    ----------
    sender
        ``ip:port`` where the querying process can be reached.
    """

    job_id: str
    sender: str


@frozen
class StateAnswer(Message):
    """State of a job; `None` if the answering process doesn't know it."""

    state: str | None


@frozen
class SuccessionQuery(Message):
    """Query whether a process could hold the lease after the term of the querying one.

    Parameters
    ----------
    from_smaller_vm
        Whether only a process on a large VM should agree. Unknown to older builds, which then do
        not agree.
    """

    term: int
    from_smaller_vm: bool | None = None


@frozen
class SuccessionNotice(Message):
    """Notice that the lease holder no longer gives orders under its term."""

    term: int


@frozen
class SubmissionNotice(Message):
    """Notice of a stored submission, sent to the lease holder.

    Parameters
    ----------
    content, version
        Value and version of the job's row.
    """

    job_id: str
    content: bytes
    version: int

    @classmethod
    def from_row(cls, row: StoredRow) -> Self:
        """Return the notice for a job's row."""
        return cls(job_id_of(row.id), row.value, row.version)

    def to_row(self) -> StoredRow:
        """Return the job's row."""
        return StoredRow(job_key(self.job_id), self.content, self.version)
