"""Stored record of VM operations for later lease holders: orders, maintenance, borrowed VMs."""

from collections.abc import Iterable

import msgpack
from attrs import define, field

from fireflydeck.core import Clock, Failure
from fireflydeck.core.rows import RowStore, RowWrite
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import VM_OPERATIONS_ROW

__all__ = ["VmOperationRecord"]

_TIMEOUT_MS = 1200
_RECENT_ORDER_MS = 6000
"""Older orders are not stored, since the next holder waits for less time than this."""


@define(eq=False)
class VmOperationRecord:
    """Stored record of VM operations; only the lease holder writes it.

    The VM of an order is stored before the order is sent. The next holder sends no order for such a
    VM until the minimum time between the orders of two holders has passed, and need not wait for
    other VMs.
    """

    _store: RowStore
    _lease: LeaseKeeper
    _clock: Clock
    _is_loaded: bool = field(default=False, init=False)
    _is_stored: bool = field(default=True, init=False)
    _borrowed: set[str] = field(factory=set, init=False)
    _accepted_maintenance: dict[int, set[str]] = field(factory=dict, init=False)
    _predecessor_orders: dict[str, int] = field(factory=dict, init=False)
    _recent_orders: dict[str, tuple[int, int]] = field(factory=dict, init=False)

    async def load(self) -> Failure | None:
        """Read the record of earlier holders, unless it is loaded already.

        Returns
        -------
        Failure or None
            The failure of the store, or `None` if the record is loaded.
        """
        if self._is_loaded:
            return None
        result = await self._store.read_row(VM_OPERATIONS_ROW, timeout_ms=_TIMEOUT_MS)
        if result.is_error():
            return result.error
        if result.ok is not None:
            borrowed, maintenance, recent = msgpack.unpackb(result.ok.value, strict_map_key=False)
            self._borrowed = set(borrowed)
            self._accepted_maintenance = {number: set(vms) for number, vms in maintenance.items()}
            self._predecessor_orders = recent
            # Kept in the row: this holder may be replaced before their lease time is over.
            now_ms = self._clock.now_ms()
            self._recent_orders = {vm: (number, now_ms) for vm, number in recent.items()}
        self._is_loaded = True
        return None

    def is_borrowed(self, vm: str) -> bool:
        """Return whether a VM was borrowed from a standby pool."""
        return vm in self._borrowed

    def is_maintenance_accepted(self, wave: int, vm: str) -> bool:
        """Return whether the maintenance of a VM was ordered and accepted."""
        return vm in self._accepted_maintenance.get(wave, ())

    def may_have_predecessor_order(self, vm: str) -> bool:
        """Return whether the previous holder may have recently sent an order for this VM."""
        return vm in self._predecessor_orders

    def vms_taken_down_by_predecessor(self, wave: int) -> set[str]:
        """Return the VMs of a wave that the previous holder may have just taken down."""
        return {vm for vm, number in self._predecessor_orders.items() if number == wave}

    def record_maintenance(self, wave: int, vm: str) -> None:
        """Record that a maintenance was accepted; the next `save` or `announce` stores it."""
        self._accepted_maintenance.setdefault(wave, set()).add(vm)
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
            Whether the VMs count as borrowed from a standby pool from now on.

        Returns
        -------
        Failure or None
            The failure of the commit; no order may be sent then.
        """
        now_ms = self._clock.now_ms()
        names = list(vms)
        self._recent_orders = {
            vm: (number, at_ms)
            for vm, (number, at_ms) in self._recent_orders.items()
            if now_ms - at_ms < _RECENT_ORDER_MS
        }
        self._recent_orders |= {vm: (wave, now_ms) for vm in names}
        if borrowed:
            self._borrowed.update(names)
        self._is_stored = False
        return await self.save()

    async def save(self, waves: set[int] | None = None) -> Failure | None:
        """Store the record if it changed since it was last stored.

        Parameters
        ----------
        waves
            Numbers of the waves to keep; the maintenance of other waves is dropped. By default
            all are kept.

        Returns
        -------
        Failure or None
            The failure of the commit, or `None` if the record is stored.
        """
        if self._is_stored:
            return None
        if waves is not None:
            self._accepted_maintenance = {
                number: vms for number, vms in self._accepted_maintenance.items() if number in waves
            }
        maintenance = {number: sorted(vms) for number, vms in self._accepted_maintenance.items()}
        recent = {vm: number for vm, (number, _) in self._recent_orders.items()}
        content = msgpack.packb([sorted(self._borrowed), maintenance, recent])
        failure = await self._lease.commit([RowWrite(VM_OPERATIONS_ROW, content)], [])
        self._is_stored = failure is None
        return failure
