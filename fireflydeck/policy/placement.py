"""Choice of a VM for a task among the VMs of one pool."""

import heapq
from collections.abc import Collection, Iterator

from attrs import define, field

from fireflydeck.core import Vm
from fireflydeck.policy.fair_order import Demand
from fireflydeck.policy.outliers import EJECTION_MS, FailureRate, may_eject

__all__ = ["PoolPlacement", "VmLoad", "fits_vm"]

REJECTION_PAUSE_MS = 100
"""Time for which a VM is not chosen again after it rejected work because it had no free slot."""

_MAX_HEAP_ENTRIES_PER_VM = 8
"""Heap entries per VM above which outdated entries are removed."""

_Rank = tuple[float, bool, int, str]


def fits_vm(vm: Vm, demand: Demand) -> bool:
    """Return whether the demand would fit on the VM if nothing ran on it."""
    return (
        demand.cores <= vm.cores
        and demand.memory_mb <= vm.memory_mb
        and demand.accelerators <= vm.accelerators
        and vm.slots > 0
        and vm.connections > 0
    )


@define(eq=False)
class VmLoad:
    """A VM and its load as far as this process knows it.

    Parameters
    ----------
    running
        Number of running tasks.
    cores, memory_mb, accelerators
        Resources that the running tasks occupy.
    paused_until_ms
        Monotonic time until which the VM is not chosen because it rejected work.
    ejected_until_ms
        Monotonic time until which the VM is ejected because of its failures.
    revision
        Revision of the VM's valid entry in the heap of its pool.
    """

    vm: Vm
    running: int = 0
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    paused_until_ms: int = 0
    failures: FailureRate = field(factory=FailureRate)
    ejected_until_ms: int = 0
    revision: int = 0

    @property
    def has_free_slot(self) -> bool:
        """Return whether a slot and a connection are free."""
        return self.running < min(self.vm.slots, self.vm.connections)

    def fits(self, demand: Demand) -> bool:
        """Return whether the demand fits on the VM in addition to the running tasks."""
        return (
            self.has_free_slot
            and self.cores + demand.cores <= self.vm.cores
            and self.memory_mb + demand.memory_mb <= self.vm.memory_mb
            and self.accelerators + demand.accelerators <= self.vm.accelerators
        )

    def adjust(self, demand: Demand, sign: int) -> None:
        """Add (`sign` 1) or remove (-1) the load of one task."""
        self.running += sign
        self.cores += sign * demand.cores
        self.memory_mb += sign * demand.memory_mb
        self.accelerators += sign * demand.accelerators


@define(eq=False)
class PoolPlacement:
    """VMs of a pool that accept work, in a heap ordered by load.

    A change of a VM's load pushes a new entry; entries with an older revision are skipped.

    Parameters
    ----------
    data_centre
        Data centre of this process; among VMs with equal load, its own come first.
    max_unavailable
        Availability budget of the pool, in VMs.
    unavailable
        Number of VMs of the pool that accept no work because of their own state or that of their
        data centre.
    """

    data_centre: str = ""
    max_unavailable: int = 1
    unavailable: int = 0
    _loads: dict[str, VmLoad] = field(factory=dict, init=False)
    _rack_running: dict[str, int] = field(factory=dict, init=False)
    _heap: list[tuple[_Rank, int, VmLoad]] = field(factory=list, init=False)

    @property
    def vms(self) -> Collection[str]:
        """Return the names of the VMs."""
        return self._loads.keys()

    @property
    def slots(self) -> int:
        """Return the number of slots of all VMs."""
        return sum(load.vm.slots for load in self._loads.values())

    def load_of(self, vm: str) -> VmLoad | None:
        """Return the load of a VM, or `None` if it is not in the pool."""
        return self._loads.get(vm)

    def put(self, load: VmLoad) -> None:
        """Add a VM, or update its position after the VM or its load changed."""
        if self._loads.get(load.vm.name) is not load:
            self._loads[load.vm.name] = load
            self._add_to_rack(load, load.running)
        self._push(load)

    def remove(self, load: VmLoad) -> None:
        """Remove a VM, so that it is no longer chosen."""
        if self._loads.get(load.vm.name) is load:
            del self._loads[load.vm.name]
            self._add_to_rack(load, -load.running)
            load.revision += 1

    @property
    def has_free_slot(self) -> bool:
        """Return whether any VM has a free slot."""
        while self._heap and self._heap[0][1] != self._heap[0][2].revision:
            heapq.heappop(self._heap)
        return bool(self._heap)

    def record_outcome(self, load: VmLoad, now_ms: int, *, is_failure: bool) -> bool:
        """Record an outcome in the VM's failure rate; return whether this ejects the VM."""
        load.failures.add(is_failure=is_failure)
        if not load.failures.is_high or load.ejected_until_ms > now_ms:
            return False
        ejected = sum(other.ejected_until_ms > now_ms for other in self._loads.values())
        if not may_eject(self.unavailable, ejected, self.max_unavailable):
            return False
        load.ejected_until_ms = now_ms + EJECTION_MS
        load.failures.value = 0.0
        return True

    def choose(self, demand: Demand, now_ms: int, excluded: Collection[str] = ()) -> VmLoad | None:
        """Return the best VM for the demand, or `None` if no VM has room now.

        `excluded` is ignored if it contains all VMs of the pool.
        """
        if all(name in excluded for name in self._loads):
            excluded = ()
        skipped = []
        chosen = None
        for load in self._pop_ranked():
            skipped.append(load)
            is_paused = max(load.paused_until_ms, load.ejected_until_ms) > now_ms
            if not is_paused and load.vm.name not in excluded and load.fits(demand):
                chosen = load
                break
        for load in skipped:
            self._push(load)
        return chosen

    def adjust_load(self, load: VmLoad, demand: Demand, sign: int) -> None:
        """Add (`sign` 1) or remove (-1) the load of one task on the VM."""
        load.adjust(demand, sign)
        if self._loads.get(load.vm.name) is load:
            self._add_to_rack(load, sign)
            self._push(load)

    def _add_to_rack(self, load: VmLoad, running: int) -> None:
        rack = load.vm.rack
        self._rack_running[rack] = self._rack_running.get(rack, 0) + running

    def _push(self, load: VmLoad) -> None:
        load.revision += 1
        if not load.has_free_slot:
            return
        heapq.heappush(self._heap, (self._rank(load), load.revision, load))
        if len(self._heap) > _MAX_HEAP_ENTRIES_PER_VM * (len(self._loads) + 1):
            self._heap = [item for item in self._heap if item[1] == item[2].revision]
            heapq.heapify(self._heap)

    def _pop_ranked(self) -> Iterator[VmLoad]:
        while self._heap:
            _, revision, load = heapq.heappop(self._heap)
            if revision == load.revision:
                yield load

    def _rank(self, load: VmLoad) -> _Rank:
        vm = load.vm
        is_remote = vm.data_centre != self.data_centre
        rack_running = self._rack_running.get(vm.rack, 0)
        return load.running / vm.slots, is_remote, rack_running, vm.name
