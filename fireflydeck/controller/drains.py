"""Completion of drains: a draining VM enters maintenance when its last task has ended."""

from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.configuration import ConfigurationView
from fireflydeck.controller.backend_control import BackendControl
from fireflydeck.controller.changes import ConfigurationService
from fireflydeck.controller.edits import finish_drain, with_expected_version
from fireflydeck.core import Clock, Configuration, Failure, Member, MemberRole, Pool, Vm, VmState
from fireflydeck.kernel import Event, EventLog, Registry, Service
from fireflydeck.peers import rank_owners

__all__ = ["DrainOptions", "DrainService"]


@frozen(kw_only=True)
class DrainOptions:
    """Options of the drain service.

    Parameters
    ----------
    interval_ms
        Time between two rounds, in milliseconds.
    propagation_ms
        Time, in milliseconds, in which every process learns of a drain; a drain does not end
        earlier. It must be longer than any process may act on an older configuration, so that no
        process still sends tasks to the VM when the drain ends.
    max_concurrent_calls
        Maximum number of backend servers that are called concurrently.
    """

    interval_ms: int = 1_000
    propagation_ms: int = 5_000
    max_concurrent_calls: int = 16


@frozen(kw_only=True)
class _Drain:
    """A drain that this controller completes.

    Parameters
    ----------
    version
        Version of the VM's entity that began the drain.
    since_ms
        Monotonic time at which this controller first saw the drain.
    """

    version: int
    since_ms: int


@frozen
class _BackendServer:
    """Identity of a backend server: its VM and address."""

    vm: str
    address: str


class DrainService(Service):
    """Drains and resumes backend servers according to the state of their VMs.

    The backend server of a draining VM is made to refuse new tasks. The VM enters maintenance when
    every process has learned of the drain, the backend server refuses tasks and none is running.
    The backend server of a VM that is in service again is resumed. One controller handles each
    pool; if two controllers both consider themselves responsible, they only repeat idempotent
    calls.

    Parameters
    ----------
    view
        View of the current configuration. The service is inactive while the view is not fresh.
    changes
        Service that commits the end of a drain.
    control
        Client of the backend servers.
    member_name
        Name of this controller in the configuration.
    """

    def __init__(
        self,
        *,
        view: ConfigurationView,
        changes: ConfigurationService,
        control: BackendControl,
        clock: Clock,
        log: EventLog,
        member_name: str,
        options: DrainOptions | None = None,
    ) -> None:
        self._view = view
        self._changes = changes
        self._control = control
        self._clock = clock
        self._log = log
        self._member_name = member_name
        self._options = options or DrainOptions()
        self._drains: dict[str, _Drain] = {}
        self._resumed: set[_BackendServer] = set()
        self._pending: list[Vm] = []
        self._pending_version = -1
        self._unreachable: dict[str, str] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "drains"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the rounds in the background."""
        tasks.start_soon(self._run)

    async def stop(self) -> None:
        """Close the connections to the backend servers."""
        await self._control.close()

    def state(self) -> dict[str, Any]:
        """Return the draining VMs and those whose backend server does not answer."""
        vms = self._view.current.all(Vm)
        draining = sorted(vm.name for vm in vms if vm.state is VmState.DRAINING)
        return {"draining": draining, "unreachable": dict(self._unreachable)}

    async def run_once(self) -> None:
        """Run one round over the VMs of this controller's pools."""
        if not self._view.is_fresh():
            return
        self._refresh_pending(self._view.current)
        limiter = anyio.CapacityLimiter(self._options.max_concurrent_calls)
        async with anyio.create_task_group() as tasks:
            for vm in self._pending:
                tasks.start_soon(self._drain_or_resume, vm, limiter)
        self._pending = [vm for vm in self._pending if self._is_pending(vm)]

    async def _run(self) -> None:
        while True:
            await self.run_once()
            await self._clock.sleep_ms(self._options.interval_ms)

    def _refresh_pending(self, configuration: Configuration) -> None:
        if configuration.version == self._pending_version:
            return
        pools = configuration.all(Pool)
        owned = {pool.name for pool in pools if self._owns(pool.name, configuration)}
        vms = [vm for vm in configuration.all(Vm) if vm.pool in owned]
        self._discard_outdated(vms)
        for vm in vms:
            if vm.state is VmState.DRAINING:
                self._track_drain(vm, configuration.entity_version(vm.key))
        self._pending = [vm for vm in vms if self._is_pending(vm)]
        self._pending_version = configuration.version

    def _is_pending(self, vm: Vm) -> bool:
        return vm.name in self._drains or self._needs_resume(vm)

    def _discard_outdated(self, vms: list[Vm]) -> None:
        draining = {vm.name for vm in vms if vm.state is VmState.DRAINING}
        in_service = {_BackendServer(vm.name, vm.address) for vm in vms if _is_in_service(vm)}
        self._drains = {name: drain for name, drain in self._drains.items() if name in draining}
        self._resumed &= in_service

    def _track_drain(self, vm: Vm, version: int) -> None:
        drain = self._drains.get(vm.name)
        if drain is None or drain.version != version:
            self._drains[vm.name] = _Drain(version=version, since_ms=self._clock.now_ms())

    def _needs_resume(self, vm: Vm) -> bool:
        return _is_in_service(vm) and _BackendServer(vm.name, vm.address) not in self._resumed

    def _owns(self, pool: str, configuration: Configuration) -> bool:
        owners = rank_owners(pool, configuration.all(Member), MemberRole.CONTROLLER)
        return bool(owners) and owners[0].name == self._member_name

    async def _drain_or_resume(self, vm: Vm, limiter: anyio.CapacityLimiter) -> None:
        async with limiter:
            if vm.state is VmState.DRAINING:
                failure = await self._drain(vm)
            else:
                failure = await self._resume(vm)
        if failure is None:
            self._unreachable.pop(vm.name, None)
        elif vm.name not in self._unreachable:
            self._log.emit(Event.VM_UNREACHABLE, vm=vm.name, detail=failure.detail)
            self._unreachable[vm.name] = failure.detail

    async def _drain(self, vm: Vm) -> Failure | None:
        status = await self._control.status(vm)
        if status.is_error():
            return status.error
        if not status.ok.draining:
            drained = await self._control.drain(vm)
            return drained.error if drained.is_error() else None
        drain = self._drains[vm.name]
        is_propagated = self._clock.now_ms() - drain.since_ms >= self._options.propagation_ms
        if status.ok.running == 0 and is_propagated:
            await self._finish(vm, drain)
        return None

    async def _finish(self, vm: Vm, drain: _Drain) -> None:
        # A VM that was returned to service and drained again has another version.
        build = with_expected_version(
            vm.key, drain.version, lambda base: finish_drain(base, vm.name)
        )
        result = await self._changes.apply(build, origin="controller")
        if result.is_ok() and result.ok.change is not None:
            self._log.emit(Event.VM_DRAINED, vm=vm.name, version=result.ok.version)

    async def _resume(self, vm: Vm) -> Failure | None:
        status = await self._control.status(vm)
        if status.is_error():
            return status.error
        if status.ok.draining:
            resumed = await self._control.resume(vm)
            if resumed.is_error():
                return resumed.error
            self._log.emit(Event.VM_RESUMED, vm=vm.name)
        self._resumed.add(_BackendServer(vm.name, vm.address))
        return None


def _is_in_service(vm: Vm) -> bool:
    return vm.state is VmState.IN_SERVICE
