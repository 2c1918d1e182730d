"""Reading of callers' HTTP requests, with limits on size and time, and their responses."""

import anyio
from aiohttp import web
from expression import Error, Ok, Result

from fireflydeck.core import Reason
from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.platform.job_documents import DEADLINE_HEADER, KEY_HEADER, encode_refusal

__all__ = ["build_response", "receive_request"]

_DEFAULT_TIMEOUT_MS = 3000
_MAX_TIMEOUT_MS = 3_600_000
_MAX_TIMEOUT_DIGITS = 9
_MS_PER_S = 1000


async def receive_request(
    request: web.BaseRequest, limits: RequestLimits
) -> Result[CallerRequest, CallerAnswer]:
    """Read a request; the error is the answer that refuses it.

    A body longer than the limit is refused, and so is one that does not arrive in time.
    """
    body = await _receive_body(request, limits)
    return body.map(
        lambda content: CallerRequest(
            method=request.method,
            host=_replace_surrogates(request.headers.get("Host", "")),
            path=request.path,
            key=_replace_surrogates(request.headers.get(KEY_HEADER, "")),
            timeout_ms=_timeout_ms(request),
            body=content,
        )
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
    limit = limits.max_body_bytes
    content: bytes | None = None
    if (request.content_length or 0) <= limit:
        with anyio.move_on_after(limits.idle_timeout_ms / _MS_PER_S) as scope:
            content = await _read_body(request, limit)
        if scope.cancelled_caught:
            return Error(_refusal(408, Reason.BAD_REQUEST, "the body did not arrive in time"))
    if content is None:
        return Error(_refusal(413, Reason.BODY_TOO_LARGE, f"more than {limit} bytes"))
    return Ok(content)


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the body, or `None` if it is longer than the limit."""
    content = bytearray()
    async for chunk in request.content.iter_any():
        content.extend(chunk)
        if len(content) > limit:
            return None
    return bytes(content)


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
