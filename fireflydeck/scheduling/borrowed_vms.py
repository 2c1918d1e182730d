"""Which VMs were taken from standby; only these are moved."""

import msgpack

from fireflydeck.core import Failure
from fireflydeck.core.rows import RowStore, RowWrite
from fireflydeck.core.vm_orders import ListedVm
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import BORROWED_ROW

__all__ = ["BorrowedVms"]

_TIMEOUT_MS = 1200


class BorrowedVms:
    """VMs that left standby, stored before they do, so that a later holder knows them."""

    def __init__(self, store: RowStore, lease: LeaseKeeper) -> None:
        self._store = store
        self._lease = lease
        self._pools: dict[str, str] | None = None

    def __contains__(self, vm: object) -> bool:
        return self._pools is not None and vm in self._pools

    async def load(self) -> Failure | None:
        """Read what earlier holders took, once."""
        if self._pools is not None:
            return None
        result = await self._store.read(
            BORROWED_ROW.table,
            BORROWED_ROW.partition,
            first=BORROWED_ROW.key,
            before=BORROWED_ROW.key + "\0",
            timeout_ms=_TIMEOUT_MS,
        )
        if result.is_error():
            return result.error
        rows = result.ok.rows
        self._pools = msgpack.unpackb(rows[0].value) if rows else {}
        return None

    async def add(self, vm: ListedVm) -> bool:
        """Store that a VM leaves standby; returns whether it is stored."""
        if self._pools is None:
            return False
        if vm.name in self._pools:
            return True
        pools = {**self._pools, vm.name: vm.pool}
        content = RowWrite(BORROWED_ROW, msgpack.packb(pools))
        if await self._lease.commit([content], []) is not None:
            return False
        self._pools = pools
        return True
