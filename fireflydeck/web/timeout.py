"""Timeouts measured by a `Clock`, so that tests can advance the time."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio
from attrs import define

from fireflydeck.core import Clock, SystemClock

__all__ = ["run_within_ms"]

T = TypeVar("T")

_MS_PER_S = 1000


@define
class _Outcome(Generic[T]):
    value: T | None = None
    error: Exception | None = None
    is_finished: bool = False


async def run_within_ms(clock: Clock, duration_ms: int, call: Callable[[], Awaitable[T]]) -> T:
    """Await `call()` for at most `duration_ms` milliseconds and return its value.

    Raises
    ------
    TimeoutError
        If the call has not finished in time; it is cancelled.
    """
    if isinstance(clock, SystemClock):
        # The event loop uses the same monotonic clock, and its timers need no extra task.
        with anyio.move_on_after(duration_ms / _MS_PER_S):
            return await call()
        raise TimeoutError(f"not finished within {duration_ms} ms")
    return await _run_within_clock_ms(clock, duration_ms, call)


async def _run_within_clock_ms(
    clock: Clock, duration_ms: int, call: Callable[[], Awaitable[T]]
) -> T:
    outcome: _Outcome[T] = _Outcome()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_after_ms, clock, duration_ms, tasks.cancel_scope)
        try:
            outcome.value = await call()
            outcome.is_finished = True
        except Exception as error:
            outcome.error = error
        tasks.cancel_scope.cancel()
    if outcome.error is not None:
        raise outcome.error
    if not outcome.is_finished:
        raise TimeoutError(f"not finished within {duration_ms} ms")
    return outcome.value  # type: ignore[return-value]


async def _cancel_after_ms(clock: Clock, duration_ms: int, scope: anyio.CancelScope) -> None:
    await clock.sleep_ms(duration_ms)
    scope.cancel()
