"""Schedule of the searches for a lease holder on a larger VM."""

from attrs import define

__all__ = ["LargerVmSearch"]

_FIRST_PAUSE_MS = 1000
"""Long enough for processes that restarted together with the holder to reach the store."""
_MAX_PAUSE_MS = 16_000


@define
class LargerVmSearch:
    """Schedule of the searches by a holder on a small VM.

    A holder on a small VM schedules a large fleet too slowly, so it hands the lease over once a
    process on a larger VM can take it. The pause between two searches doubles, since a fleet may
    have small VMs only.

    Parameters
    ----------
    next_ms
        Time of the next search, on the process's clock.
    """

    next_ms: int = 0
    _pause_ms: int = _FIRST_PAUSE_MS

    def restart(self, now_ms: int) -> None:
        """Schedule the first search of a tenure.

        The pause of a tenure that ended recently is kept: its hand-over may have failed, and the
        lease would go to and fro.
        """
        if now_ms > self.next_ms + _MAX_PAUSE_MS:
            self._pause_ms = _FIRST_PAUSE_MS
        self.next_ms = now_ms + self._pause_ms

    def begin_if_due(self, now_ms: int) -> bool:
        """Return whether a search is due, and schedule the next one if so."""
        if now_ms < self.next_ms:
            return False
        self._pause_ms = min(_MAX_PAUSE_MS, 2 * self._pause_ms)
        self.next_ms = now_ms + self._pause_ms
        return True
