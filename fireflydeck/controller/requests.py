"""Request handling of the operator interface: authentication, body limits and refusals."""

import hmac
import json
from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import Any

from attrs import field, frozen
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response

from fireflydeck.controller.edit import Refusal
from fireflydeck.controller.rendering import PROBLEM_TYPE, http_status, render_refusal
from fireflydeck.core import ENTITY_TYPES, EntityKey, Failure, Ran, Reason
from fireflydeck.kernel import Event, EventLog

__all__ = [
    "OperatorAuthenticator",
    "OperatorOptions",
    "RefusedRequest",
    "entity_key",
    "if_version",
    "on_http_error",
    "read_object",
    "read_text",
    "refused_request",
]

Handler = Callable[[Request], Awaitable[Response]]

_STEP = "operator.request"
_BEARER = "bearer "
_MAX_VERSION_DIGITS = 15
_MS_PER_S = 1000


@frozen(kw_only=True)
class OperatorOptions:
    """Options of the operator interface.

    Parameters
    ----------
    operator_key
        Key that operators present as a bearer token.
    max_body_bytes
        Maximum size of a request body.
    """

    operator_key: str = field(repr=False)
    max_body_bytes: int = 4 * 1024 * 1024


class RefusedRequest(Exception):  # noqa: N818 - an expected outcome, not a program error
    """Exception that ends a request handler with a refusal.

    Parameters
    ----------
    refusal
        Refusal that is returned to the operator.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.failure.detail)
        self.refusal = refusal


def refused_request(reason: Reason, detail: str) -> RefusedRequest:
    """Return the exception for a reason and a one-line explanation for the operator."""
    return RefusedRequest(Refusal(failure=Failure(reason, step=_STEP, detail=detail)))


class OperatorAuthenticator:
    """Authenticates requests by the operator key and turns refusals into problem documents.

    Parameters
    ----------
    options
        Options with the operator key.
    log
        Event log of the process.
    """

    def __init__(self, options: OperatorOptions, log: EventLog) -> None:
        self._key_hash = _digest(options.operator_key)
        self._log = log

    def wrap(self, handler: Handler) -> Handler:
        """Return the handler with authentication and error handling around it."""

        async def handle(request: Request) -> Response:
            try:
                self._authenticate(request)
                return await handler(request)
            except RefusedRequest as error:
                return _problem_response(error.refusal)
            except ClientDisconnect:
                return _problem_response(
                    refused_request(Reason.BAD_REQUEST, "the body ended early").refusal
                )
            except Exception as error:
                self._log.emit(Event.OPERATOR_REQUEST_FAILED, error=repr(error))
                return _problem_response(_internal_error())

        return handle

    def _authenticate(self, request: Request) -> None:
        header = request.headers.get("authorization", "")
        if not header:
            self._reject(request, Reason.NO_KEY)
        token = header[len(_BEARER) :] if header.lower().startswith(_BEARER) else ""
        if not hmac.compare_digest(_digest(token), self._key_hash):
            self._reject(request, Reason.WRONG_KEY)

    def _reject(self, request: Request, reason: Reason) -> None:
        peer = request.client.host if request.client else ""
        self._log.emit(Event.OPERATOR_REJECTED, reason=reason, peer=peer, path=request.url.path)
        raise refused_request(reason, "the operator key is required")


def _internal_error() -> Refusal:
    detail = "unexpected error; see the log"
    return Refusal(failure=Failure(Reason.INTERNAL, step=_STEP, detail=detail, ran=Ran.UNKNOWN))


def _digest(text: str) -> bytes:
    return sha256(text.encode("utf-8", "surrogatepass")).digest()


def _problem_response(refusal: Refusal) -> Response:
    failure = refusal.failure
    headers = {}
    if failure.retry_after_ms:
        headers["retry-after"] = str(-(-failure.retry_after_ms // _MS_PER_S))
    if failure.reason in (Reason.NO_KEY, Reason.WRONG_KEY):
        headers["www-authenticate"] = "Bearer"
    return JSONResponse(
        render_refusal(refusal), http_status(failure.reason), headers, media_type=PROBLEM_TYPE
    )


async def on_http_error(request: Request, error: Exception) -> Response:
    """Return a problem document for an unknown path or method."""
    status = error.status_code if isinstance(error, HTTPException) else 500
    detail = f"no call {request.method} {request.url.path}"
    document = render_refusal(refused_request(Reason.NOT_FOUND, detail).refusal)
    return JSONResponse({**document, "status": status}, status, media_type=PROBLEM_TYPE)


def entity_key(request: Request) -> EntityKey:
    """Return the key of the entity that the path names."""
    kind = request.path_params["kind"]
    if kind not in ENTITY_TYPES:
        raise refused_request(
            Reason.NOT_FOUND, f"no kind {kind!r}; one of {', '.join(ENTITY_TYPES)}"
        )
    return EntityKey(kind, request.path_params["name"])


def if_version(request: Request) -> int | None:
    """Return the entity version that the `if-version` header expects; `None` without the header."""
    text = request.headers.get("if-version")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_VERSION_DIGITS):
        raise refused_request(
            Reason.BAD_REQUEST, f"if-version {text!r:.40}: a whole number, 0 or more"
        )
    return int(text)


async def read_text(request: Request, max_bytes: int) -> str:
    """Return the request body as text; raise `RefusedRequest` if it is not UTF-8 or too large."""
    body = await _read_body(request, max_bytes)
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise refused_request(Reason.BAD_REQUEST, f"the body is not UTF-8: {error}") from None


async def read_object(request: Request, max_bytes: int) -> dict[str, Any]:
    """Return the request body as a JSON object; raise `RefusedRequest` if it is not one."""
    text = await read_text(request, max_bytes)
    try:
        parsed = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise refused_request(Reason.BAD_REQUEST, f"the body is not JSON: {error}") from None
    if not isinstance(parsed, dict):
        raise refused_request(Reason.BAD_REQUEST, "the body is not a JSON object")
    return parsed


async def _read_body(request: Request, max_bytes: int) -> bytes:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > max_bytes:
            raise refused_request(
                Reason.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
            )
    return bytes(body)
