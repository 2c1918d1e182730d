import anyio
import pytest

from fireflydeck.core import EntityKey, Organisation, Pool, Queue, Ran, Reason, VmState
from fireflydeck.dispatcher import Scheduler, SlotOutcome, SlotRequest, WholeLimitAllotments
from fireflydeck.dispatcher.tests.fakes import FakeView
from fireflydeck.kernel import Metrics
from fireflydeck.testing import FakeClock, build_configuration, build_vm

pytestmark = pytest.mark.anyio


class Site:
    def __init__(self, *entities):
        self.clock = FakeClock(now_ms=1000)
        museum = Organisation(name="museum", limit=100)
        self.view = FakeView(build_configuration(museum, build_vm(slots=1), *entities))
        allotments = WholeLimitAllotments(self.view)
        self.scheduler = Scheduler(self.view, allotments, self.clock, Metrics(), "dc-1")
        self.results = {}

    async def acquire(self, request_id, deadline_ms=100_000, **fields):
        request = SlotRequest(
            request_id=request_id,
            deadline_ms=deadline_ms,
            **{"queue": "records", "organisation": "museum", **fields},
        )
        self.results[request_id] = await self.scheduler.acquire(request)
        return self.results[request_id]

    def vm_of(self, request_id):
        return self.results[request_id].ok.vm.name


async def run_with_waiting(site, use, **fields):
    """Hold the only slot, let a second request wait, and run `use` with the held grant."""
    held = (await site.acquire("held")).ok
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: site.acquire("waiting", **fields))
        await anyio.wait_all_tasks_blocked()
        assert site.scheduler.state()["waiting"] == 1
        with anyio.CancelScope() as scope:
            await use(held, tasks, scope)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert site.scheduler.state()["waiting"] == 0


async def test_release_grants_the_slot_to_the_waiting_request():
    site = Site()

    async def use(held, tasks, scope):
        site.scheduler.release(held, SlotOutcome.FINISHED)
        site.scheduler.release(held, SlotOutcome.FINISHED)

    await run_with_waiting(site, use)
    assert site.results["waiting"].is_ok()
    assert site.scheduler.state()["held"] == 1


@pytest.mark.parametrize("is_cancelled_first", [True, False])
async def test_grant_at_the_moment_of_a_cancellation_is_not_lost(is_cancelled_first):
    site = Site()

    async def use(held, tasks, scope):
        if is_cancelled_first:
            tasks.cancel_scope.cancel()
        site.scheduler.release(held, SlotOutcome.FINISHED)
        assert site.scheduler.state()["held"] == 1
        tasks.cancel_scope.cancel()

    await run_with_waiting(site, use)
    assert ("waiting" in site.results) == (not is_cancelled_first)
    assert site.scheduler.state()["held"] == len(site.results) - 1


async def test_cancelled_request_leaves_nothing_behind():
    site = Site()

    async def use(held, tasks, scope):
        tasks.cancel_scope.cancel()

    await run_with_waiting(site, use)
    assert site.scheduler.state()["held"] == 1
    assert site.scheduler.state()["pools"]["records"]["waiting"] == 0


CHANGES = {
    "queue removed": (
        lambda view: view.put(removes=(EntityKey("queue", "records"),)),
        "unknown-queue",
    ),
    "organisation removed": (
        lambda view: view.put(removes=(EntityKey("organisation", "museum"),)),
        "wrong-key",
    ),
}


@pytest.mark.parametrize("change", CHANGES)
async def test_waiting_request_is_refused_when_its_configuration_goes(change):
    site = Site()
    act, reason = CHANGES[change]

    async def use(held, tasks, scope):
        act(site.view)

    await run_with_waiting(site, use)
    assert site.results["waiting"].error.reason == reason
    assert site.results["waiting"].error.ran is Ran.NO


async def test_waiting_request_follows_its_queue_to_another_pool():
    site = Site(Pool(name="other"), build_vm("vm-o", pool="other"))

    async def use(held, tasks, scope):
        site.view.put(Queue(name="records", pool="other"))

    await run_with_waiting(site, use)
    assert site.vm_of("waiting") == "vm-o"


async def test_vm_that_moves_pool_brings_its_running_tasks():
    site = Site(Pool(name="other"), Queue(name="other", pool="other"))
    held = (await site.acquire("held")).ok
    site.view.put(build_vm(slots=1, pool="other"))
    pools = site.scheduler.state()["pools"]
    assert pools["other"]["vms"] == {"vm-1": 1} and pools["records"]["vms"] == {}
    site.scheduler.release(held, SlotOutcome.FINISHED)
    await site.acquire("next", queue="other")
    assert site.vm_of("next") == "vm-1"


async def test_no_grant_on_a_vm_that_drains_or_while_stale():
    site = Site()

    async def use(held, tasks, scope):
        site.view.fresh = False
        site.scheduler.release(held, SlotOutcome.FINISHED)
        assert site.scheduler.state()["waiting"] == 1
        site.view.put(build_vm(slots=1, state=VmState.DRAINING))
        site.view.fresh = True
        site.scheduler.tick()
        assert site.scheduler.state()["waiting"] == 1
        site.view.put(build_vm(slots=1))

    await run_with_waiting(site, use)
    assert site.results["waiting"].is_ok()


async def test_deadline_passes_while_waiting():
    site = Site()

    async def use(held, tasks, scope):
        await site.clock.advance_ms(500)
        site.scheduler.tick()

    await run_with_waiting(site, use, deadline_ms=1400)
    assert site.results["waiting"].error.reason is Reason.DEADLINE


async def test_refusals_at_once():
    site = Site(Queue(name="records", pool="records", max_waiting=1))

    async def use(held, tasks, scope):
        full = (await site.acquire("third")).error
        assert (full.reason, full.ran) == (Reason.QUEUE_FULL, Ran.NO)
        assert full.retry_after_ms > 0

    await run_with_waiting(site, use)
    large = (await site.acquire("large", accelerators=1)).error
    assert large.reason is Reason.FITS_NOWHERE


async def test_request_that_cannot_meet_its_deadline_is_refused_early():
    site = Site()
    first = (await site.acquire("first")).ok
    await site.clock.advance_ms(5000)
    site.scheduler.release(first, SlotOutcome.FINISHED)

    async def use(held, tasks, scope):
        late = (await site.acquire("late", deadline_ms=site.clock.now_ms() + 1000)).error
        assert late.reason is Reason.DEADLINE and late.retry_after_ms == 5000

    await run_with_waiting(site, use)


async def test_spare_pool_takes_work_only_while_it_has_no_own():
    spare = (Pool(name="front", spare=True), build_vm("vm-f", pool="front", slots=1))
    site = Site(*spare, Queue(name="front", pool="front"))
    first = (await site.acquire("first")).ok
    second = (await site.acquire("second")).ok
    assert (first.vm.name, second.vm.name) == ("vm-1", "vm-f")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: site.acquire("spill"))
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(lambda: site.acquire("own", queue="front"))
        await anyio.wait_all_tasks_blocked()
        site.scheduler.release(second, SlotOutcome.FINISHED)
        await anyio.wait_all_tasks_blocked()
        assert site.vm_of("own") == "vm-f" and "spill" not in site.results
        tasks.cancel_scope.cancel()


async def test_vm_that_fails_everything_is_put_aside_within_the_budget():
    site = Site(build_vm("vm-1", slots=2), build_vm("vm-2", slots=2), build_vm("vm-3", slots=2))
    chosen = []
    for number in range(60):
        grant = (await site.acquire(f"r-{number}")).ok
        chosen.append(grant.vm.name)
        bad = grant.vm.name in ("vm-1", "vm-2")
        outcome = SlotOutcome.FAILED if bad else SlotOutcome.FINISHED
        site.scheduler.release(grant, outcome)
    assert ("vm-1" in chosen[-10:]) != ("vm-2" in chosen[-10:])


async def test_work_spreads_over_vms():
    vms = [
        build_vm(f"vm-{i}", rack=f"rack-{i // 2}", data_centre="dc-1", slots=4) for i in range(1, 5)
    ]
    site = Site(*vms)
    names = [(await site.acquire(f"r-{i}")).ok.vm.name for i in range(4)]
    assert len(set(names)) == 4
