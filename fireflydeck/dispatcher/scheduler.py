"""Allocation of VM slots in fair order and within the organisations' allotments.

Slots are granted only while the configuration is fresh.
"""

import heapq
import itertools
from collections import Counter
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, field
from expression import Error, Ok, Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Clock, Configuration, Failure, Organisation, Pool, Queue, Ran, Reason
from fireflydeck.dispatcher.allotments import Allotments
from fireflydeck.dispatcher.pools import PoolSet, PoolState
from fireflydeck.dispatcher.slots import SlotGrant, SlotOutcome, SlotRequest
from fireflydeck.kernel import Metrics, Registry, Service
from fireflydeck.policy import Demand, VmLoad, WaitingRequest, fits_vm
from fireflydeck.policy.placement import REJECTION_PAUSE_MS

__all__ = ["Scheduler"]

EARLY_REFUSAL_FACTOR = 2
"""A request is refused on arrival if its expected wait exceeds this factor times the remaining
time until its deadline.
"""

_TICK_INTERVAL_MS = 50
_MIN_RETRY_HINT_MS = 100
_MAX_RETRY_HINT_MS = 30_000
_OVERRUN_CHARGE_INTERVAL_MS = 1_000
_COUNTED_OUTCOMES = frozenset({SlotOutcome.FINISHED, SlotOutcome.FAILED, SlotOutcome.UNREACHABLE})


@define
class _Waiter:
    entry: WaitingRequest
    request_id: str
    pool: PoolState
    done: anyio.Event = field(factory=anyio.Event)
    result: Result[SlotGrant, Failure] | None = None

    def complete(self, result: Result[SlotGrant, Failure]) -> None:
        self.result = result
        self.done.set()


@define
class _ActiveGrant:
    entry: WaitingRequest
    pool: PoolState
    load: VmLoad


class Scheduler(Service):
    """Queues slot requests by pool and grants slots to them.

    Parameters
    ----------
    view
        The current configuration.
    allotments
        This dispatcher's shares of the organisations' limits.
    clock
        Source of time.
    metrics
        Metrics of the process.
    data_centre
        Data centre of this process.
    """

    def __init__(
        self,
        view: ConfigurationView,
        allotments: Allotments,
        clock: Clock,
        metrics: Metrics,
        data_centre: str = "",
    ) -> None:
        self._view = view
        self._allotments = allotments
        self._clock = clock
        self._metrics = metrics
        self._pools = PoolSet(data_centre)
        self._entry_ids = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._active_grants: dict[int, _ActiveGrant] = {}
        self._queue_waiting: Counter[str] = Counter()
        self._organisation_waiting: Counter[str] = Counter()
        self._deadlines: list[tuple[int, int]] = []
        self._last_overrun_charge_ms = 0
        self._has_waiters = anyio.Event()
        self._is_stopping = False
        self._pools.update(view.current)
        view.on_change(self._on_change)
        allotments.on_increase(self._dispatch_all)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "scheduler"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the periodic check of deadlines and waiting requests."""
        tasks.start_soon(self._tick_forever)

    async def stop(self) -> None:
        """Refuse all waiting and new requests; granted slots stay valid until their release."""
        self._is_stopping = True
        for waiter in list(self._waiters.values()):
            self._refuse(waiter, Reason.STOPPING, "the dispatcher stops")

    def state(self) -> dict[str, Any]:
        """Return the number of waiting requests and granted slots, in total and by pool."""
        return {
            "waiting": len(self._waiters),
            "held": len(self._active_grants),
            "pools": {
                pool.name: {
                    "waiting": len(pool.order),
                    "running": pool.order.running,
                    "slots": pool.placement.slots,
                    "vms": {
                        name: pool.placement.load_of(name).running  # type: ignore[union-attr]
                        for name in pool.placement.vms
                    },
                }
                for pool in self._pools.states
            },
        }

    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Failure]:
        """Wait for a slot until the request's deadline.

        Returns
        -------
        Result
            The grant, or a failure with `Ran.NO` and one of the reasons `STOPPING`,
            `STALE_CONFIGURATION`, `UNKNOWN_QUEUE`, `NO_CAPACITY`, `FITS_NOWHERE`, `QUEUE_FULL`,
            `DEADLINE` and, if the organisation is removed during the wait, `WRONG_KEY`.
        """
        admitted = self._admit(request)
        if admitted.is_error():
            return Error(admitted.error)
        waiter = self._enqueue(request, admitted.ok)
        self._dispatch(waiter.pool)
        try:
            await waiter.done.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        assert waiter.result is not None
        return waiter.result

    def release(self, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Release a slot; a second release of the same grant does nothing."""
        active = self._active_grants.pop(grant.grant_id, None)
        if active is None:
            return
        now_ms = self._clock.now_ms()
        if outcome is SlotOutcome.REFUSED:
            active.load.paused_until_ms = now_ms + REJECTION_PAUSE_MS
        if outcome in _COUNTED_OUTCOMES:
            is_failure = outcome is not SlotOutcome.FINISHED
            if self._pools.record_outcome(active.load, now_ms, is_failure=is_failure):
                self._metrics.count("vms_put_aside_total", vm=active.load.vm.name)
        active.pool.order.finish(grant.grant_id, now_ms, learn=outcome is SlotOutcome.FINISHED)
        self._allotments.finish(active.entry.organisation)
        self._pools.adjust_load(active.load, active.entry.demand, -1)
        self._metrics.count("slots_released_total", outcome=outcome.value)
        self._dispatch_after_release(active)

    def _admit(self, request: SlotRequest) -> Result[PoolState, Failure]:
        if self._is_stopping:
            return self._refusal(Reason.STOPPING, "the dispatcher stops")
        if not self._view.is_fresh():
            return self._refusal(Reason.STALE_CONFIGURATION, "the configuration is not fresh")
        queue = self._view.current.get(Queue, request.queue)
        if queue is None:
            return self._refusal(Reason.UNKNOWN_QUEUE, f"no queue {request.queue}")
        return self._admit_to_queue(request, queue)

    def _admit_to_queue(self, request: SlotRequest, queue: Queue) -> Result[PoolState, Failure]:
        configuration = self._view.current
        if configuration.get(Pool, queue.pool) is None:
            return self._refusal(Reason.NO_CAPACITY, f"no pool {queue.pool}")
        demand = _demand_of(request)
        vms = configuration.vms_in_pool(queue.pool)
        if vms and not any(fits_vm(vm, demand) for vm in vms):
            return self._refusal(Reason.FITS_NOWHERE, f"no VM of {queue.pool} is large enough")
        return self._admit_to_pool(request, queue, self._pools.get(queue.pool))

    def _admit_to_pool(
        self, request: SlotRequest, queue: Queue, pool: PoolState
    ) -> Result[PoolState, Failure]:
        retry_after_ms = _retry_hint_ms(pool.order.drain_time_ms(queue.name))
        if self._queue_waiting[queue.name] >= queue.max_waiting:
            detail = f"{queue.max_waiting} requests wait"
            return self._refusal(Reason.QUEUE_FULL, detail, retry_after_ms)
        expected_ms = pool.order.expected_wait_ms(request.organisation, queue.name, request.urgency)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if expected_ms > EARLY_REFUSAL_FACTOR * max(0, remaining_ms):
            detail = f"the wait is about {expected_ms:.0f} ms, the deadline is in {remaining_ms} ms"
            return self._refusal(Reason.DEADLINE, detail, retry_after_ms)
        return Ok(pool)

    def _enqueue(self, request: SlotRequest, pool: PoolState) -> _Waiter:
        entry = WaitingRequest(
            entry_id=next(self._entry_ids),
            organisation=request.organisation,
            queue=request.queue,
            urgency=request.urgency,
            arrived_ms=self._clock.now_ms(),
            deadline_ms=request.deadline_ms,
            demand=_demand_of(request),
            excluded_vms=request.excluded_vms,
        )
        waiter = _Waiter(entry, request.request_id, pool)
        self._waiters[entry.entry_id] = waiter
        self._count_waiting(entry, 1)
        pool.order.add(entry)
        heapq.heappush(self._deadlines, (entry.deadline_ms, entry.entry_id))
        self._has_waiters.set()
        return waiter

    def _dispatch_all(self) -> None:
        for pool in self._pools.states:
            self._dispatch(pool)

    def _dispatch_after_release(self, active: _ActiveGrant) -> None:
        """Grant slots in each pool that can use the free slot or the organisation's allotment."""
        vm_pool = self._pools.get(active.load.vm.pool)
        for pool in (vm_pool, active.pool):
            self._dispatch(pool)
        for pool in self._pools.states:
            if vm_pool.is_spare or pool.order.waiting_count(active.entry.organisation):
                self._dispatch(pool)

    def _dispatch(self, pool: PoolState) -> None:
        if not len(pool.order) or not self._view.is_fresh():
            return
        while self._grant_next(pool):
            pass

    def _grant_next(self, pool: PoolState) -> bool:
        if not self._pools.has_room(pool):
            return False
        now_ms = self._clock.now_ms()
        limited: set[str] = set()
        for entry in pool.order.candidates(now_ms):
            if entry.organisation in limited:
                continue
            if not self._allotments.can_start(entry.organisation):
                limited.add(entry.organisation)
                continue
            load = self._pools.choose(pool, entry, now_ms)
            if load is not None and self._allotments.try_start(entry.organisation):
                self._grant(entry, pool, load, limited)
                return True
        return False

    def _grant(
        self, entry: WaitingRequest, pool: PoolState, load: VmLoad, limited: set[str]
    ) -> None:
        now_ms = self._clock.now_ms()
        waiter = self._waiters[entry.entry_id]
        self._remove_waiter(waiter)
        pool.order.start(entry.entry_id, now_ms, limited)
        self._pools.adjust_load(load, entry.demand, 1)
        self._active_grants[entry.entry_id] = _ActiveGrant(entry, pool, load)
        wait_ms = now_ms - entry.arrived_ms
        self._metrics.observe_ms("slot_wait_ms", wait_ms, urgency=entry.urgency.value)
        waiter.complete(
            Ok(
                SlotGrant(
                    grant_id=entry.entry_id,
                    request_id=waiter.request_id,
                    vm=load.vm,
                    granted_ms=now_ms,
                )
            )
        )

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter.result is not None:
            if waiter.result.is_ok():
                self.release(waiter.result.ok, SlotOutcome.UNUSED)
            return
        waiter.pool.order.remove(waiter.entry.entry_id)
        self._remove_waiter(waiter)

    def _remove_waiter(self, waiter: _Waiter) -> None:
        self._waiters.pop(waiter.entry.entry_id, None)
        self._count_waiting(waiter.entry, -1)

    def _count_waiting(self, entry: WaitingRequest, sign: int) -> None:
        self._queue_waiting[entry.queue] += sign
        self._organisation_waiting[entry.organisation] += sign
        self._allotments.set_waiting(
            entry.organisation, self._organisation_waiting[entry.organisation]
        )

    def _refuse(self, waiter: _Waiter, reason: Reason, detail: str) -> None:
        waiter.pool.order.remove(waiter.entry.entry_id)
        self._remove_waiter(waiter)
        waiter.complete(self._refusal(reason, detail))

    def _refusal(
        self, reason: Reason, detail: str, retry_after_ms: int = 0
    ) -> Result[Any, Failure]:
        self._metrics.count("slots_refused_total", reason=reason.value)
        return Error(
            Failure(
                reason,
                step="scheduler.acquire",
                detail=detail,
                ran=Ran.NO,
                retry_after_ms=retry_after_ms,
            )
        )

    def _on_change(self, _: Configuration, current: Configuration) -> None:
        self._pools.update(current)
        for waiter in list(self._waiters.values()):
            self._update_waiter(waiter, current)
        self._dispatch_all()

    def _update_waiter(self, waiter: _Waiter, current: Configuration) -> None:
        entry = waiter.entry
        queue = current.get(Queue, entry.queue)
        if queue is None:
            self._refuse(waiter, Reason.UNKNOWN_QUEUE, f"queue {entry.queue} was removed")
        elif entry.organisation and current.get(Organisation, entry.organisation) is None:
            self._refuse(waiter, Reason.WRONG_KEY, f"organisation {entry.organisation} was removed")
        elif queue.pool != waiter.pool.name:
            waiter.pool.order.remove(entry.entry_id)
            waiter.pool = self._pools.get(queue.pool)
            waiter.pool.order.add(entry)

    async def _tick_forever(self) -> None:
        while True:
            if not self._waiters:
                self._has_waiters = anyio.Event()
                await self._has_waiters.wait()
            await self._clock.sleep_ms(_TICK_INTERVAL_MS)
            self.tick()

    def tick(self) -> None:
        """Refuse the waiting requests past their deadline and grant slots to the others."""
        now_ms = self._clock.now_ms()
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, entry_id = heapq.heappop(self._deadlines)
            if entry_id in self._waiters:
                self._refuse(self._waiters[entry_id], Reason.DEADLINE, "no slot in time")
        if now_ms - self._last_overrun_charge_ms >= _OVERRUN_CHARGE_INTERVAL_MS:
            self._last_overrun_charge_ms = now_ms
            for pool in self._pools.states:
                pool.order.charge_overruns(now_ms)
        self._dispatch_all()


def _retry_hint_ms(drain_time_ms: float) -> int:
    return round(min(max(drain_time_ms, _MIN_RETRY_HINT_MS), _MAX_RETRY_HINT_MS))


def _demand_of(request: SlotRequest) -> Demand:
    return Demand(request.cores, request.memory_mb, request.accelerators)
