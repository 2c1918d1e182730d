"""Failures as ``application/problem+json`` documents.

References
----------
RFC 9457, Problem Details for HTTP APIs.
"""

import json

from attrs import frozen

from fireflydeck.core import Failure, Header, Reason

__all__ = ["STATUS_BY_REASON", "Problem", "make_problem", "retry_hint_ms"]

STATUS_BY_REASON: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_KEY: 401,
    Reason.WRONG_KEY: 401,
    Reason.UNKNOWN_QUEUE: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.NOT_FOUND: 404,
    Reason.KEY_IN_USE: 409,
    Reason.CONFLICT: 409,
    Reason.BUDGET: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_MISMATCH: 422,
    Reason.FITS_NOWHERE: 422,
    Reason.INVALID_CHANGE: 422,
    Reason.QUEUE_FULL: 429,
    Reason.TOO_MANY_REQUESTS: 429,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
    Reason.ANSWER_TOO_LARGE: 502,
    Reason.ANSWER_INVALID: 502,
    Reason.BACKEND_LOST: 502,
    Reason.PEER_LOST: 502,
    Reason.NO_CAPACITY: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
    Reason.NOT_OWNER: 503,
    Reason.PEER_UNREACHABLE: 503,
    Reason.BACKEND_REFUSED: 503,
    Reason.BACKEND_UNREACHABLE: 503,
    Reason.DEADLINE: 504,
}
"""HTTP status code of each failure reason."""

_CONTENT_TYPE = "application/problem+json"
_DEFAULT_RETRY_MS = 1_000
_RETRYABLE_STATUSES = frozenset({429, 503})
_MS_PER_S = 1_000


@frozen(kw_only=True)
class Problem:
    """An HTTP response that describes a failure."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def retry_hint_ms(failure: Failure) -> int:
    """Return the time in milliseconds until a retry may succeed; 0 if a retry doesn't help.

    Examples
    --------
    >>> retry_hint_ms(Failure(Reason.QUEUE_FULL, step="queue"))
    1000
    >>> retry_hint_ms(Failure(Reason.BAD_REQUEST, step="gateway.parse"))
    0
    """
    if failure.retry_after_ms > 0:
        return failure.retry_after_ms
    return _DEFAULT_RETRY_MS if STATUS_BY_REASON[failure.reason] in _RETRYABLE_STATUSES else 0


def make_problem(failure: Failure, request_id: str) -> Problem:
    """Return the HTTP response that describes a failure."""
    status = STATUS_BY_REASON[failure.reason]
    retry_after_ms = retry_hint_ms(failure)
    document = {
        "type": f"urn:fireflydeck:{failure.reason}",
        "title": failure.reason.replace("-", " "),
        "status": status,
        "detail": failure.detail,
        "reason": failure.reason,
        "ran": failure.ran,
        "retry_after_ms": retry_after_ms,
        "request_id": request_id,
        "step": failure.step,
    }
    headers = [Header("content-type", _CONTENT_TYPE)]
    if retry_after_ms:
        headers.append(Header("retry-after", str(-(-retry_after_ms // _MS_PER_S))))
    if status == 401:
        headers.append(Header("www-authenticate", "Bearer"))
    return Problem(status=status, headers=tuple(headers), body=json.dumps(document).encode())
