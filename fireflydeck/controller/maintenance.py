"""Periodic maintenance: VMs are drained, rebooted, checked and returned to service in waves."""

from typing import Any

from anyio.abc import TaskGroup
from attrs import field, frozen

from fireflydeck.configuration import ConfigurationView
from fireflydeck.controller.backend_control import BackendControl
from fireflydeck.controller.changes import ConfigurationService
from fireflydeck.controller.edit import EditBuilder
from fireflydeck.controller.maintenance_edits import (
    begin_maintenance,
    end_maintenance,
    fail_maintenance,
)
from fireflydeck.controller.maintenance_rows import (
    MaintenanceRow,
    Stage,
    StoredMaintenance,
    delete_row,
    load_first_seen,
    load_rows,
    store_first_seen,
    update_row,
)
from fireflydeck.controller.vm_maintenance import VmMaintenance
from fireflydeck.core import Clock, Configuration, Member, MemberRole, Pool, Vm, VmState
from fireflydeck.kernel import Event, EventLog, Registry, Service
from fireflydeck.peers import rank_owners
from fireflydeck.policy.maintenance import MaintenanceInputs, MaintenanceLimits, plan_maintenance
from fireflydeck.policy.maintenance_progress import PoolProgress, maintenance_progress
from fireflydeck.tables import Transaction

__all__ = ["MaintenanceOptions", "MaintenanceService"]

_RULE_DRAIN_FINISHED = "drain-finished"


@frozen(kw_only=True)
class MaintenanceOptions:
    """Options of the maintenance service.

    Parameters
    ----------
    interval_ms
        Time between two rounds, in milliseconds.
    return_timeout_ms
        Time, in milliseconds, from the end of a VM's drain until the VM is marked as failed if it
        has not returned to service.
    limits
        Limits of the maintenance policy.
    """

    interval_ms: int = 5_000
    return_timeout_ms: int = 1_800_000
    limits: MaintenanceLimits = field(factory=MaintenanceLimits)


class MaintenanceService(Service):
    """Carries out the maintenance of the VMs of this controller's pools.

    A maintenance that has begun is recorded in a row of the table service, in the same transaction
    as the change of the VM, so that any controller can continue it. If the VM's entity has changed
    in any other way since then, an operator has intervened and the maintenance is abandoned. If
    two controllers act on the same VM, only one of their commits succeeds.

    Parameters
    ----------
    view
        View of the current configuration. The service is inactive while the view is not fresh.
    control
        Client of the backend servers.
    platform
        Platform service that reboots VMs.
    member_name
        Name of this controller in the configuration.
    """

    def __init__(
        self,
        *,
        view: ConfigurationView,
        changes: ConfigurationService,
        control: BackendControl,
        platform: VmMaintenance,
        clock: Clock,
        log: EventLog,
        member_name: str,
        options: MaintenanceOptions | None = None,
    ) -> None:
        self._view = view
        self._changes = changes
        self._control = control
        self._platform = platform
        self._clock = clock
        self._log = log
        self._member_name = member_name
        self._options = options or MaintenanceOptions()
        self._first_seen_ms: dict[str, int] = {}
        self._reboot_done: dict[StoredMaintenance, bool] = {}
        self._tasks: TaskGroup | None = None
        self._rows: dict[str, StoredMaintenance] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "maintenance"

    def progress(self) -> tuple[PoolProgress, ...]:
        """Return the progress of each pool as of the last round of this controller."""
        return maintenance_progress(
            self._view.current,
            self._options.limits,
            self._clock.wall_ms(),
            self._first_seen_ms,
            self._rows,
        )

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the rounds in the background."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    async def stop(self) -> None:
        """Close the connections to the backend servers."""
        await self._control.close()

    def state(self) -> dict[str, Any]:
        """Return the maintenance stage of each VM in periodic maintenance."""
        return {name: stored.row.stage for name, stored in sorted(self._rows.items())}

    async def run_once(self) -> None:
        """Run one round over the VMs of this controller's pools."""
        if not self._view.is_fresh():
            return
        # The rows are read after the configuration so that they are not older than it.
        configuration = self._view.current
        loaded = await load_rows(self._changes.tables)
        if loaded.is_error():
            return
        self._rows = loaded.ok
        self._reboot_done = {
            stored: ok for stored, ok in self._reboot_done.items() if stored in loaded.ok.values()
        }
        owned = self._owned_pools(configuration)
        for stored in self._rows.values():
            vm = configuration.get(Vm, stored.row.vm)
            if stored.row.entity_version <= configuration.version:
                if vm is None:
                    await self._abandon(stored)
                elif vm.pool in owned:
                    await self._advance(configuration, vm, stored)
        if await self._record_first_seen(configuration):
            await self._begin_planned(configuration, owned)

    async def _run(self) -> None:
        while True:
            await self.run_once()
            await self._clock.sleep_ms(self._options.interval_ms)

    def _owned_pools(self, configuration: Configuration) -> set[str]:
        members = list(configuration.all(Member))
        owned = set()
        for pool in configuration.all(Pool):
            owners = rank_owners(pool.name, members, MemberRole.CONTROLLER)
            if owners and owners[0].name == self._member_name:
                owned.add(pool.name)
        return owned

    async def _record_first_seen(self, configuration: Configuration) -> bool:
        never_maintained = [vm.name for vm in configuration.all(Vm) if not vm.maintained_ms]
        if all(name in self._first_seen_ms for name in never_maintained):
            return True
        loaded = await load_first_seen(self._changes.tables)
        if loaded.is_error():
            return False
        self._first_seen_ms = loaded.ok
        newly_seen = sorted(name for name in never_maintained if name not in self._first_seen_ms)
        if newly_seen:
            await store_first_seen(self._changes.tables, newly_seen, self._clock.wall_ms())
        return not newly_seen

    async def _begin_planned(self, configuration: Configuration, owned: set[str]) -> None:
        inputs = MaintenanceInputs(
            configuration=configuration,
            is_fresh=self._view.is_fresh(),
            wall_ms=self._clock.wall_ms(),
            limits=self._options.limits,
            first_seen_ms=self._first_seen_ms,
        )
        for decision in plan_maintenance(inputs):
            vm = configuration.get(Vm, decision.vm)
            # Maintenance of a VM with a leftover row begins in a later round, once the row is gone.
            has_no_row = decision.vm not in self._rows
            if vm is not None and has_no_row and decision.pool in owned:
                version = configuration.entity_version(vm.key)
                await self._apply(begin_maintenance(vm, version, self._clock.wall_ms()))

    async def _advance(
        self, configuration: Configuration, vm: Vm, stored: StoredMaintenance
    ) -> None:
        version = configuration.entity_version(vm.key)
        if stored.row.stage is Stage.DRAIN and vm.state is VmState.MAINTENANCE:
            await self._advance_drain(stored, version)
        elif version != stored.row.entity_version:
            await self._abandon(stored)
        elif stored.row.stage is Stage.REBOOT:
            await self._advance_reboot(vm, stored)

    async def _advance_drain(self, stored: StoredMaintenance, version: int) -> None:
        finished = await self._is_drain_finished(stored.row, version)
        if finished is None:
            return
        if not finished:
            await self._abandon(stored)
            return
        row = MaintenanceRow(
            vm=stored.row.vm,
            stage=Stage.REBOOT,
            entity_version=version,
            since_ms=self._clock.wall_ms(),
        )
        await self._commit(update_row(stored, row))

    async def _is_drain_finished(self, row: MaintenanceRow, version: int) -> bool | None:
        """Return whether the end of the drain is the VM's only change since the row was written.

        `None` if the changes can't be read.
        """
        after = row.entity_version
        while after < version:
            read = await self._changes.store.changes_since(after)
            if read.is_error():
                return None
            if not read.ok or read.ok[0].version != after + 1:
                return False
            for change in read.ok:
                if any(put.name == row.vm and put.kind == Vm.kind for put in change.puts):
                    return change.rule == _RULE_DRAIN_FINISHED and change.version == version
            after = read.ok[-1].version
        return False

    async def _advance_reboot(self, vm: Vm, stored: StoredMaintenance) -> None:
        if stored not in self._reboot_done:
            self._reboot_done[stored] = False
            if self._tasks is not None:
                self._tasks.start_soon(self._reboot, vm, stored)
        if self._reboot_done[stored] and (await self._control.status(vm)).is_ok():
            await self._apply(end_maintenance(vm, stored, self._clock.wall_ms()))
        elif self._clock.wall_ms() - stored.row.since_ms >= self._options.return_timeout_ms:
            await self._mark_failed(vm, stored)

    async def _mark_failed(self, vm: Vm, stored: StoredMaintenance) -> None:
        if await self._apply(fail_maintenance(vm, stored)):
            self._log.emit(Event.VM_NOT_BACK, vm=vm.name)

    async def _reboot(self, vm: Vm, stored: StoredMaintenance) -> None:
        result = await self._platform.reboot(vm)
        if result.is_ok():
            self._reboot_done[stored] = True
        else:
            # The next round retries the reboot.
            self._reboot_done.pop(stored, None)

    async def _abandon(self, stored: StoredMaintenance) -> None:
        await self._commit(delete_row(stored))
        self._log.emit(Event.MAINTENANCE_LEFT, vm=stored.row.vm, stage=stored.row.stage)

    async def _apply(self, build: EditBuilder) -> bool:
        # The configuration service logs a refusal, and the next round decides again.
        return (await self._changes.apply(build, origin="controller")).is_ok()

    async def _commit(self, transaction: Transaction) -> None:
        # The result can be ignored because the next round continues from the stored rows.
        await self._changes.tables.commit(transaction)
