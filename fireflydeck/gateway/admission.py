"""Limits on a gateway's in-flight requests and on the bytes that it buffers for them."""

from fireflydeck.core import Failure, Reason

__all__ = ["LoadLimiter"]

_STEP = "gateway.admit"


class LoadLimiter:
    """Counts in-flight requests and buffered bytes against their limits.

    Parameters
    ----------
    max_requests
        Maximum number of requests in flight.
    max_bytes
        Maximum number of buffered bytes of request bodies and answers.
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._in_flight_requests = 0
        self._buffered_bytes = 0

    @property
    def in_flight_requests(self) -> int:
        """Number of requests in flight."""
        return self._in_flight_requests

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes of request bodies and answers."""
        return self._buffered_bytes

    def admit_request(self) -> Failure | None:
        """Count a new request as in flight, or return the reason why it is refused."""
        if self._in_flight_requests >= self._max_requests:
            detail = f"{self._max_requests} requests are held already"
            return Failure(Reason.TOO_MANY_REQUESTS, step=_STEP, detail=detail)
        self._in_flight_requests += 1
        return None

    def release_request(self) -> None:
        """Stop counting a request as in flight."""
        self._in_flight_requests -= 1

    def can_buffer(self, size: int) -> bool:
        """Return whether `size` more bytes fit in the limit."""
        return self._buffered_bytes + size <= self._max_bytes

    def reserve_bytes(self, size: int) -> None:
        """Add `size` bytes to the buffered ones without checking the limit.

        Answers are added without a check; a request body is checked with `can_buffer` first.
        """
        self._buffered_bytes += size

    def release_bytes(self, size: int) -> None:
        """Subtract `size` bytes from the buffered ones."""
        self._buffered_bytes -= size
