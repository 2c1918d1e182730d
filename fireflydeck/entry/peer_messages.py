"""Messages between entry processes, apart from forwarded requests and their answers."""

from typing import Any, Self

import msgpack
from attrs import astuple, frozen

from fireflydeck.core.rows import StoredRow
from fireflydeck.workload.records import job_id_of, job_key

__all__ = ["StateAnswer", "StateQuery", "SubmissionNotice", "SuccessionNotice", "SuccessionQuery"]


@frozen
class _Message:
    """A message whose fields are packed in order."""

    def encode(self) -> bytes:
        """Encode for another entry process."""
        return msgpack.packb(astuple(self))

    @classmethod
    def decode(cls, content: bytes) -> Self:
        """Decode what another entry process sent.

        Raises
        ------
        ValueError
            If it is not such a message.
        """
        try:
            fields: Any = msgpack.unpackb(content)
            return cls(*fields)
        except (TypeError, msgpack.UnpackException) as error:
            raise ValueError(f"not a {cls.__name__}: {error}") from error


@frozen
class StateQuery(_Message):
    """Asks the holder of the lease for the state of a job.

    Parameters
    ----------
    sender
        ``ip:port`` where the asking process can be reached.
    """

    job_id: str
    sender: str


@frozen
class StateAnswer(_Message):
    """Tells the state of a job; `None` if it is not known here."""

    state: str | None


@frozen
class SuccessionQuery(_Message):
    """Asks whether a process could hold the lease after the term of the asking one."""

    term: int


@frozen
class SuccessionNotice(_Message):
    """Tells that the holder of the lease gives no more orders under its term."""

    term: int


@frozen
class SubmissionNotice(_Message):
    """Tells the holder of the lease of a submission that is stored.

    Parameters
    ----------
    content, version
        Value and version of the job's row.
    """

    job_id: str
    content: bytes
    version: int

    @classmethod
    def of_row(cls, row: StoredRow) -> Self:
        """Return the notice of a job's row."""
        return cls(job_id_of(row.id), row.value, row.version)

    def row(self) -> StoredRow:
        """Return the job's row."""
        return StoredRow(job_key(self.job_id), self.content, self.version)
