import anyio
import pytest
from attrs import evolve
from expression import Ok

from fireflydeck.controller import VmMaintenance
from fireflydeck.controller.edits import drain_vm, fail_vm, finish_drain, return_vm
from fireflydeck.controller.maintenance import MaintenanceOptions, MaintenanceService
from fireflydeck.controller.maintenance_rows import load_rows
from fireflydeck.controller.tests.test_drains import DrainSite
from fireflydeck.core import Clock, EntityKey, Member, MemberRole, Pool, Vm, VmState
from fireflydeck.kernel import EventLog
from fireflydeck.testing import StoreFault

ROUND_MS = 5_000
REBOOT_MS = 60_000
RETURN_TIMEOUT_MS = 300_000
HOUR_MS = 3_600_000
START_MS = 1_800_000_000_000
YIELDS = 300
IN_SERVICE, DRAINING, FAILED = VmState.IN_SERVICE, VmState.DRAINING, VmState.FAILED
MAINTENANCE = VmState.MAINTENANCE
VM_1 = EntityKey(Vm.kind, "vm-1")


class StepClock(Clock):
    """Clock that a test advances; each step lets other tasks run for `YIELDS` checkpoints."""

    def __init__(self):
        self._now_ms = 0
        self._sleepers = []

    def now_ms(self):
        return self._now_ms

    def wall_ms(self):
        return START_MS + self._now_ms

    async def sleep_ms(self, duration_ms):
        sleeper = (self._now_ms + duration_ms, anyio.Event())
        self._sleepers.append(sleeper)
        await sleeper[1].wait()

    async def step_ms(self, duration_ms):
        self._now_ms += duration_ms
        for sleeper in [sleeper for sleeper in self._sleepers if sleeper[0] <= self._now_ms]:
            self._sleepers.remove(sleeper)
            sleeper[1].set()
        await run_other_tasks()


async def run_other_tasks():
    for _ in range(YIELDS):
        await anyio.lowlevel.checkpoint()


class FakePlatform(VmMaintenance):
    """Fake platform whose reboots take `REBOOT_MS` and are recorded."""

    def __init__(self, clock):
        self._clock = clock
        self.reboots = []

    async def reboot(self, vm):
        self.reboots.append(vm.name)
        await self._clock.sleep_ms(REBOOT_MS)
        return Ok(None)


class MaintenanceSite(DrainSite):
    """A site with VMs overdue for maintenance and controllers that can be killed and replaced."""

    def __init__(self):
        super().__init__()
        self.clock = StepClock()
        self.drains = self.drain_service("c-1")
        self.platform = FakePlatform(self.clock)
        self.background_tasks = None
        self.controller_scope = None

    async def fill_overdue(self):
        await self.fill()
        await self.put(Member(name="c-1", role=MemberRole.CONTROLLER, address="127.0.0.1:1"))
        await self.put(*(evolve(vm, maintained_ms=1) for vm in (await self.load()).all(Vm)))

    async def put(self, *entities):
        assert (await self.store.commit(await self.load(), puts=entities)).is_ok()

    def make_service(self, changes=None):
        return MaintenanceService(
            view=self.view,
            changes=changes or self.service,
            control=self.backends,
            platform=self.platform,
            clock=self.clock,
            log=EventLog(),
            member_name="c-1",
            options=MaintenanceOptions(interval_ms=ROUND_MS, return_timeout_ms=RETURN_TIMEOUT_MS),
        )

    async def start_controller(self):
        await self.refresh_view()
        self.controller_scope = anyio.CancelScope()
        self.background_tasks.start_soon(self._run_controller)
        await run_other_tasks()

    async def _run_controller(self):
        with self.controller_scope:
            async with anyio.create_task_group() as tasks:
                await self.make_service().start(None, tasks)
                await anyio.sleep_forever()

    async def run_for_ms(self, duration_ms):
        for _ in range(duration_ms // ROUND_MS):
            await self.refresh_view()
            await self.drains.run_once()
            await self.refresh_view()
            await self.clock.step_ms(ROUND_MS)

    async def states(self):
        vms = (await self.load()).all(Vm)
        return {vm.name: vm.state for vm in vms}

    async def vms_out_of_service(self):
        return sorted(name for name, state in (await self.states()).items() if state != IN_SERVICE)

    async def maintained_vms(self):
        vms = (await self.load()).all(Vm)
        return sorted(vm.name for vm in vms if vm.maintained_ms > 1)

    async def rules_of(self, name):
        changes = (await self.store.changes_since(0)).ok
        changes_of_vm = [c for c in changes if any(put.name == name for put in c.puts)]
        return [change.rule for change in changes_of_vm if change.rule]

    async def rows(self):
        return (await load_rows(self.tables)).ok


def on_site(case, start=True):
    async def run():
        site = MaintenanceSite()
        await site.fill_overdue()
        async with anyio.create_task_group() as tasks:
            site.background_tasks = tasks
            if start:
                await site.start_controller()
            await case(site)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_maintenance_reaches_every_vm_within_the_budget():
    async def case(site):
        for _ in range(80):
            await site.run_for_ms(ROUND_MS)
            assert len(await site.vms_out_of_service()) <= 1
        assert await site.maintained_vms() == ["vm-1", "vm-2", "vm-3", "vm-4"]
        assert await site.vms_out_of_service() == []
        assert await site.rules_of("vm-1") == [
            "maintenance-due",
            "drain-finished",
            "maintenance-finished",
        ]
        assert site.platform.reboots == ["vm-1", "vm-2", "vm-3", "vm-4"]
        assert await site.rows() == {}

    on_site(case)


@pytest.mark.parametrize("killed_after_ms", range(0, 110_000, 10_000))
def test_maintenance_continues_after_the_controller_is_killed(killed_after_ms):
    async def case(site):
        await site.run_for_ms(killed_after_ms)
        site.controller_scope.cancel()
        await run_other_tasks()
        await site.start_controller()
        await site.run_for_ms(500_000)
        assert await site.maintained_vms() == ["vm-1", "vm-2", "vm-3", "vm-4"]
        assert await site.rows() == {}

    on_site(case)


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("at_commit", range(6))
def test_maintenance_survives_a_fault_of_one_commit(fault, at_commit):
    async def case(site):
        site.tables.next_commits = [None] * at_commit + [fault]
        await site.start_controller()
        await site.run_for_ms(500_000)
        assert site.tables.next_commits == []
        assert await site.maintained_vms() == ["vm-1", "vm-2", "vm-3", "vm-4"]
        assert await site.rows() == {}

    on_site(case, start=False)


def test_maintenance_marks_a_vm_that_does_not_return_as_failed_and_continues():
    async def case(site):
        await site.put(Pool(name="records", max_unavailable=2))
        await site.run_for_ms(15_000)
        assert (await site.states())["vm-1"] is MAINTENANCE
        site.backends.silent.add("vm-1")
        await site.run_for_ms(RETURN_TIMEOUT_MS + 600_000)
        assert await site.vms_out_of_service() == ["vm-1"]
        assert (await site.states())["vm-1"] is FAILED
        assert (await site.rules_of("vm-1"))[-1] == "maintenance-not-back"
        assert await site.maintained_vms() == ["vm-2", "vm-3", "vm-4"]

    on_site(case)


def test_maintenance_waits_while_a_failure_uses_up_the_budget():
    async def case(site):
        await site.service.apply(lambda base: fail_vm(base, "vm-4"))
        await site.start_controller()
        await site.run_for_ms(100_000)
        assert await site.vms_out_of_service() == ["vm-4"]
        await site.return_to_service("vm-4")
        await site.run_for_ms(500_000)
        assert await site.maintained_vms() == ["vm-1", "vm-2", "vm-3", "vm-4"]

    on_site(case, start=False)


async def operator_returns(site):
    await site.service.apply(lambda base: return_vm(base, "vm-1"))
    await site.put(evolve((await site.load()).get(Vm, "vm-1"), maintained_ms=2**50))
    return IN_SERVICE


async def operator_fails(site):
    await site.service.apply(lambda base: fail_vm(base, "vm-1"))
    return FAILED


async def operator_drains_again(site):
    await site.service.apply(lambda base: return_vm(base, "vm-1"))
    await site.service.apply(lambda base: drain_vm(base, "vm-1"))
    await site.service.apply(lambda base: finish_drain(base, "vm-1"))
    return MAINTENANCE


@pytest.mark.parametrize("intervene", [operator_returns, operator_fails, operator_drains_again])
@pytest.mark.parametrize("after_ms", [5_000, 15_000, 40_000])
def test_maintenance_abandons_a_vm_that_an_operator_changed(intervene, after_ms):
    async def case(site):
        await site.run_for_ms(after_ms)
        assert await site.vms_out_of_service() == ["vm-1"]
        state = await intervene(site)
        version = (await site.load()).entity_version(VM_1)
        await site.run_for_ms(RETURN_TIMEOUT_MS + 100_000)
        assert (await site.states())["vm-1"] is state
        assert (await site.load()).entity_version(VM_1) == version
        assert "vm-1" not in await site.rows()

    on_site(case)


def test_maintenance_ignores_a_drain_by_an_operator():
    async def case(site):
        await site.drain("vm-2")
        await site.start_controller()
        await site.run_for_ms(RETURN_TIMEOUT_MS + 100_000)
        assert await site.states() == {
            "vm-1": IN_SERVICE,
            "vm-2": MAINTENANCE,
            "vm-3": IN_SERVICE,
            "vm-4": IN_SERVICE,
        }

    on_site(case, start=False)


def test_racing_controllers_maintain_each_vm_within_the_budget():
    async def case(site):
        await site.start_controller()
        await site.start_controller()
        for _ in range(100):
            await site.run_for_ms(ROUND_MS)
            assert len(await site.vms_out_of_service()) <= 1
        assert await site.maintained_vms() == ["vm-1", "vm-2", "vm-3", "vm-4"]
        assert (await site.rules_of("vm-1")).count("maintenance-due") == 1

    on_site(case, start=False)


def test_maintenance_does_nothing_while_the_configuration_is_not_fresh():
    async def case(site):
        site.view.fresh = False
        await site.start_controller()
        await site.run_for_ms(100_000)
        assert await site.vms_out_of_service() == []

    on_site(case, start=False)


def test_maintenance_leaves_a_new_fleet_in_service():
    async def case(site):
        await site.put(*(evolve(vm, maintained_ms=0) for vm in (await site.load()).all(Vm)))
        await site.start_controller()
        await site.run_for_ms(HOUR_MS // 4)
        assert await site.vms_out_of_service() == []
        assert len(site.tables.tables.scan("maintenance", prefix="seen/", after="", limit=9)) == 4

    on_site(case, start=False)
