"""Restart of the loops of a process after unexpected errors."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from fireflydeck.core import Clock
from fireflydeck.kernel.events import Event, EventLog

__all__ = ["keep_running", "run_and_log_error"]

_RESTART_DELAY_MS = 200


async def keep_running(
    clock: Clock, log: EventLog, step: str, function: Callable[..., Awaitable[Any]], *args: Any
) -> None:
    """Run a loop; after an unexpected error, log it and restart the loop.

    The loop is run with `args`; this function returns when the loop ends without an error.
    """
    while not await run_and_log_error(log, step, function, *args):
        await clock.sleep_ms(_RESTART_DELAY_MS)


async def run_and_log_error(
    log: EventLog, step: str, function: Callable[..., Awaitable[Any]], *args: Any
) -> bool:
    """Run a function and log an unexpected error.

    Returns
    -------
    bool
        Whether the function ended without an error.
    """
    try:
        await function(*args)
    except Exception as error:
        log.emit(
            Event.SERVICE_FAILED, step=step, error=repr(error), trace=traceback.format_exc(limit=-6)
        )
        return False
    return True
