import anyio
import pytest

from fireflydeck.core import EntityKey, Organisation, Pool, Queue, Ran, Reason, VmState
from fireflydeck.dispatcher import Scheduler, SlotOutcome, SlotRequest, WholeLimitAllotments
from fireflydeck.dispatcher.tests.fakes import FakeView
from fireflydeck.kernel import Metrics
from fireflydeck.testing import FakeClock, build_configuration, build_vm

pytestmark = pytest.mark.anyio


class Harness:
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


async def run_with_waiting_request(harness, scenario, **fields):
    """Run the scenario while one request has the only slot and a second request waits for it."""
    grant = (await harness.acquire("held")).ok
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: harness.acquire("waiting", **fields))
        await anyio.wait_all_tasks_blocked()
        assert harness.scheduler.state()["waiting"] == 1
        with anyio.CancelScope() as scope:
            await scenario(grant, tasks, scope)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert harness.scheduler.state()["waiting"] == 0


async def test_release_grants_the_slot_to_the_waiting_request():
    harness = Harness()

    async def scenario(grant, tasks, scope):
        harness.scheduler.release(grant, SlotOutcome.FINISHED)
        harness.scheduler.release(grant, SlotOutcome.FINISHED)

    await run_with_waiting_request(harness, scenario)
    assert harness.results["waiting"].is_ok()
    assert harness.scheduler.state()["held"] == 1


@pytest.mark.parametrize("is_cancelled_first", [True, False])
async def test_grant_at_the_moment_of_a_cancellation_is_not_lost(is_cancelled_first):
    harness = Harness()

    async def scenario(grant, tasks, scope):
        if is_cancelled_first:
            tasks.cancel_scope.cancel()
        harness.scheduler.release(grant, SlotOutcome.FINISHED)
        assert harness.scheduler.state()["held"] == 1
        tasks.cancel_scope.cancel()

    await run_with_waiting_request(harness, scenario)
    assert ("waiting" in harness.results) == (not is_cancelled_first)
    assert harness.scheduler.state()["held"] == len(harness.results) - 1


async def test_cancelled_request_is_removed_from_the_queue():
    harness = Harness()

    async def scenario(grant, tasks, scope):
        tasks.cancel_scope.cancel()

    await run_with_waiting_request(harness, scenario)
    assert harness.scheduler.state()["held"] == 1
    assert harness.scheduler.state()["pools"]["records"]["waiting"] == 0


REMOVALS = {
    "queue removed": (
        lambda view: view.put(removes=(EntityKey("queue", "records"),)),
        "unknown-queue",
    ),
    "organisation removed": (
        lambda view: view.put(removes=(EntityKey("organisation", "museum"),)),
        "wrong-key",
    ),
}


@pytest.mark.parametrize("removal", REMOVALS)
async def test_waiting_request_is_refused_when_its_queue_or_organisation_is_removed(removal):
    harness = Harness()
    apply_change, reason = REMOVALS[removal]

    async def scenario(grant, tasks, scope):
        apply_change(harness.view)

    await run_with_waiting_request(harness, scenario)
    assert harness.results["waiting"].error.reason == reason
    assert harness.results["waiting"].error.ran is Ran.NO


async def test_waiting_request_follows_its_queue_to_another_pool():
    harness = Harness(Pool(name="other"), build_vm("vm-o", pool="other"))

    async def scenario(grant, tasks, scope):
        harness.view.put(Queue(name="records", pool="other"))

    await run_with_waiting_request(harness, scenario)
    assert harness.vm_of("waiting") == "vm-o"


async def test_vm_that_changes_pool_keeps_its_running_tasks():
    harness = Harness(Pool(name="other"), Queue(name="other", pool="other"))
    grant = (await harness.acquire("held")).ok
    harness.view.put(build_vm(slots=1, pool="other"))
    pools = harness.scheduler.state()["pools"]
    assert pools["other"]["vms"] == {"vm-1": 1} and pools["records"]["vms"] == {}
    harness.scheduler.release(grant, SlotOutcome.FINISHED)
    await harness.acquire("next", queue="other")
    assert harness.vm_of("next") == "vm-1"


async def test_no_grant_on_a_vm_that_drains_or_while_stale():
    harness = Harness()

    async def scenario(grant, tasks, scope):
        harness.view.fresh = False
        harness.scheduler.release(grant, SlotOutcome.FINISHED)
        assert harness.scheduler.state()["waiting"] == 1
        harness.view.put(build_vm(slots=1, state=VmState.DRAINING))
        harness.view.fresh = True
        harness.scheduler.tick()
        assert harness.scheduler.state()["waiting"] == 1
        harness.view.put(build_vm(slots=1))

    await run_with_waiting_request(harness, scenario)
    assert harness.results["waiting"].is_ok()


async def test_waiting_request_is_refused_at_its_deadline():
    harness = Harness()

    async def scenario(grant, tasks, scope):
        await harness.clock.advance_ms(500)
        harness.scheduler.tick()

    await run_with_waiting_request(harness, scenario, deadline_ms=1400)
    assert harness.results["waiting"].error.reason is Reason.DEADLINE


async def test_full_queue_and_oversized_demand_are_refused_immediately():
    harness = Harness(Queue(name="records", pool="records", max_waiting=1))

    async def scenario(grant, tasks, scope):
        full = (await harness.acquire("third")).error
        assert (full.reason, full.ran) == (Reason.QUEUE_FULL, Ran.NO)
        assert full.retry_after_ms > 0

    await run_with_waiting_request(harness, scenario)
    large = (await harness.acquire("large", accelerators=1)).error
    assert large.reason is Reason.FITS_NOWHERE


async def test_request_that_cannot_meet_its_deadline_is_refused_early():
    harness = Harness()
    first = (await harness.acquire("first")).ok
    await harness.clock.advance_ms(5000)
    harness.scheduler.release(first, SlotOutcome.FINISHED)

    async def scenario(grant, tasks, scope):
        late = (await harness.acquire("late", deadline_ms=harness.clock.now_ms() + 1000)).error
        assert late.reason is Reason.DEADLINE and late.retry_after_ms == 5000

    await run_with_waiting_request(harness, scenario)


async def test_spare_pool_serves_another_pool_only_while_nothing_waits_in_it():
    spare = (Pool(name="front", spare=True), build_vm("vm-f", pool="front", slots=1))
    harness = Harness(*spare, Queue(name="front", pool="front"))
    first = (await harness.acquire("first")).ok
    second = (await harness.acquire("second")).ok
    assert (first.vm.name, second.vm.name) == ("vm-1", "vm-f")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: harness.acquire("spill"))
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(lambda: harness.acquire("own", queue="front"))
        await anyio.wait_all_tasks_blocked()
        harness.scheduler.release(second, SlotOutcome.FINISHED)
        await anyio.wait_all_tasks_blocked()
        assert harness.vm_of("own") == "vm-f" and "spill" not in harness.results
        tasks.cancel_scope.cancel()


async def test_failing_vms_are_ejected_only_within_the_availability_budget():
    harness = Harness(
        build_vm("vm-1", slots=2), build_vm("vm-2", slots=2), build_vm("vm-3", slots=2)
    )
    chosen = []
    for number in range(60):
        grant = (await harness.acquire(f"r-{number}")).ok
        chosen.append(grant.vm.name)
        bad = grant.vm.name in ("vm-1", "vm-2")
        outcome = SlotOutcome.FAILED if bad else SlotOutcome.FINISHED
        harness.scheduler.release(grant, outcome)
    assert ("vm-1" in chosen[-10:]) != ("vm-2" in chosen[-10:])


async def test_work_spreads_over_vms():
    vms = [
        build_vm(f"vm-{i}", rack=f"rack-{i // 2}", data_centre="dc-1", slots=4) for i in range(1, 5)
    ]
    harness = Harness(*vms)
    names = [(await harness.acquire(f"r-{i}")).ok.vm.name for i in range(4)]
    assert len(set(names)) == 4
