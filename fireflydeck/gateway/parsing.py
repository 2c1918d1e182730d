"""Parsing of a caller's request line and headers."""

from collections.abc import Iterable
from urllib.parse import unquote

from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Header, Reason, Urgency, end_to_end_headers
from fireflydeck.gateway.options import GatewayOptions

__all__ = ["RequestHead", "forwarded_headers", "parse_head"]

_STEP = "gateway.parse"
_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
_BOOLEANS = {"true": True, "false": False}

_RESERVED_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "x-deadline-ms",
        "x-dispatcher",
        "x-idempotent",
        "x-lease-ms",
        "x-request-id",
        "x-organisation",
        "x-urgency",
        "x-vm",
    }
)


class _HeadError(ValueError):
    """An invalid method or header value; the message is sent to the caller."""


@frozen(kw_only=True)
class RequestHead:
    """The parsed request line and headers of a caller's request.

    Parameters
    ----------
    queue
        Name of the queue.
    path
        Path and query for the backend server.
    authorization
        Value of the authorization header; `None` if there is none.
    content_length
        Declared size of the body in bytes; `None` if not declared.
    headers
        End-to-end headers for the backend server.
    """

    queue: str
    method: str
    path: str
    authorization: str | None
    urgency: Urgency
    deadline_ms: int
    idempotent: bool
    idempotency_key: str
    content_length: int | None
    headers: tuple[Header, ...]


def parse_head(
    method: str,
    target: str,
    headers: Iterable[Header],
    options: GatewayOptions,
) -> Result[RequestHead, Failure]:
    """Return the parsed head of a request, or a failure with the reason `BAD_REQUEST`.

    Parameters
    ----------
    target
        Path below ``/queues/`` with its query, still percent-encoded.
    headers
        All headers of the request, with names in lower case.
    """
    headers = tuple(headers)
    try:
        return Ok(_parse_or_raise(method, target, headers, options))
    except _HeadError as error:
        return Error(Failure(Reason.BAD_REQUEST, step=_STEP, detail=str(error)))


def forwarded_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the end-to-end headers that are forwarded: all but those reserved for the system."""
    return end_to_end_headers(headers, _RESERVED_HEADERS)


def _parse_or_raise(
    method: str, target: str, headers: tuple[Header, ...], options: GatewayOptions
) -> RequestHead:
    if method not in _METHODS:
        raise _HeadError(f"method {method!r:.20} is not one of {', '.join(sorted(_METHODS))}")
    queue, path = _split_target(target)
    reserved = _reserved_header_values(headers)
    return RequestHead(
        queue=queue,
        method=method,
        path=path,
        authorization=reserved.get("authorization"),
        urgency=_parse_urgency(reserved.get("x-urgency")),
        deadline_ms=_parse_deadline_ms(reserved.get("x-deadline-ms"), options),
        idempotent=_parse_idempotent(reserved.get("x-idempotent"), method),
        idempotency_key=_parse_idempotency_key(reserved.get("idempotency-key")),
        content_length=_parse_content_length(reserved.get("content-length")),
        headers=forwarded_headers(headers),
    )


def _split_target(target: str) -> tuple[str, str]:
    path, question_mark, query = target.partition("?")
    queue, _, rest = path.partition("/")
    return unquote(queue), f"/{rest}{question_mark}{query}"


def _reserved_header_values(headers: tuple[Header, ...]) -> dict[str, str]:
    values: dict[str, str] = {}
    for header in headers:
        if header.name not in _RESERVED_HEADERS:
            continue
        if header.name in values:
            raise _HeadError(f"header {header.name} is given more than once")
        values[header.name] = header.value.strip()
    return values


def _parse_urgency(text: str | None) -> Urgency:
    try:
        return Urgency.NORMAL if text is None else Urgency(text.lower())
    except ValueError:
        allowed = ", ".join(Urgency)
        raise _HeadError(f"x-urgency {text!r:.40} is not one of {allowed}") from None


def _parse_deadline_ms(text: str | None, options: GatewayOptions) -> int:
    if text is None:
        return options.default_deadline_ms
    value = _parse_decimal("x-deadline-ms", text)
    if not 1 <= value <= options.max_deadline_ms:
        raise _HeadError(f"x-deadline-ms {value} is not from 1 to {options.max_deadline_ms}")
    return value


def _parse_idempotent(text: str | None, method: str) -> bool:
    if text is None:
        return method in _IDEMPOTENT_METHODS
    if text.lower() not in _BOOLEANS:
        raise _HeadError(f"x-idempotent {text!r:.40} is not true or false")
    return _BOOLEANS[text.lower()]


def _parse_idempotency_key(text: str | None) -> str:
    if text is None:
        return ""
    if not text or len(text) > _MAX_IDEMPOTENCY_KEY_LENGTH or not text.isprintable():
        raise _HeadError(
            f"idempotency-key is not of 1 to {_MAX_IDEMPOTENCY_KEY_LENGTH} printable characters"
        )
    return text


def _parse_content_length(text: str | None) -> int | None:
    return None if text is None else _parse_decimal("content-length", text)


def _parse_decimal(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise _HeadError(f"{name} {text!r:.40} is not a whole number")
    return int(text)
