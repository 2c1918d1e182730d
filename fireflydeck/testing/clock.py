"""A clock that advances only when a test advances it."""

import heapq

import anyio
import anyio.lowlevel

from fireflydeck.core import Clock

__all__ = ["FakeClock"]

_WALL_ORIGIN_MS = 1_800_000_000_000
_CHECKPOINTS = 30


class FakeClock(Clock):
    """Clock whose time passes only in `advance_ms`.

    Parameters
    ----------
    now_ms
        Initial monotonic time in milliseconds.
    """

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._sleepers: list[tuple[int, int, anyio.Event]] = []
        self._sequence = 0

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds, which advances with the monotonic time."""
        return _WALL_ORIGIN_MS + self._now_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """Wait until the test has advanced the time by `duration_ms`."""
        event = anyio.Event()
        self._sequence += 1
        heapq.heappush(self._sleepers, (self._now_ms + duration_ms, self._sequence, event))
        await event.wait()

    async def advance_ms(self, duration_ms: int) -> None:
        """Advance the time; wake the sleepers in order of time and run all tasks after each."""
        end_ms = self._now_ms + duration_ms
        await _run_until_blocked()
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            wake_ms, _, event = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, wake_ms)
            event.set()
            await _run_until_blocked()
        self._now_ms = end_ms


async def _run_until_blocked() -> None:
    """Run all tasks until they are blocked.

    `anyio.wait_all_tasks_blocked` sleeps 100 ms whenever it finds a task that is ready, so the
    checkpoints run the tasks first.
    """
    for _ in range(_CHECKPOINTS):
        await anyio.lowlevel.checkpoint()
    await anyio.wait_all_tasks_blocked()
