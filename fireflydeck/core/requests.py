"""Value objects of the request path: a request, its answer, and outcomes."""

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
    """Return the headers that pass a proxy.

    Parameters
    ----------
    dropped
        Further names to leave out, in lower case.

    Examples
    --------
    >>> end_to_end_headers([Header("Connection", "x-a"), Header("X-A", "1"), Header("x-b", "2")])
    (Header(name='x-b', value='2'),)

    References
    ----------
    RFC 9110, section 7.6.1.
    """
    fields = tuple(headers)
    named = {
        token.strip().lower()
        for header in fields
        if header.name.lower() == "connection"
        for token in header.value.split(",")
    }
    removed = _HOP_BY_HOP | dropped | named
    return tuple(header for header in fields if header.name.lower() not in removed)


@frozen(kw_only=True)
class Request:
    """A caller's request as it travels from the gateway to a backend server.

    Parameters
    ----------
    request_id
        Unique identity from end to end.
    organisation
        Name of the organisation; empty on a queue open to all.
    key_hash
        Hash of the key by which the gateway knew the organisation; empty for none.
    deadline_ms
        Time that remains until the caller gives up, in milliseconds, when the message was sent.
    idempotent
        Whether the request may be sent again after an unknown outcome.
    idempotency_key
        The caller's key; empty for none.
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
    """A backend server's whole answer to one request."""

    request_id: str
    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    vm: str = ""


class JobState(StrEnum):
    """State of long work that was accepted with a job row."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
