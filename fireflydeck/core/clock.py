"""Clocks in milliseconds: monotonic time for intervals and wall time for records."""

import time
from abc import ABC, abstractmethod

import anyio

__all__ = ["Clock", "SystemClock"]

_NS_PER_MS = 1_000_000
_MS_PER_S = 1000


class Clock(ABC):
    """Source of time in milliseconds.

    Intervals, timeouts and leases use `now_ms`, which includes the time during which the VM was
    suspended. Only maintenance windows and records that people read use `wall_ms`.
    """

    @abstractmethod
    def now_ms(self) -> int:
        """Return the monotonic time, including suspension; its origin is arbitrary."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch; this clock may jump."""

    @abstractmethod
    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def now_ms(self) -> int:
        """Return the milliseconds since the operating system started, including suspension."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""
        await anyio.sleep(max(0, duration_ms) / _MS_PER_S)
