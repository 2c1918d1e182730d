"""Failures and errors, which carry the step and the peer at which they occurred."""

from enum import StrEnum

from attrs import field, frozen

__all__ = ["Failure", "FireflydeckError", "Ran", "Reason"]


class Ran(StrEnum):
    """Whether a failed request was executed."""

    NO = "no"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Machine-readable reason for a refusal or failure; part of the caller interface."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    NO_KEY = "no-key"
    WRONG_KEY = "wrong-key"
    BODY_TOO_LARGE = "body-too-large"
    ANSWER_TOO_LARGE = "answer-too-large"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    NO_CAPACITY = "no-capacity"
    FITS_NOWHERE = "fits-nowhere"
    STALE_CONFIGURATION = "stale-configuration"
    STORE_UNAVAILABLE = "store-unavailable"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    NOT_OWNER = "not-owner"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_LOST = "peer-lost"
    BACKEND_REFUSED = "backend-refused"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_LOST = "backend-lost"
    ANSWER_INVALID = "answer-invalid"
    KEY_IN_USE = "idempotency-key-in-use"
    KEY_MISMATCH = "idempotency-key-mismatch"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    INVALID_CHANGE = "invalid-change"
    BUDGET = "availability-budget"
    TOO_MANY_REQUESTS = "too-many-requests"
    INTERNAL = "internal"


@frozen
class Failure:
    """An expected failure, carried as the error side of a `Result`.

    Parameters
    ----------
    reason
        Machine-readable reason.
    step
        Step at which the failure occurred, such as ``dispatch.connect``.
    peer
        Address or name of the peer involved; empty for a local failure.
    detail
        One-line description for people.
    ran
        Whether the request may have been executed.
    retry_after_ms
        Hint for the delay before a retry is useful, in milliseconds; 0 for no hint.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""
    ran: Ran = Ran.NO
    retry_after_ms: int = 0


@frozen
class FireflydeckError(Exception):
    """An unexpected error, which is raised and never returned as a `Result`.

    Parameters
    ----------
    failure
        Reason, step, peer and detail of the error.
    """

    failure: Failure = field()

    def __str__(self) -> str:
        failure = self.failure
        location = f"{failure.step} ({failure.peer})" if failure.peer else failure.step
        return f"{failure.reason} at {location}: {failure.detail}"
