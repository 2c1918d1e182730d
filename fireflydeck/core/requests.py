"""Value objects of the request path: requests, their answers and job states."""

from collections.abc import Iterable
from enum import StrEnum

from attrs import frozen

from fireflydeck.core.entities import Urgency

__all__ = ["Answer", "Header", "JobState", "Request", "end_to_end_headers"]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@frozen
class Header:
    """One HTTP header field."""

    name: str
    value: str


def end_to_end_headers(
    headers: Iterable[Header], dropped: frozenset[str] = frozenset()
) -> tuple[Header, ...]:
    """Return the end-to-end headers, which a proxy forwards.

    Parameters
    ----------
    dropped
        Names of further headers to leave out, in lower case.

    Examples
    --------
    >>> end_to_end_headers([Header("Connection", "x-a"), Header("X-A", "1"), Header("x-b", "2")])
    (Header(name='x-b', value='2'),)

    References
    ----------
    RFC 9110, section 7.6.1.
    """
    fields = tuple(headers)
    connection_options = {
        token.strip().lower()
        for header in fields
        if header.name.lower() == "connection"
        for token in header.value.split(",")
    }
    removed = _HOP_BY_HOP | dropped | connection_options
    return tuple(header for header in fields if header.name.lower() not in removed)


@frozen(kw_only=True)
class Request:
    """A caller's request as it travels from the gateway to a backend server.

    Parameters
    ----------
    request_id
        Id of the request, unique and unchanged from end to end.
    organisation
        Name of the organisation; empty for a queue that is open to all.
    key_hash
        Hash of the key by which the gateway identified the organisation; empty for none.
    deadline_ms
        Remaining time until the caller stops waiting, measured when this message was sent, in
        milliseconds.
    idempotent
        Whether the request may be sent again after an unknown outcome.
    idempotency_key
        The caller's idempotency key; empty for none.
    """

    request_id: str
    queue: str
    organisation: str = ""
    key_hash: str = ""
    urgency: Urgency = Urgency.NORMAL
    deadline_ms: int = 30_000
    idempotent: bool = False
    idempotency_key: str = ""
    method: str = "POST"
    path: str = "/"
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@frozen(kw_only=True)
class Answer:
    """A backend server's complete answer to one request."""

    request_id: str
    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    vm: str = ""


class JobState(StrEnum):
    """State of long-running work, for which a job row was stored when it was accepted."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
