"""Callers' requests and their answers, independent of the connection they came over."""

from attrs import frozen

from fireflydeck.entry.message import Message

__all__ = ["CallerAnswer", "CallerRequest", "job_id_of_path"]


def job_id_of_path(path: str) -> str:
    """Return the last segment of a path: the job's id, or an empty string."""
    return path.rpartition("/")[2]


@frozen(kw_only=True)
class CallerRequest:
    """One complete request of a caller.

    Parameters
    ----------
    key
        API key that identifies the caller's organisation; empty if the request has none.
    timeout_ms
        How long the caller waits for the answer, in milliseconds from the arrival of the request.
    was_forwarded
        Whether another entry process forwarded it.
    min_configuration_version
        Least configuration version by which it may be answered.
    """

    method: str
    host: str
    path: str
    key: str
    timeout_ms: int
    body: bytes = b""
    was_forwarded: bool = False
    min_configuration_version: int = 0

    @property
    def job_id(self) -> str:
        """Return the job's id, or an empty string."""
        return job_id_of_path(self.path)


@frozen
class CallerAnswer(Message):
    """An answer to a caller.

    Parameters
    ----------
    retry_after_s
        Seconds after which the caller may retry; `None` if the answer is final.
    is_store_unavailable
        Whether the request was not served because the store was unavailable to the process, so
        that another entry process may serve it; sent between entry processes, but not to the
        caller.
    configuration_version
        Version of the configuration that decided the answer; `None` if none did, or if the process
        that answered is of a build that does not tell.
    """

    status: int
    body: bytes
    retry_after_s: int | None = None
    is_store_unavailable: bool = False
    configuration_version: int | None = None
