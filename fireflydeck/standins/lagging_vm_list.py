"""VM list whose changes become visible after a delay."""

from collections import deque

from fireflydeck.core import Clock
from fireflydeck.tables import ListedVm

__all__ = ["LaggingVmList"]


class LaggingVmList:
    """VM list in the state of `lag_ms` ago.

    Parameters
    ----------
    clock
        Source of time.
    lag_ms
        Time until a change becomes visible.
    """

    def __init__(self, clock: Clock, lag_ms: int) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._visible: tuple[ListedVm, ...] = ()
        self._pending: deque[tuple[int, tuple[ListedVm, ...]]] = deque()

    def replace(self, vms: tuple[ListedVm, ...]) -> None:
        """Replace the list; the new list becomes visible after the lag."""
        self._pending.append((self._clock.now_ms() + self._lag_ms, vms))

    def vms(self) -> tuple[ListedVm, ...]:
        """Return the list that is visible now."""
        now_ms = self._clock.now_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            _, self._visible = self._pending.popleft()
        return self._visible
