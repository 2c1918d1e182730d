"""Reading of callers' HTTP requests, with limits on size and time, and their responses."""

from collections.abc import Callable

import anyio
from aiohttp import web
from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import Reason
from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.request_body import BODY_ERRORS, drop_traceback, read_body
from fireflydeck.platform.job_documents import DEADLINE_HEADER, KEY_HEADER, encode_refusal

__all__ = ["build_response", "receive_request"]

_DEFAULT_TIMEOUT_MS = 3000
_MAX_TIMEOUT_MS = 3_600_000
_MAX_TIMEOUT_DIGITS = 9
_MS_PER_S = 1000
_METHODS_WITH_BODY = frozenset({"POST"})
"""Methods whose body is read; of other requests only the head matters."""


async def receive_request(
    request: web.BaseRequest,
    limits: RequestLimits,
    refuse_before_body: Callable[[CallerRequest], CallerAnswer | None],
) -> Result[CallerRequest, CallerAnswer]:
    """Read a request; the error is the answer that refuses it.

    A head or a body longer than the limit is refused, and so is a body that does not arrive in
    time.

    Parameters
    ----------
    refuse_before_body
        Returns the refusal of a request for which no body has to be read, or `None`. It is called
        if the body has not arrived yet.
    """
    if _head_bytes(request) > limits.max_header_bytes:
        detail = f"more than {limits.max_header_bytes} bytes of header fields"
        return Error(_refusal(431, Reason.BAD_REQUEST, detail))
    if (request.content_length or 0) > limits.max_body_bytes:
        return Error(_body_too_large(limits))
    received = _request_without_body(request)
    if not request.content.is_eof():
        refused = refuse_before_body(received)
        if refused is not None:
            return Error(refused)
    if not request.body_exists or request.method not in _METHODS_WITH_BODY:
        return Ok(received)
    body = await _receive_body(request, limits)
    return body.map(lambda content: evolve(received, body=content))


def _request_without_body(request: web.BaseRequest) -> CallerRequest:
    """Return the request that a head contains."""
    return CallerRequest(
        method=request.method,
        host=_replace_surrogates(request.headers.get("Host", "")),
        path=request.path,
        key=_replace_surrogates(request.headers.get(KEY_HEADER, "")),
        timeout_ms=_timeout_ms(request),
    )


def build_response(answer: CallerAnswer) -> web.Response:
    """Return the HTTP response for an answer."""
    headers = {}
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(answer.retry_after_s)
    return web.Response(
        status=answer.status,
        body=answer.body,
        content_type="application/json",
        headers=headers,
    )


async def _receive_body(
    request: web.BaseRequest, limits: RequestLimits
) -> Result[bytes, CallerAnswer]:
    content: bytes | None = None
    try:
        with anyio.move_on_after(limits.idle_timeout_ms / _MS_PER_S) as scope:
            content = await read_body(request, limits.max_body_bytes)
    except BODY_ERRORS as error:
        drop_traceback(error)
        return Error(_refusal(400, Reason.BAD_REQUEST, "the body is invalid or incomplete"))
    if scope.cancelled_caught:
        return Error(_refusal(408, Reason.BAD_REQUEST, "the body did not arrive in time"))
    if content is None:
        return Error(_body_too_large(limits))
    return Ok(content)


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of the request target and the header fields with their separators."""
    fields = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    return fields + len(request.raw_path)


def _body_too_large(limits: RequestLimits) -> CallerAnswer:
    return _refusal(413, Reason.BODY_TOO_LARGE, f"more than {limits.max_body_bytes} bytes")


def _refusal(status: int, reason: Reason, detail: str) -> CallerAnswer:
    return CallerAnswer(status, encode_refusal(reason, detail))


def _replace_surrogates(value: str) -> str:
    """Return a header's value with replacement characters for bytes that are not UTF-8.

    The HTTP library represents such bytes as lone surrogates.
    """
    return value.encode(errors="surrogateescape").decode(errors="replace")


def _timeout_ms(request: web.BaseRequest) -> int:
    """Return the caller's timeout from the header; the default if it is missing, invalid or 0."""
    value = request.headers.get(DEADLINE_HEADER, "")
    if not (value.isascii() and value.isdigit()):
        return _DEFAULT_TIMEOUT_MS
    if len(value) > _MAX_TIMEOUT_DIGITS:
        return _MAX_TIMEOUT_MS
    return min(int(value), _MAX_TIMEOUT_MS) or _DEFAULT_TIMEOUT_MS
