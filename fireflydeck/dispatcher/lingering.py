"""Delayed release of slots whose requests may still be running.

If the outcome of a request is unknown, its slot stays occupied until the task has ended.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define

from fireflydeck.core import Clock
from fireflydeck.dispatcher.backend_client import BackendClient
from fireflydeck.dispatcher.slots import SlotGrant

__all__ = ["LingeringSlots"]

LEASE_MARGIN_MS = 1_000
"""Time that a backend server may take to stop a task after the end of the task's lease."""

_POLL_INTERVAL_MS = 250
_REQUIRED_ABSENT_POLLS = 2


@define(eq=False)
class _LingeringSlot:
    grant: SlotGrant
    lease_end_ms: int
    release: Callable[[], None]


class LingeringSlots:
    """Releases each slot when its backend server no longer reports the task or the lease has ended.

    Parameters
    ----------
    client
        Client for the backend servers, asked for their running tasks.
    clock
        Source of time.
    """

    def __init__(self, client: BackendClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._tasks: TaskGroup | None = None
        self._slots: set[_LingeringSlot] = set()
        self._changed = anyio.Event()

    def __len__(self) -> int:
        return len(self._slots)

    def start(self, tasks: TaskGroup) -> None:
        """Set the task group in which the polls run."""
        self._tasks = tasks

    def add(self, grant: SlotGrant, lease_end_ms: int, release: Callable[[], None]) -> None:
        """Add a slot and call `release` when its task has certainly ended.

        Parameters
        ----------
        lease_end_ms
            Monotonic time of the end of the task's lease, in milliseconds.
        """
        assert self._tasks is not None
        slot = _LingeringSlot(grant, lease_end_ms, release)
        self._slots.add(slot)
        self._tasks.start_soon(self._release_when_ended, slot)

    async def wait_until_empty(self) -> None:
        """Wait until all slots are released."""
        while self._slots:
            self._changed = anyio.Event()
            await self._changed.wait()

    async def _release_when_ended(self, slot: _LingeringSlot) -> None:
        end_ms = slot.lease_end_ms + LEASE_MARGIN_MS
        absent = 0
        while absent < _REQUIRED_ABSENT_POLLS and self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            running = await self._client.running_tasks(slot.grant.vm)
            is_absent = running.is_ok() and slot.grant.request_id not in running.ok
            absent = absent + 1 if is_absent else 0
        self._slots.discard(slot)
        slot.release()
        self._changed.set()
