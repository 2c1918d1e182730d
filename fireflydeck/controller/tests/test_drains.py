import anyio
import httpx
import pytest
from attrs import evolve
from expression import Error, Ok

from fireflydeck.configuration import ConfigurationView
from fireflydeck.controller import (
    BackendControl,
    BackendStatus,
    DrainOptions,
    DrainService,
    HttpBackendControl,
)
from fireflydeck.controller.edits import drain_vm, return_vm
from fireflydeck.controller.tests.operator import OperatorSite
from fireflydeck.core import Failure, Member, MemberRole, Reason, Vm, VmState
from fireflydeck.kernel import EventLog
from fireflydeck.testing import FakeClock, build_vm

PROPAGATION_MS = 5_000


class FakeBackends(BackendControl):
    """Fake backend servers by VM name; those of VMs in `silent` do not answer."""

    def __init__(self):
        self.statuses = {}
        self.silent = set()

    def status_of(self, name):
        return self.statuses.get(name, BackendStatus(running=0, draining=False))

    def _update(self, vm, **fields):
        if vm.name in self.silent:
            return Error(Failure(Reason.BACKEND_UNREACHABLE, step="backend"))
        self.statuses[vm.name] = evolve(self.status_of(vm.name), **fields)
        return Ok(None)

    async def status(self, vm):
        await anyio.lowlevel.checkpoint()
        return self._update(vm).map(lambda _: self.status_of(vm.name))

    async def drain(self, vm):
        return self._update(vm, draining=True)

    async def resume(self, vm):
        return self._update(vm, draining=False)


class FakeView(ConfigurationView):
    """Configuration view whose content and freshness a test sets."""

    def __init__(self):
        self.configuration = None
        self.fresh = True

    @property
    def current(self):
        return self.configuration

    def is_fresh(self):
        return self.fresh

    def on_change(self, listener):
        raise AssertionError("unexpected registration of a change listener")


class DrainSite(OperatorSite):
    """A site with fake backend servers and one controller that runs the drain service."""

    def __init__(self):
        super().__init__()
        self.backends = FakeBackends()
        self.clock = FakeClock()
        self.view = FakeView()
        self.drains = self.drain_service("c-1")

    def drain_service(self, member_name):
        return DrainService(
            view=self.view,
            changes=self.service,
            control=self.backends,
            clock=self.clock,
            log=EventLog(),
            member_name=member_name,
            options=DrainOptions(propagation_ms=PROPAGATION_MS),
        )

    async def refresh_view(self):
        self.view.configuration = await self.load()

    async def run_round(self, passed_ms=0):
        await self.refresh_view()
        await self.clock.advance_ms(passed_ms)
        await self.drains.run_once()

    async def drain(self, name):
        assert (await self.service.apply(lambda base: drain_vm(base, name))).is_ok()

    async def return_to_service(self, name):
        assert (await self.service.apply(lambda base: return_vm(base, name))).is_ok()

    async def state_of(self, name):
        return (await self.load()).get(Vm, name).state


def on_drain_site(case):
    async def run():
        site = DrainSite()
        await site.fill()
        member = Member(name="c-1", role=MemberRole.CONTROLLER, address="127.0.0.1:1")
        assert (await site.store.commit(await site.load(), puts=[member])).is_ok()
        await case(site)

    anyio.run(run)


def test_drain_ends_when_propagated_and_no_task_runs():
    async def case(site):
        site.backends.statuses["vm-1"] = BackendStatus(running=2, draining=False)
        await site.drain("vm-1")
        await site.run_round()
        assert site.backends.status_of("vm-1").draining
        await site.run_round(PROPAGATION_MS)
        assert await site.state_of("vm-1") is VmState.DRAINING
        site.backends.statuses["vm-1"] = BackendStatus(running=0, draining=True)
        await site.run_round()
        assert await site.state_of("vm-1") is VmState.MAINTENANCE
        assert [await site.state_of(f"vm-{n}") for n in (2, 3, 4)] == [VmState.IN_SERVICE] * 3

    on_drain_site(case)


def test_drain_does_not_end_before_it_is_propagated():
    async def case(site):
        await site.drain("vm-1")
        await site.run_round()
        await site.run_round(PROPAGATION_MS - 1)
        assert await site.state_of("vm-1") is VmState.DRAINING
        await site.run_round(1)
        assert await site.state_of("vm-1") is VmState.MAINTENANCE

    on_drain_site(case)


def test_drain_does_not_end_while_the_backend_server_accepts_tasks():
    async def case(site):
        await site.drain("vm-1")
        await site.run_round()
        await site.backends.resume(build_vm("vm-1"))
        await site.run_round(PROPAGATION_MS)
        assert await site.state_of("vm-1") is VmState.DRAINING
        assert site.backends.status_of("vm-1").draining

    on_drain_site(case)


def test_second_drain_restarts_the_propagation_time():
    async def case(site):
        await site.drain("vm-1")
        await site.run_round()
        await site.run_round(PROPAGATION_MS - 1)
        await site.return_to_service("vm-1")
        await site.drain("vm-1")
        await site.run_round(1)
        assert await site.state_of("vm-1") is VmState.DRAINING

    on_drain_site(case)


def test_old_view_does_not_end_a_later_drain():
    async def case(site):
        await site.drain("vm-1")
        await site.run_round()
        await site.clock.advance_ms(PROPAGATION_MS)
        await site.return_to_service("vm-1")
        await site.drain("vm-1")
        await site.drains.run_once()
        assert await site.state_of("vm-1") is VmState.DRAINING

    on_drain_site(case)


def test_returned_vm_is_resumed():
    async def case(site):
        await site.drain("vm-1")
        await site.run_round()
        await site.run_round(PROPAGATION_MS)
        await site.return_to_service("vm-1")
        site.backends.silent = {"vm-1"}
        await site.run_round()
        assert site.drains.state()["unreachable"] == {"vm-1": ""}
        site.backends.silent = set()
        await site.run_round()
        assert not site.backends.status_of("vm-1").draining
        assert site.drains.state()["unreachable"] == {}

    on_drain_site(case)


def test_drain_does_not_end_while_the_backend_server_is_silent():
    async def case(site):
        site.backends.silent = {"vm-1"}
        await site.drain("vm-1")
        await site.run_round()
        await site.run_round(PROPAGATION_MS)
        assert await site.state_of("vm-1") is VmState.DRAINING

    on_drain_site(case)


def test_controller_with_a_stale_view_does_nothing():
    async def case(site):
        await site.drain("vm-1")
        site.view.fresh = False
        await site.run_round()
        assert not site.backends.status_of("vm-1").draining

    on_drain_site(case)


def test_controller_ignores_pools_of_other_controllers():
    async def case(site):
        await site.drain("vm-1")
        await site.refresh_view()
        await site.drain_service("c-2").run_once()
        assert not site.backends.status_of("vm-1").draining

    on_drain_site(case)


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (httpx.Response(500), Reason.ANSWER_INVALID),
        (httpx.Response(200, text="{"), Reason.ANSWER_INVALID),
        (httpx.Response(200, json={"running": "0", "draining": True}), Reason.ANSWER_INVALID),
        (httpx.Response(200, json=[]), Reason.ANSWER_INVALID),
        (httpx.ConnectError("refused"), Reason.BACKEND_UNREACHABLE),
        (httpx.ReadTimeout("slow"), Reason.BACKEND_UNREACHABLE),
    ],
)
def test_bad_answers_of_a_backend_server(answer, reason):
    def handle(request):
        if isinstance(answer, Exception):
            raise answer
        return answer

    control = HttpBackendControl(httpx.MockTransport(handle))
    status = anyio.run(control.status, build_vm())
    assert status.error.reason is reason


def test_status_of_a_backend_server():
    plain = {"running": 3, "draining": True, "slots": 8}
    control = HttpBackendControl(httpx.MockTransport(lambda _: httpx.Response(200, json=plain)))
    assert anyio.run(control.status, build_vm()).ok == BackendStatus(running=3, draining=True)
