"""Answers of an entry process that refuse a request or tell that its outcome is unknown."""

from math import ceil

from fireflydeck.core import Reason
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.platform.job_documents import encode_refusal

__all__ = ["refusal", "unavailable", "unknown_outcome"]

_RETRY_AFTER_S = 1
_MS_PER_S = 1000


def refusal(status: int, reason: Reason, detail: str) -> CallerAnswer:
    """Return a final refusal."""
    return CallerAnswer(status, encode_refusal(reason, detail))


def unavailable(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> CallerAnswer:
    """Return the refusal of a request that had no effect and can be retried.

    Parameters
    ----------
    retry_after_ms
        Time after which to retry, in milliseconds; the caller is told the next whole second, and
        at least one second.
    """
    retry_after_s = max(_RETRY_AFTER_S, ceil(retry_after_ms / _MS_PER_S))
    return CallerAnswer(
        503, encode_refusal(reason, detail), retry_after_s, is_store_unavailable=True
    )


def unknown_outcome(reason: Reason) -> CallerAnswer:
    """Return the answer to a request that may have had an effect."""
    return CallerAnswer(
        504, encode_refusal(reason, "the outcome is unknown"), is_store_unavailable=True
    )
