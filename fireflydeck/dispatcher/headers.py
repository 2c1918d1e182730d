"""Filters for the header fields of requests to backend servers and of their answers."""

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
_ANSWER_FIELDS_NOT_FORWARDED = frozenset({"content-length", "x-not-started", "x-request-id"})


def request_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the caller's end-to-end header fields, except those that the dispatcher sets.

    Examples
    --------
    >>> request_headers([Header("Connection", "x-hop"), Header("X-Hop", "1"), Header("A", "b")])
    [Header(name='A', value='b')]
    """
    return list(end_to_end_headers(headers, _SET_BY_DISPATCHER))


def answer_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the end-to-end header fields of a backend server's answer."""
    return end_to_end_headers(headers, _ANSWER_FIELDS_NOT_FORWARDED)
