"""Options of the HTTP interface for callers."""

from attrs import frozen

__all__ = ["GatewayOptions"]


@frozen(kw_only=True)
class GatewayOptions:
    """Limits of the HTTP interface for callers.

    Parameters
    ----------
    name
        Name of this member; part of each request ID.
    max_body_bytes
        Maximum size of a request body.
    body_timeout_ms
        Time within which the whole body must arrive.
    drain_timeout_ms
        Maximum time for which the rest of a refused request's body is read and discarded.
    send_timeout_ms
        Time within which a caller must have read the whole answer.
    max_in_flight
        Maximum number of requests in flight.
    max_buffered_bytes
        Maximum number of buffered bytes of request bodies and answers.
    default_deadline_ms, max_deadline_ms
        Deadline of a request that specifies none, and the longest that a request may specify, both
        from its arrival.
    answer_grace_ms
        Time after the deadline in which a dispatcher can still deliver its own refusal.
    shutdown_delay_ms
        Time at the start of a stop in which requests are still served, and each connection is
        closed after its answer.
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
