"""Which VMs of which waves have begun their upkeep, kept for later holders of the lease."""

import msgpack

from fireflydeck.core import Failure
from fireflydeck.core.rows import RowStore, RowWrite
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import UPKEEP_ROW

__all__ = ["UpkeepRecord"]

_TIMEOUT_MS = 1200


class UpkeepRecord:
    """VMs by wave; stored after the orders, so that an order may be repeated after a take-over."""

    def __init__(self, store: RowStore, lease: LeaseKeeper) -> None:
        self._store = store
        self._lease = lease
        self._vms: dict[int, set[str]] | None = None
        self._is_stored = True

    async def load(self) -> Failure | None:
        """Read what earlier holders stored, once."""
        if self._vms is not None:
            return None
        result = await self._store.read(
            UPKEEP_ROW.table,
            UPKEEP_ROW.partition,
            first=UPKEEP_ROW.key,
            before=UPKEEP_ROW.key + "\0",
            timeout_ms=_TIMEOUT_MS,
        )
        if result.is_error():
            return result.error
        rows = result.ok.rows
        stored = msgpack.unpackb(rows[0].value, strict_map_key=False) if rows else {}
        self._vms = {number: set(vms) for number, vms in stored.items()}
        return None

    def has_begun(self, wave: int, vm: str) -> bool:
        """Whether the upkeep of a VM was ordered and taken."""
        return self._vms is not None and vm in self._vms.get(wave, ())

    def add(self, wave: int, vm: str) -> None:
        """Note that the upkeep of a VM was taken."""
        if self._vms is not None:
            self._vms.setdefault(wave, set()).add(vm)
            self._is_stored = False

    async def save(self, waves: set[int]) -> Failure | None:
        """Store what was added; only the waves that are still requested are kept."""
        if self._is_stored or self._vms is None:
            return None
        self._vms = {number: vms for number, vms in self._vms.items() if number in waves}
        content = {number: sorted(vms) for number, vms in self._vms.items()}
        failure = await self._lease.commit([RowWrite(UPKEEP_ROW, msgpack.packb(content))], [])
        self._is_stored = failure is None
        return failure
