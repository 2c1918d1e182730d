"""Header fields on the way to a backend server and back."""

from collections.abc import Iterable

from fireflydeck.core import Header, end_to_end_headers

__all__ = ["answer_headers", "request_headers"]

_SET_BY_DISPATCHER = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "x-dispatcher",
        "x-lease-ms",
        "x-request-id",
        "x-organisation",
    }
)
_HOP_BY_HOP_ANSWER_FIELDS = frozenset({"content-length", "x-not-started", "x-request-id"})


def request_headers(headers: Iterable[Header]) -> list[Header]:
    """Return a caller's end-to-end fields without those that the dispatcher sets itself.

    Examples
    --------
    >>> request_headers([Header("Connection", "x-hop"), Header("X-Hop", "1"), Header("A", "b")])
    [Header(name='A', value='b')]
    """
    return list(end_to_end_headers(headers, _SET_BY_DISPATCHER))


def answer_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return a backend server's end-to-end fields."""
    return end_to_end_headers(headers, _HOP_BY_HOP_ANSWER_FIELDS)
