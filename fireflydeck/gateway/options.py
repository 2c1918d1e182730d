"""Limits of the callers' interface."""

from attrs import frozen

__all__ = ["GatewayOptions"]


@frozen(kw_only=True)
class GatewayOptions:
    """Limits of the callers' interface.

    Parameters
    ----------
    name
        Name of this member; part of the request ids.
    max_body_bytes
        The largest body of a request.
    body_timeout_ms
        Time within which the whole body must arrive.
    drain_timeout_ms
        Time for which the rest of a refused request's body is read and dropped.
    send_timeout_ms
        Time within which a caller must have taken the whole answer.
    max_in_flight
        Requests held at the same time.
    max_buffered_bytes
        Bytes of bodies and answers held at the same time.
    default_deadline_ms, max_deadline_ms
        Deadline of a request that names none, and the longest that it may name.
    answer_grace_ms
        Time after the deadline that a dispatcher has to deliver its own refusal.
    shutdown_delay_ms
        Time at the begin of a stop during which requests are served and connections closed after
        their answer.
    """

    name: str
    max_body_bytes: int = 4 * 1024 * 1024
    body_timeout_ms: int = 30_000
    drain_timeout_ms: int = 5_000
    send_timeout_ms: int = 60_000
    max_in_flight: int = 4_096
    max_buffered_bytes: int = 256 * 1024 * 1024
    default_deadline_ms: int = 30_000
    max_deadline_ms: int = 3_600_000
    answer_grace_ms: int = 1_000
    shutdown_delay_ms: int = 1_000
