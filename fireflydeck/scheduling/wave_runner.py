"""Maintenance waves: VMs are drained within the budgets of their tasks, then taken down."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from fireflydeck.core import Clock, Ran
from fireflydeck.core.fleet_configuration import MaintenanceWave
from fireflydeck.core.rows import RowStore
from fireflydeck.core.vm_orders import ListedVm, ListedVmState, VmOperationOutcome
from fireflydeck.kernel import Event, EventLog, log_store_failure
from fireflydeck.platform.documents import WaveState
from fireflydeck.policy.maintenance_wave import PendingVm, choose_vms_to_drain
from fireflydeck.scheduling.availability import may_disrupt
from fireflydeck.scheduling.demand import PoolDemand
from fireflydeck.scheduling.relocation import choose_relocations
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.vm_fleet import CALL_TIMEOUT_MS, VmFleet
from fireflydeck.scheduling.wave_status import store_wave_status
from fireflydeck.workload.lifecycle import Attempt

__all__ = ["MaintenanceWaveRunner"]

_URGENT_AFTER_FRACTION = 0.4
"""Part of a wave's duration after which busy VMs are drained despite a backlog in their pool."""
_MAX_BACKLOG_CORE_S = 20.0
"""Waiting work above which a pool has a backlog, in core-seconds.

Busy VMs of such a pool are drained only if the wave is urgent.
"""


@define(eq=False, kw_only=True)
class MaintenanceWaveRunner:
    """Runner of the maintenance waves that operators requested.

    Parameters
    ----------
    request_stop
        Stops a run.
    """

    fleet: VmFleet
    store: RowStore
    clock: Clock
    log: EventLog
    request_stop: Callable[[Attempt], None]
    _requested_waves: set[int] = field(factory=set, init=False)
    _first_seen_ms: dict[int, int] = field(factory=dict, init=False)
    _reported_states: dict[int, str] = field(factory=dict, init=False)

    def incomplete_waves(self, waves: tuple[MaintenanceWave, ...]) -> list[MaintenanceWave]:
        """Record the requested waves, and return those not yet reported as completed."""
        self._requested_waves = {wave.number for wave in waves}
        for number in self._requested_waves:
            self._first_seen_ms.setdefault(number, self.clock.now_ms())
        return [
            wave for wave in waves if self._reported_states.get(wave.number) != WaveState.COMPLETED
        ]

    async def advance(self, waves: list[MaintenanceWave], demand: dict[str, PoolDemand]) -> None:
        """Advance each of these waves by one step, and store the record of VM operations."""
        self._mark_pending_maintenance(waves)
        for wave in waves:
            await self._advance_wave(wave, demand)
        failure = await self.fleet.record.save(self._requested_waves)
        if failure is not None:
            log_store_failure(self.log, failure)

    def vms_pending_maintenance(self, waves: list[MaintenanceWave]) -> set[str]:
        """Return the VMs of these waves whose maintenance has not begun."""
        return {
            name
            for wave in waves
            for name in wave.vms
            if not self.fleet.record.is_maintenance_accepted(wave.number, name)
        }

    def _mark_pending_maintenance(self, waves: list[MaintenanceWave]) -> None:
        """Mark the backend servers whose VMs wait for maintenance, and unmark all others."""
        pending = self.vms_pending_maintenance(waves)
        pending_server_ids = {
            self.fleet.vms[name].server_id for name in pending if name in self.fleet.vms
        }
        for server in self.fleet.servers.values():
            server.has_pending_maintenance = server.id in pending_server_ids

    async def _advance_wave(self, wave: MaintenanceWave, demand: dict[str, PoolDemand]) -> None:
        """Drain VMs of a wave, order the maintenance of drained ones, and report its status."""
        if wave.number not in self._reported_states:
            await self._report(wave, WaveState.RUNNING)
        pending = [
            self.fleet.vms[name]
            for name in wave.vms
            if name in self.fleet.vms
            and not self.fleet.record.is_maintenance_accepted(wave.number, name)
        ]
        if not pending:
            if all(order.wave != wave.number for order in self.fleet.open_orders.values()):
                await self._report(wave, WaveState.COMPLETED)
            return
        self._relocate(wave, pending)
        down_count = self._count_vms_down(wave)
        for name in choose_vms_to_drain(
            [self._describe_vm(vm, demand) for vm in pending if vm.state == ListedVmState.UP],
            down=down_count,
            max_at_once=wave.max_at_once,
            is_urgent=self._is_urgent(wave),
        ):
            self._drain(self.fleet.vms[name])
        ready = [vm for vm in pending if self._is_ready(vm)]
        await self._begin_maintenance(wave, ready[: max(0, wave.max_at_once - down_count)])

    def _relocate(self, wave: MaintenanceWave, pending: list[ListedVm]) -> None:
        """Stop long-running tasks on VMs with pending maintenance; they restart elsewhere."""
        servers = [server for vm in pending if (server := self.fleet.server_of(vm)) is not None]
        left_ms = wave.duration_ms - self._age_ms(wave)
        for attempt in choose_relocations(
            servers, list(self.fleet.servers.values()), left_ms=left_ms
        ):
            self.log.emit(
                Event.RUN_RELOCATED,
                task=attempt.task.name,
                run=attempt.run,
                server=attempt.server_id,
                list_age_ms=self.fleet.list_age_ms,
            )
            self.request_stop(attempt)

    def _is_urgent(self, wave: MaintenanceWave) -> bool:
        return self._age_ms(wave) > wave.duration_ms * _URGENT_AFTER_FRACTION

    def _age_ms(self, wave: MaintenanceWave) -> int:
        return self.clock.now_ms() - self._first_seen_ms[wave.number]

    def _count_vms_down(self, wave: MaintenanceWave) -> int:
        """Count the wave's VMs that are, or may be, down for their maintenance.

        These are the VMs listed as down, those with an open order and, until the hand-over is
        over, those that the previous holder may have taken down.
        """
        states = {ListedVmState.MAINTENANCE, ListedVmState.DOWN}
        vms = self.fleet.vms
        names = {name for name in wave.vms if name in vms and vms[name].state in states}
        names |= {
            order.vm for order in self.fleet.open_orders.values() if order.wave == wave.number
        }
        if not self.fleet.is_past_handover:
            names |= self.fleet.record.vms_taken_down_by_predecessor(wave.number)
        return len(names)

    def _describe_vm(self, vm: ListedVm, demand: dict[str, PoolDemand]) -> PendingVm:
        server = self.fleet.server_of(vm)
        attempts = list(server.attempts.values()) if server else []
        long_running = [attempt for attempt in attempts if attempt.task.step.long_running]
        return PendingVm(
            name=vm.name,
            pool=vm.pool,
            running=len(attempts),
            may_stop=vm.name not in self.fleet.open_orders and may_disrupt(long_running),
            is_draining=server is not None and server.is_cordoned,
            pool_has_backlog=demand.get(vm.pool, PoolDemand()).waiting_core_s > _MAX_BACKLOG_CORE_S,
        )

    def _drain(self, vm: ListedVm) -> None:
        """Cordon the backend server on a VM, and stop its long-running tasks."""
        server = self.fleet.server_of(vm)
        if server is None:
            return
        server.is_cordoned = True
        long_running = [
            attempt for attempt in server.attempts.values() if attempt.task.step.long_running
        ]
        self.log.emit(
            Event.VM_EMPTIED,
            vm=vm.name,
            server=server.id,
            running=len(server.attempts),
            stopped=len(long_running),
        )
        for attempt in long_running:
            self.request_stop(attempt)

    def _is_ready(self, vm: ListedVm) -> bool:
        """Return whether the maintenance of a VM may be ordered now."""
        if vm.state != ListedVmState.UP or vm.name in self.fleet.open_orders:
            return False
        return self.fleet.is_clear_of_predecessor(vm.name) and _is_drained(
            vm, self.fleet.server_of(vm)
        )

    async def _begin_maintenance(self, wave: MaintenanceWave, vms: list[ListedVm]) -> None:
        """Announce and order the maintenance of drained VMs."""
        if not vms:
            return
        failure = await self.fleet.record.announce([vm.name for vm in vms], wave=wave.number)
        if failure is not None:
            log_store_failure(self.log, failure)
            return
        await self.fleet.send_orders(partial(self._order_maintenance, wave, vm) for vm in vms)

    async def _order_maintenance(self, wave: MaintenanceWave, vm: ListedVm) -> None:
        if not self._is_ready(vm):
            return
        result = await self.fleet.orders.start_maintenance(
            vm=vm.name,
            wave=wave.number,
            fencing_token=self.fleet.tenure.first_token,
            timeout_ms=CALL_TIMEOUT_MS,
        )
        self.fleet.log_order("maintenance", vm, str(wave.number), result)
        if result.is_ok() and result.ok == VmOperationOutcome.TAKEN:
            self.fleet.record.record_maintenance(wave.number, vm.name)
        elif result.is_ok() or result.error.ran == Ran.NO:
            return
        self.fleet.record_order(vm, vm.pool, wave.number, is_accepted=result.is_ok())

    async def _report(self, wave: MaintenanceWave, state: str) -> None:
        failure = await store_wave_status(self.store, wave.number, state)
        if failure is not None:
            log_store_failure(self.log, failure)
            return
        self._reported_states[wave.number] = state
        self.log.emit(Event.WAVE_STATE, wave=wave.number, state=state)


def _is_drained(vm: ListedVm, server: Server | None) -> bool:
    """Return whether nothing runs on a VM, and nothing will be started there."""
    if server is None:
        return not vm.server_id
    return server.is_cordoned and server.is_known_idle()
