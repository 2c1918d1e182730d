"""What holders of the lease tell their successors of the VMs: orders, maintenance, loans."""

from collections.abc import Iterable

import msgpack
from attrs import define, field

from fireflydeck.core import Clock, Failure
from fireflydeck.core.rows import RowStore, RowWrite
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import DUTIES_ROW

__all__ = ["DutyRecord"]

_TIMEOUT_MS = 1200
_RECENT_MS = 6000
"""Orders older than this need not be told to a successor; longer than it waits for them."""


@define(eq=False)
class DutyRecord:
    """The stored record; only the lease's holder writes it.

    An order is announced before it is sent, so that a successor leaves its VM alone for the time
    that two holders must keep apart, and may order all other VMs at once.
    """

    _store: RowStore
    _lease: LeaseKeeper
    _clock: Clock
    _is_loaded: bool = field(default=False, init=False)
    _is_stored: bool = field(default=True, init=False)
    _borrowed: set[str] = field(factory=set, init=False)
    _maintenance: dict[int, set[str]] = field(factory=dict, init=False)
    _before: dict[str, int] = field(factory=dict, init=False)
    _recent: dict[str, tuple[int, int]] = field(factory=dict, init=False)

    async def load(self) -> Failure | None:
        """Read what earlier holders stored, once."""
        if self._is_loaded:
            return None
        result = await self._store.read_row(DUTIES_ROW, timeout_ms=_TIMEOUT_MS)
        if result.is_error():
            return result.error
        if result.ok is not None:
            borrowed, maintenance, recent = msgpack.unpackb(result.ok.value, strict_map_key=False)
            self._borrowed = set(borrowed)
            self._maintenance = {number: set(vms) for number, vms in maintenance.items()}
            self._before = recent
        self._is_loaded = True
        return None

    def is_borrowed(self, vm: str) -> bool:
        """Whether a VM was taken from standby."""
        return vm in self._borrowed

    def has_begun(self, wave: int, vm: str) -> bool:
        """Whether the maintenance of a VM was ordered and taken."""
        return vm in self._maintenance.get(wave, ())

    def ordered_before(self, vm: str) -> bool:
        """Whether the holder before may have ordered something for a VM just before it ended."""
        return vm in self._before

    def taken_down_before(self, wave: int) -> set[str]:
        """Return the VMs of a wave that the holder before may have taken down at its end."""
        return {vm for vm, number in self._before.items() if number == wave}

    def note_maintenance(self, wave: int, vm: str) -> None:
        """Note that a VM's maintenance was taken; stored with the next `save` or `announce`."""
        self._maintenance.setdefault(wave, set()).add(vm)
        self._is_stored = False

    async def announce(
        self, vms: Iterable[str], *, wave: int = 0, borrowed: bool = False
    ) -> Failure | None:
        """Store that orders for some VMs are about to be sent.

        Parameters
        ----------
        wave
            Number of the wave that the orders serve; 0 for moves.
        borrowed
            Whether the VMs count as taken from standby from now on.
        """
        now_ms = self._clock.now_ms()
        names = list(vms)
        self._recent = {
            vm: (number, at_ms)
            for vm, (number, at_ms) in self._recent.items()
            if now_ms - at_ms < _RECENT_MS
        }
        self._recent |= {vm: (wave, now_ms) for vm in names}
        if borrowed:
            self._borrowed.update(names)
        self._is_stored = False
        return await self.save()

    async def save(self, waves: set[int] | None = None) -> Failure | None:
        """Store what was noted; if given, of `waves` only; other waves are forgotten."""
        if self._is_stored:
            return None
        if waves is not None:
            self._maintenance = {
                number: vms for number, vms in self._maintenance.items() if number in waves
            }
        maintenance = {number: sorted(vms) for number, vms in self._maintenance.items()}
        recent = {vm: number for vm, (number, _) in self._recent.items()}
        content = msgpack.packb([sorted(self._borrowed), maintenance, recent])
        failure = await self._lease.commit([RowWrite(DUTIES_ROW, content)], [])
        self._is_stored = failure is None
        return failure
