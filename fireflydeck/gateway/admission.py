"""Bounds the requests and the bytes that a gateway holds."""

from fireflydeck.core import Failure, Reason

__all__ = ["LoadLimiter"]

_STEP = "gateway.admit"


class LoadLimiter:
    """Counts held requests and bytes against their limits.

    Parameters
    ----------
    max_requests
        Requests held at the same time.
    max_bytes
        Bytes of bodies and answers held at the same time.
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._requests = 0
        self._bytes = 0

    @property
    def requests(self) -> int:
        """Requests held now."""
        return self._requests

    @property
    def bytes(self) -> int:
        """Bytes held now."""
        return self._bytes

    def enter(self) -> Failure | None:
        """Count a request in, or return why it is refused."""
        if self._requests >= self._max_requests:
            detail = f"{self._max_requests} requests are held already"
            return Failure(Reason.TOO_MANY_REQUESTS, step=_STEP, detail=detail)
        self._requests += 1
        return None

    def leave(self) -> None:
        """Count a request out."""
        self._requests -= 1

    def has_room(self, size: int) -> bool:
        """Tell whether `size` more bytes may be held."""
        return self._bytes + size <= self._max_bytes

    def hold(self, size: int) -> None:
        """Count bytes in; answers are counted without a check."""
        self._bytes += size

    def release(self, size: int) -> None:
        """Count bytes out."""
        self._bytes -= size
