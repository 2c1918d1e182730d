"""Callers' requests and their answers, independent of the connection they came over."""

import msgpack
from attrs import astuple, frozen

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
    """

    method: str
    host: str
    path: str
    key: str
    timeout_ms: int
    body: bytes = b""
    was_forwarded: bool = False

    @property
    def job_id(self) -> str:
        """Return the job's id, or an empty string."""
        return job_id_of_path(self.path)

    def encode(self) -> bytes:
        """Return the request encoded for another entry process."""
        fields = (self.method, self.host, self.path, self.key, self.timeout_ms, self.body)
        return msgpack.packb(fields)

    @classmethod
    def decode(cls, content: bytes) -> "CallerRequest":
        """Decode a request that another entry process forwarded.

        Raises
        ------
        ValueError
            If the content is not an encoded request.
        """
        try:
            method, host, path, key, timeout_ms, body = msgpack.unpackb(content)
        except (TypeError, msgpack.UnpackException) as error:
            raise ValueError(f"not a caller's request: {error}") from error
        return cls(
            method=method,
            host=host,
            path=path,
            key=key,
            timeout_ms=timeout_ms,
            body=body,
            was_forwarded=True,
        )


@frozen
class CallerAnswer:
    """An answer to a caller.

    Parameters
    ----------
    retry_after_s
        Seconds after which the caller may retry; `None` if the answer is final.
    is_store_unavailable
        Whether the request was not served because the store was unavailable to the process, so
        that another entry process may serve it; sent between entry processes, but not to the
        caller.
    """

    status: int
    body: bytes
    retry_after_s: int | None = None
    is_store_unavailable: bool = False

    def encode(self) -> bytes:
        """Return the answer encoded for another entry process."""
        return msgpack.packb(astuple(self))

    @classmethod
    def decode(cls, content: bytes) -> "CallerAnswer":
        """Decode the answer of another entry process.

        Raises
        ------
        ValueError
            If the content is not an encoded answer.
        """
        try:
            return cls(*msgpack.unpackb(content))
        except (TypeError, msgpack.UnpackException) as error:
            raise ValueError(f"not an answer: {error}") from error
