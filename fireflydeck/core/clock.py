"""The clock: milliseconds, monotonic for intervals and wall time for records."""

import time
from abc import ABC, abstractmethod

import anyio

__all__ = ["Clock", "SystemClock"]

_NS_PER_MS = 1_000_000
_MS_PER_S = 1000


class Clock(ABC):
    """Source of time in milliseconds.

    Intervals, timeouts and leases use `now_ms`, which also counts the time that the VM was
    suspended; only records that people read, and maintenance
    windows, use `wall_ms`.
    """

    @abstractmethod
    def now_ms(self) -> int:
        """Monotonic time in milliseconds, suspension included; the origin has no meaning."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch; may jump."""

    @abstractmethod
    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def now_ms(self) -> int:
        """Milliseconds since the start of the machine, suspension included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task."""
        await anyio.sleep(max(0, duration_ms) / _MS_PER_S)
