"""Messages between entry processes, apart from forwarded requests and their answers."""

from typing import Any, Self

import msgpack
from attrs import astuple, frozen

from fireflydeck.core.rows import StoredRow
from fireflydeck.core.typed_values import mistyped_fields
from fireflydeck.workload.records import job_id_of, job_key

__all__ = ["StateAnswer", "StateQuery", "SubmissionNotice", "SuccessionNotice", "SuccessionQuery"]


@frozen
class _Message:
    """Base of the messages: their fields are packed by msgpack in order."""

    def encode(self) -> bytes:
        """Return the encoded message."""
        return msgpack.packb(astuple(self))

    @classmethod
    def decode(cls, content: bytes) -> Self:
        """Return the message that another entry process encoded.

        Raises
        ------
        ValueError
            If the content is not such a message.
        """
        try:
            fields: Any = msgpack.unpackb(content)
            message = cls(*fields)
        except (TypeError, ValueError) as error:
            raise ValueError(f"not a {cls.__name__}: {type(error).__name__}") from error
        if mistyped_fields(message):
            raise ValueError(f"not a {cls.__name__}: a field is invalid")
        return message


@frozen
class StateQuery(_Message):
    """Query of a job's state, sent to the lease holder.

    Parameters
    ----------
    sender
        ``ip:port`` where the querying process can be reached.
    """

    job_id: str
    sender: str


@frozen
class StateAnswer(_Message):
    """State of a job; `None` if the answering process doesn't know it."""

    state: str | None


@frozen
class SuccessionQuery(_Message):
    """Query whether a process could hold the lease after the term of the querying one."""

    term: int


@frozen
class SuccessionNotice(_Message):
    """Notice that the lease holder no longer gives orders under its term."""

    term: int


@frozen
class SubmissionNotice(_Message):
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
