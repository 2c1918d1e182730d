"""Generation of request IDs that sort by time."""

import secrets

from fireflydeck.core import Clock

__all__ = ["RequestIds"]

_PROCESS_TOKEN_BYTES = 3
_MAX_SEQUENCE = 0xFFFFFF


class RequestIds:
    """Generates unique request IDs.

    An ID consists of the wall time in milliseconds, a random token of this process, a sequence
    number and the name of the member.

    Parameters
    ----------
    member
        Name of this member.
    """

    def __init__(self, member: str, clock: Clock) -> None:
        self._member = member
        self._clock = clock
        self._process_token = secrets.token_hex(_PROCESS_TOKEN_BYTES)
        self._wall_ms = 0
        self._sequence = 0

    def next(self) -> str:
        """Return a new ID, which sorts after all earlier ones even if the clock jumps back.

        Examples
        --------
        >>> from fireflydeck.core import SystemClock
        >>> ids = RequestIds("gateway-1", SystemClock())
        >>> ids.next() < ids.next()
        True
        """
        self._wall_ms = max(self._wall_ms, self._clock.wall_ms())
        self._sequence += 1
        if self._sequence > _MAX_SEQUENCE:
            self._sequence = 0
            self._wall_ms += 1
        return f"{self._wall_ms:012x}-{self._process_token}-{self._sequence:06x}-{self._member}"
