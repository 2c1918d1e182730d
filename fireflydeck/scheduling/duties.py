"""Duties of the lease's holder on VMs: moves between pools and waves of upkeep."""

from collections.abc import Callable

from attrs import define, field
from expression import Result

from fireflydeck.core import Clock, Failure, Ran
from fireflydeck.core.fleet_configuration import FleetConfiguration, MaintenanceWave
from fireflydeck.core.rows import RowStore
from fireflydeck.core.vm_orders import DutyOutcome, ListedVm, VmListState, VmOrders
from fireflydeck.kernel import Event, EventLog
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.ownership.lease import LeaseKeeper, Tenure
from fireflydeck.platform.documents import WaveState
from fireflydeck.policy.pool_sizes import PoolLoad, VmLoad, choose_moves
from fireflydeck.policy.upkeep import DueVm, choose_vms_to_empty
from fireflydeck.scheduling.availability import may_disrupt
from fireflydeck.scheduling.borrowed_vms import BorrowedVms
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.wave_status import report_wave
from fireflydeck.workload.life import Attempt

__all__ = ["DutyTimes", "FleetDuties"]

DutyResult = Result[DutyOutcome, Failure]

_MS_PER_S = 1000
_CORE = 1000
"""Thousandths in a core."""
_ROUND_MS = 250
_LIST_AGE_MS = 900
"""A list of VMs older than this is read again before a decision."""
_MAX_LIST_AGE_MS = 1500
"""No duty is ordered by an older list."""
_CALL_TIMEOUT_MS = 600
_SETTLE_MS = 400
"""Added to the lease time between the duties of two holders."""
_UNCERTAIN_MS = 15_000
"""How long a VM stays out of work after an order for it got no answer."""
_URGENT_SHARE = 0.4
"""Part of a wave's time after which VMs are emptied in spite of a backlog."""
_PRESSED_CORE_S = 20.0
"""A pool with more work waiting than this gives no busy VM to a wave."""


@define(frozen=True, kw_only=True)
class DutyTimes:
    """Times of the platform, in milliseconds."""

    duty_lease_ms: int
    migration_ms: int
    maintenance_ms: int


@define(eq=False)
class _Order:
    """An order for a VM that was taken or got no answer."""

    vm: str
    server_id: str
    target: str
    wave: int
    sent_ms: int
    is_certain: bool


@define(eq=False, kw_only=True)
class FleetDuties:
    """Moves VMs and takes them down for upkeep; idle VMs only.

    Parameters
    ----------
    servers
        Backend servers by id.
    demand
        Returns the work in sight by pool.
    request_stop
        Stops a run.
    """

    store: RowStore
    tenure: Tenure
    lease: LeaseKeeper
    operators: OperatorDocuments
    clock: Clock
    log: EventLog
    orders: VmOrders
    times: DutyTimes
    servers: dict[str, Server]
    demand: Callable[[], dict[str, PoolDemand]]
    request_stop: Callable[[Attempt], None]
    wake: Callable[[], None]
    _vms: dict[str, ListedVm] = field(factory=dict, init=False)
    _borrowed: BorrowedVms = field(init=False)
    _listed_ms: int | None = field(default=None, init=False)
    _sent: dict[str, _Order] = field(factory=dict, init=False)
    _kept: set[tuple[int, str]] = field(factory=set, init=False)
    _first_seen_ms: dict[int, int] = field(factory=dict, init=False)
    _reported: dict[int, str] = field(factory=dict, init=False)
    _idle_since_ms: dict[str, int] = field(factory=dict, init=False)

    @_borrowed.default
    def _make_borrowed(self) -> BorrowedVms:
        return BorrowedVms(self.store, self.lease)

    async def run(self) -> None:
        """Look for duties until cancelled."""
        while True:
            await self.clock.sleep_ms(_ROUND_MS)
            configuration = self.operators.configuration
            if configuration is None or not self.may_order():
                continue
            await self._round(configuration)

    def may_order(self) -> bool:
        """Whether this process may order duties now."""
        earliest_ms = self.tenure.since_ms + self.times.duty_lease_ms + _SETTLE_MS
        return self.lease.is_valid() and self.clock.now_ms() >= earliest_ms

    async def _round(self, configuration: FleetConfiguration) -> None:
        self._note_idle()
        waves = [wave for wave in self.operators.waves if self._is_open(wave)]
        demand = self.demand()
        if not waves and not self._wants_moves(configuration, demand):
            return
        if not await self._refresh():
            return
        failure = await self._borrowed.load()
        if failure is not None:
            self._note_store_failure(failure)
            return
        for wave in waves:
            await self._serve_wave(wave, demand)
        await self._move(configuration, demand, {vm for wave in waves for vm in wave.vms})

    # What is known

    def _note_idle(self) -> None:
        now_ms = self.clock.now_ms()
        idle = {
            server.id
            for server in self.servers.values()
            if server.is_registered and server.is_held and not server.attempts
        }
        self._idle_since_ms = {
            server_id: self._idle_since_ms.get(server_id, now_ms) for server_id in idle
        }

    async def _refresh(self) -> bool:
        """Read the list of VMs unless it is new enough; returns whether it can be used."""
        now_ms = self.clock.now_ms()
        if self._listed_ms is not None and now_ms - self._listed_ms <= _LIST_AGE_MS:
            return True
        result = await self.orders.list_vms(timeout_ms=_CALL_TIMEOUT_MS)
        if result.is_error():
            self.log.emit(Event.VM_CALL_FAILED, step=result.error.step, detail=result.error.detail)
            return False
        self._listed_ms = now_ms
        self._vms = {vm.name: vm for vm in result.ok}
        self._settle_orders()
        return True

    def _settle_orders(self) -> None:
        """Forget the orders that the list shows to be carried out."""
        listed_ms = self._listed_ms or 0
        for order in list(self._sent.values()):
            if self._is_settled(order, listed_ms - order.sent_ms):
                del self._sent[order.vm]
                self._uncordon(order.server_id)

    def _is_settled(self, order: _Order, lasted_ms: int) -> bool:
        """Whether the list, read `lasted_ms` after an order, shows what became of it.

        A VM that is back has a new backend server, or none while it is on standby.
        """
        vm = self._vms.get(order.vm)
        if vm is None:
            return True
        if not order.is_certain:
            is_new_life = vm.server_id not in ("", order.server_id)
            return (is_new_life and vm.state == VmListState.UP) or lasted_ms > _UNCERTAIN_MS
        least_ms = self.times.maintenance_ms if order.wave else self.times.migration_ms
        is_old_life = vm.server_id != "" and vm.server_id == order.server_id
        return vm.state == VmListState.UP and lasted_ms >= least_ms and not is_old_life

    def _server_of(self, vm: ListedVm) -> Server | None:
        return self.servers.get(vm.server_id) if vm.server_id else None

    def _uncordon(self, server_id: str) -> None:
        server = self.servers.get(server_id)
        if server is not None and server.is_cordoned:
            server.is_cordoned = False
            self.wake()

    # Waves

    def _is_open(self, wave: MaintenanceWave) -> bool:
        self._first_seen_ms.setdefault(wave.number, self.clock.now_ms())
        return self._reported.get(wave.number) != WaveState.COMPLETED

    async def _serve_wave(self, wave: MaintenanceWave, demand: dict[str, PoolDemand]) -> None:
        if wave.number not in self._reported:
            await self._report(wave, WaveState.RUNNING)
        due = [
            self._vms[name]
            for name in wave.vms
            if name in self._vms and (wave.number, name) not in self._kept
        ]
        if not due:
            if all(order.wave != wave.number for order in self._sent.values()):
                await self._report(wave, WaveState.COMPLETED)
            return
        down = self._down(wave)
        for name in choose_vms_to_empty(
            [self._due_vm(vm, demand) for vm in due if vm.state == VmListState.UP],
            down=down,
            max_at_once=wave.max_at_once,
            is_urgent=self._is_urgent(wave),
        ):
            self._empty(self._vms[name])
        for vm in due:
            if down >= wave.max_at_once:
                return
            down += await self._begin_upkeep(wave, vm)

    def _is_urgent(self, wave: MaintenanceWave) -> bool:
        age_ms = self.clock.now_ms() - self._first_seen_ms[wave.number]
        return age_ms > wave.duration_ms * _URGENT_SHARE

    def _down(self, wave: MaintenanceWave) -> int:
        """Count the wave's VMs that are, or may be, down for their upkeep."""
        states = {VmListState.UPKEEP, VmListState.DOWN}
        names = {name for name in wave.vms if name in self._vms and self._vms[name].state in states}
        names |= {order.vm for order in self._sent.values() if order.wave == wave.number}
        return len(names)

    def _due_vm(self, vm: ListedVm, demand: dict[str, PoolDemand]) -> DueVm:
        server = self._server_of(vm)
        attempts = list(server.attempts.values()) if server else []
        lasting = [attempt for attempt in attempts if attempt.task.step.long_running]
        return DueVm(
            name=vm.name,
            pool=vm.pool,
            running=len(attempts),
            may_stop=vm.name not in self._sent and may_disrupt(lasting),
            is_emptying=server is not None and server.is_cordoned,
            is_pressed=demand.get(vm.pool, PoolDemand()).waiting_core_s > _PRESSED_CORE_S,
        )

    def _empty(self, vm: ListedVm) -> None:
        """Give a VM no more work and stop its long-running tasks."""
        server = self._server_of(vm)
        if server is None:
            return
        server.is_cordoned = True
        lasting = [
            attempt for attempt in server.attempts.values() if attempt.task.step.long_running
        ]
        self.log.emit(
            Event.VM_EMPTIED,
            vm=vm.name,
            server=server.id,
            running=len(server.attempts),
            stopped=len(lasting),
        )
        for attempt in lasting:
            self.request_stop(attempt)

    async def _begin_upkeep(self, wave: MaintenanceWave, vm: ListedVm) -> int:
        """Order the upkeep of a VM that is empty; returns the number of VMs that went down."""
        server = self._server_of(vm)
        if vm.state != VmListState.UP or vm.name in self._sent or not self._is_current():
            return 0
        if server is None:
            if vm.server_id:
                return 0
        elif server.attempts or not server.is_cordoned or not server.is_quiet():
            return 0
        result = await self.orders.upkeep(
            vm=vm.name,
            wave=wave.number,
            fencing_token=self.tenure.term,
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        self._log_order("upkeep", vm, str(wave.number), result)
        if result.is_ok() and result.ok == DutyOutcome.TAKEN:
            self._kept.add((wave.number, vm.name))
        elif result.is_ok() or result.error.ran == Ran.NO:
            return 0
        self._note_order(vm, vm.pool, wave.number, is_certain=result.is_ok())
        return 1

    def _is_current(self) -> bool:
        now_ms = self.clock.now_ms()
        return (
            self.may_order()
            and self._listed_ms is not None
            and now_ms - self._listed_ms <= _MAX_LIST_AGE_MS
        )

    def _note_order(self, vm: ListedVm, target: str, wave: int, *, is_certain: bool) -> None:
        self._sent[vm.name] = _Order(
            vm.name, vm.server_id, target, wave, self.clock.now_ms(), is_certain
        )

    async def _report(self, wave: MaintenanceWave, state: str) -> None:
        failure = await report_wave(self.store, wave.number, state)
        if failure is not None:
            self._note_store_failure(failure)
            return
        self._reported[wave.number] = state
        self.log.emit(Event.WAVE_STATE, wave=wave.number, state=state)

    def _note_store_failure(self, failure: Failure) -> None:
        self.log.emit(
            Event.STORE_CALL_FAILED,
            step=failure.step,
            reason=failure.reason,
            detail=failure.detail,
        )

    # Moves

    def _wants_moves(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]
    ) -> bool:
        if self._sent or any(item.waiting_core_s > 0 for item in demand.values()):
            return True
        standby = {pool.name for pool in configuration.pools if pool.standby}
        return any(
            self.servers[server_id].registration.pool not in standby
            for server_id in self._idle_since_ms
            if server_id in self.servers
        )

    async def _move(
        self,
        configuration: FleetConfiguration,
        demand: dict[str, PoolDemand],
        kept: set[str],
    ) -> None:
        pools = self._pool_loads(configuration, demand)
        standby = {pool.name for pool in configuration.pools if pool.standby}
        movable = [
            vm
            for vm in self._vms.values()
            if self._is_movable(vm) and (vm.pool in standby or vm.name in self._borrowed)
        ]
        vms = [self._vm_load(vm) for vm in movable]
        done = {name for wave, name in self._kept}
        vms = [vm for vm in vms if vm.name not in kept or vm.name in done]
        for move in choose_moves(pools, vms, move_s=self.times.migration_ms / _MS_PER_S):
            if not await self._borrowed.add(self._vms[move.vm]) or not self._is_current():
                return
            await self._order_move(self._vms[move.vm], move.target)

    def _pool_loads(
        self, configuration: FleetConfiguration, demand: dict[str, PoolDemand]
    ) -> list[PoolLoad]:
        loads: list[PoolLoad] = []
        for pool in configuration.pools:
            servers = [
                server
                for server in self.servers.values()
                if server.registration.pool == pool.name and server.can_work()
            ]
            incoming = [
                self._vms[order.vm]
                for order in self._sent.values()
                if order.target == pool.name and order.vm in self._vms
            ]
            wanted = demand.get(pool.name, PoolDemand())
            loads.append(
                PoolLoad(
                    name=pool.name,
                    waiting_core_s=wanted.waiting_core_s,
                    needed_cores=wanted.needed_cores,
                    available_cores=sum(map(_available_cores, servers)),
                    incoming_cores=sum(vm.capacity.cpu for vm in incoming) / _CORE,
                    standby=pool.standby,
                )
            )
        return loads

    def _is_movable(self, vm: ListedVm) -> bool:
        if vm.state != VmListState.UP or vm.name in self._sent:
            return False
        server = self._server_of(vm)
        if server is None:
            return not vm.server_id
        return server.is_quiet() and not server.is_cordoned

    def _vm_load(self, vm: ListedVm) -> VmLoad:
        since_ms = self._idle_since_ms.get(vm.server_id)
        idle_ms = 0 if since_ms is None else self.clock.now_ms() - since_ms
        return VmLoad(name=vm.name, pool=vm.pool, cores=vm.capacity.cpu / _CORE, idle_ms=idle_ms)

    async def _order_move(self, vm: ListedVm, target: str) -> None:
        server = self._server_of(vm)
        if server is not None:
            if not server.is_quiet():
                return
            server.is_cordoned = True
        result = await self.orders.move(
            vm=vm.name,
            pool=target,
            fencing_token=self.tenure.term,
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        self._log_order("move", vm, target, result)
        refused = result.is_ok() and result.ok != DutyOutcome.TAKEN
        if refused or (result.is_error() and result.error.ran == Ran.NO):
            self._uncordon(vm.server_id)
            return
        self._note_order(vm, target, 0, is_certain=result.is_ok())

    def _log_order(self, duty: str, vm: ListedVm, target: str, result: DutyResult) -> None:
        self.log.emit(
            Event.DUTY_ORDERED,
            duty=duty,
            vm=vm.name,
            pool=vm.pool,
            target=target,
            outcome=result.ok.value if result.is_ok() else result.error.detail,
            list_age_ms=self.clock.now_ms() - (self._listed_ms or 0),
        )


def _available_cores(server: Server) -> float:
    """Return the cores that long-running tasks leave."""
    lasting = sum(
        attempt.task.step.demand.cpu
        for attempt in server.attempts.values()
        if attempt.task.step.long_running and not attempt.task.step.fill
    )
    return (server.registration.capacity.cpu - lasting) / _CORE
