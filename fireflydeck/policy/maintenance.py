"""Choice of the VMs whose periodic maintenance begins next; pure functions of a snapshot."""

import hashlib
import heapq
from collections import defaultdict
from collections.abc import Iterable, Mapping

from attrs import field, frozen

from fireflydeck.core import Configuration, Pool, Vm, VmState

__all__ = [
    "DEFAULT_INTERVAL_MS",
    "DrainDecision",
    "MaintenanceInputs",
    "MaintenanceLimits",
    "due_ms",
    "plan_maintenance",
]

_HOUR_MS = 3_600_000
_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)
_INITIAL_DELAY_DIVISOR = 10
"""A newly seen VM is due after the interval divided by this at the earliest."""
_MAINTENANCE_STATES = (VmState.DRAINING, VmState.MAINTENANCE)
DEFAULT_INTERVAL_MS = 504 * _HOUR_MS
"""Time between two maintenances of a VM: three weeks."""


@frozen(kw_only=True)
class MaintenanceLimits:
    """Parameters of the rate of maintenance; times are in milliseconds.

    Parameters
    ----------
    interval_ms
        Time between two maintenances of a VM.
    lead_ms
        Time before its due time from which a VM may be chosen; it is extended in a pool that needs
        more time for all its VMs.
    duration_ms
        Estimated time that one VM is out of service.
    reserve_ms
        Planned time between the end of a VM's maintenance and its due time. VMs due sooner are
        chosen as fast as availability budgets and racks allow.
    rack_wait_ms
        A VM that is overdue for longer than this no longer waits until the VMs of another rack of
        its pool are back in service.
    margin
        Factor on the minimum number of concurrent maintenances that meets all due times.
    """

    interval_ms: int = DEFAULT_INTERVAL_MS
    lead_ms: int = 36 * _HOUR_MS
    duration_ms: int = _HOUR_MS // 6
    reserve_ms: int = 4 * _HOUR_MS
    rack_wait_ms: int = 24 * _HOUR_MS
    margin: float = 1.5


@frozen(kw_only=True)
class MaintenanceInputs:
    """Snapshot on which the decisions depend.

    Parameters
    ----------
    is_fresh
        Whether the configuration was confirmed within the freshness bound; without that, no
        maintenance begins.
    wall_ms
        Current wall time.
    first_seen_ms
        Wall time at which a VM that was never maintained was first seen, by name of the VM.
    load
        Load by name of the VM, 0 if missing; used only to order the VMs.
    """

    configuration: Configuration
    is_fresh: bool
    wall_ms: int
    limits: MaintenanceLimits = field(factory=MaintenanceLimits)
    first_seen_ms: Mapping[str, int] = field(factory=dict)
    load: Mapping[str, float] = field(factory=dict)


@frozen(kw_only=True)
class DrainDecision:
    """A VM whose maintenance begins now."""

    vm: str
    pool: str
    due_ms: int


@frozen(kw_only=True)
class _Candidate:
    """A VM whose maintenance may begin now."""

    vm: Vm
    due_ms: int
    load: float

    @property
    def rank(self) -> tuple[int, float, str]:
        """Return the sort key: most overdue first, by whole hours, then least loaded."""
        return self.due_ms // _HOUR_MS, self.load, self.vm.name


@frozen(kw_only=True)
class _PoolState:
    """Remaining availability budget of a pool, and its VMs that are draining or in maintenance.

    Parameters
    ----------
    budget_left
        Number of further VMs that may go out of service.
    in_maintenance
        Number of VMs that are draining or in maintenance.
    racks
        Racks of these VMs.
    """

    budget_left: int
    in_maintenance: int
    racks: frozenset[str]


def due_ms(vm: Vm, interval_ms: int, first_seen_ms: int | None = None) -> int | None:
    """Return the wall time by which the VM is to be maintained.

    A VM that was never maintained is due in the last nine tenths of the interval after it was
    first seen, at a time derived from a hash of its name. Until it is seen, the result is `None`.

    Examples
    --------
    >>> from fireflydeck.testing import build_vm
    >>> due_ms(build_vm(maintained_ms=5), 10)
    15
    >>> 101 <= due_ms(build_vm(), 10, first_seen_ms=100) <= 110
    True
    >>> due_ms(build_vm(), 10) is None
    True
    """
    if vm.maintained_ms:
        return vm.maintained_ms + interval_ms
    if first_seen_ms is None:
        return None
    digest = hashlib.blake2b(vm.name.encode(), digest_size=_HASH_BYTES).digest()
    initial_delay_ms = interval_ms // _INITIAL_DELAY_DIVISOR
    spread_ms = interval_ms - initial_delay_ms
    return first_seen_ms + initial_delay_ms + spread_ms * int.from_bytes(digest) // _HASH_RANGE


def plan_maintenance(inputs: MaintenanceInputs) -> tuple[DrainDecision, ...]:
    """Return the VMs to drain now, the most urgent first.

    VMs of a pool that are out of service for any reason count against its availability budget, and
    those that are draining or in maintenance are all in one rack. Over all pools, no more VMs are
    draining or in maintenance than the due times require, with a margin. The cost is that of
    sorting the VMs whose maintenance may begin.
    """
    if not inputs.is_fresh:
        return ()
    by_pool: dict[str, list[Vm]] = defaultdict(list)
    for vm in inputs.configuration.all(Vm):
        by_pool[vm.pool].append(vm)
    states = {}
    candidates = {}
    for pool in inputs.configuration.all(Pool):
        vms = by_pool[pool.name]
        states[pool.name] = _pool_state(pool, vms, inputs.configuration)
        candidates[pool.name] = _pool_candidates(pool, vms, inputs)
    all_candidates = [candidate for items in candidates.values() for candidate in items]
    in_maintenance = sum(state.in_maintenance for state in states.values())
    max_starts = _concurrency(all_candidates, in_maintenance, inputs) - in_maintenance
    chosen = {
        name: _choose_in_one_rack(candidates[name], state, inputs) for name, state in states.items()
    }
    return tuple(_spread_over_pools(chosen, states, max_starts))


def _pool_state(pool: Pool, vms: list[Vm], configuration: Configuration) -> _PoolState:
    under_maintenance = [vm for vm in vms if vm.state in _MAINTENANCE_STATES]
    unavailable = sum(not configuration.accepts_work(vm) for vm in vms)
    racks = frozenset(vm.rack for vm in under_maintenance)
    return _PoolState(
        budget_left=pool.max_unavailable - unavailable,
        in_maintenance=len(under_maintenance),
        racks=racks,
    )


def _pool_candidates(pool: Pool, vms: list[Vm], inputs: MaintenanceInputs) -> list[_Candidate]:
    """Return the VMs of a pool whose maintenance may begin, ordered by rank."""
    limits = inputs.limits
    batches = -(-len(vms) // max(1, pool.max_unavailable))
    racks = len({vm.rack for vm in vms})
    needed_ms = int(limits.margin * (batches + racks) * limits.duration_ms)
    lead_ms = min(limits.interval_ms // 2, max(limits.lead_ms, needed_ms))
    found = []
    for vm in vms:
        due = due_ms(vm, limits.interval_ms, inputs.first_seen_ms.get(vm.name))
        if due is None or inputs.wall_ms < due - lead_ms:
            continue
        if inputs.configuration.accepts_work(vm):
            load = inputs.load.get(vm.name, 0.0)
            found.append(_Candidate(vm=vm, due_ms=due, load=load))
    return sorted(found, key=lambda candidate: candidate.rank)


def _concurrency(
    candidates: list[_Candidate], in_maintenance: int, inputs: MaintenanceInputs
) -> int:
    """Return how many VMs should be in maintenance at the same time to meet all due times."""
    limits = inputs.limits
    concurrency = 0
    # VMs that are in maintenance already are counted before the candidates.
    for count, due in enumerate(sorted(it.due_ms for it in candidates), start=in_maintenance + 1):
        available_ms = max(due - limits.reserve_ms - inputs.wall_ms, limits.duration_ms)
        concurrency = max(
            concurrency, -(-int(limits.margin * count * limits.duration_ms) // available_ms)
        )
    return concurrency


def _choose_in_one_rack(
    candidates: list[_Candidate], state: _PoolState, inputs: MaintenanceInputs
) -> list[_Candidate]:
    """Return the candidates of a pool that its budget allows, all in one rack.

    If that rack has no candidate, a VM of another rack that is overdue for more than `rack_wait_ms`
    is returned alone.
    """
    if state.budget_left <= 0 or not candidates:
        return []
    racks = state.racks or {candidates[0].vm.rack}
    same_rack = [candidate for candidate in candidates if candidate.vm.rack in racks]
    overdue_limit_ms = inputs.wall_ms - inputs.limits.rack_wait_ms
    if not same_rack and candidates[0].due_ms < overdue_limit_ms:
        return candidates[:1]
    return same_rack[: state.budget_left]


def _spread_over_pools(
    chosen: Mapping[str, list[_Candidate]], states: Mapping[str, _PoolState], max_starts: int
) -> Iterable[DrainDecision]:
    """Yield at most `max_starts` decisions, each for a pool with the fewest VMs in maintenance."""
    heap = [
        (states[name].in_maintenance, items[0].rank, name, 0)
        for name, items in chosen.items()
        if items
    ]
    heapq.heapify(heap)
    for _ in range(max_starts):
        if not heap:
            return
        in_maintenance, _, name, index = heapq.heappop(heap)
        item = chosen[name][index]
        yield DrainDecision(vm=item.vm.name, pool=name, due_ms=item.due_ms)
        if index + 1 < len(chosen[name]):
            next_rank = chosen[name][index + 1].rank
            heapq.heappush(heap, (in_maintenance + 1, next_rank, name, index + 1))
