"""Builders and fakes for the tests of jobs: backend servers, slots, configuration, runners."""

import asyncio
import base64
import heapq
import json
from contextlib import asynccontextmanager

import anyio
import httpx
from attrs import define, evolve, field
from expression import Error, Ok

from fireflydeck.core import Clock, Configuration, ConfigurationChange, Failure, Reason
from fireflydeck.jobs import JobRecord, JobRunner, JobStore, SlotGrant, SlotSource, TaskClient
from fireflydeck.jobs.runner import JobRunnerDependencies
from fireflydeck.kernel import EventLog, Metrics, Registry
from fireflydeck.testing import (
    FakeClock,
    FakeObjectStore,
    FakeTableService,
    build_configuration,
    build_vm,
)

QUEUE = "records"


def build_record(job_id="j-1", **fields):
    return JobRecord(job_id=job_id, **{"queue": QUEUE, "organisation": "museum", **fields})


@define
class FakeTask:
    lease_until_ms: int
    checkpoint: str
    state: str = "running"
    status: int = 0
    body: bytes = b""


@define
class FakeBackendServer:
    clock: Clock
    tasks: dict = field(factory=dict)
    starts: list = field(factory=list)
    calls: list = field(factory=list)
    unreachable: bool = False
    refuses: bool = False
    drop_starts: int = 0
    lose_start_answers: int = 0

    def answer(self, request):
        task_id, _, action = request.url.path.removeprefix("/-/tasks/").partition("/")
        self.calls.append((request.method, action, task_id))
        for task in self.tasks.values():
            if task.state == "running" and self.clock.now_ms() >= task.lease_until_ms:
                task.state = "stopped"
        lease_ms = int(request.headers.get("x-lease-ms", 0))
        if request.method == "PUT":
            return self._start(request, task_id, lease_ms)
        task = self.tasks.get(task_id)
        if task is None or (action == "lease" and task.state != "running"):
            return httpx.Response(404)
        if action == "lease":
            task.lease_until_ms = self.clock.now_ms() + lease_ms
        if request.method == "DELETE":
            task.state = "stopped"
        return httpx.Response(
            200,
            json={
                "state": task.state,
                "checkpoint": task.checkpoint,
                "status": task.status,
                "body": base64.b64encode(task.body).decode(),
            },
        )

    def _start(self, request, task_id, lease_ms):
        if self.drop_starts:
            self.drop_starts -= 1
            raise httpx.ReadError("connection reset")
        if self.refuses:
            return httpx.Response(503, headers={"x-not-started": "true"})
        if task_id in self.tasks:
            return httpx.Response(409)
        checkpoint = request.headers["x-checkpoint"]
        self.starts.append((task_id, checkpoint))
        self.tasks[task_id] = FakeTask(self.clock.now_ms() + lease_ms, checkpoint)
        if self.lose_start_answers:
            self.lose_start_answers -= 1
            raise httpx.ReadError("connection reset")
        return httpx.Response(201)

    def finish(self, task_id, *, state="done", status=200, body=b"result"):
        task = self.tasks[task_id]
        task.state, task.status, task.body = state, status, body


class FakeNetwork(httpx.AsyncBaseTransport):
    """Transport to the fake backend servers; traces the first byte like the real transport."""

    def __init__(self, servers):
        self.servers = servers
        self.before_first_byte = lambda request: None

    async def handle_async_request(self, request):
        await anyio.lowlevel.checkpoint()
        server = self.servers[f"{request.url.host}:{request.url.port}"]
        if server.unreachable:
            raise httpx.ConnectError("connection refused")
        self.before_first_byte(request)
        trace = request.extensions.get("trace")
        if trace is not None:
            await trace("http11.send_request_headers.started", {})
        await request.aread()
        return server.answer(request)


class JsonTableService(FakeTableService):
    """Converts values to JSON and back, like the real service."""

    async def commit(self, transaction):
        puts = tuple(
            evolve(put, value=json.loads(json.dumps(put.value))) for put in transaction.puts
        )
        return await super().commit(evolve(transaction, puts=puts))


class FakeSlots(SlotSource):
    def __init__(self, configuration, clock):
        self.configuration = configuration
        self.clock = clock
        self.open = anyio.Event()
        self.open.set()
        self.granted = {}
        self.released = []
        self.failure = None

    async def acquire(self, request):
        await self.open.wait()
        await anyio.lowlevel.checkpoint()
        if self.failure is not None:
            return Error(self.failure)
        vms = sorted(self.configuration.current.vms_in_pool(QUEUE), key=lambda vm: vm.name)
        usable = [vm for vm in vms if self.configuration.current.accepts_work(vm)]
        best = [vm for vm in usable if vm.name not in request.excluded_vms] or usable
        if not best:
            return Error(Failure(Reason.DEADLINE, "slots.acquire"))
        grant = SlotGrant(request_id=request.request_id, vm=best[0], granted_ms=0)
        self.granted[request.request_id] = grant
        return Ok(grant)

    def release(self, grant, outcome):
        assert self.granted.pop(grant.request_id) == grant
        self.released.append(outcome.value)


class FakeConfiguration:
    def __init__(self, current: Configuration):
        self.current = current
        self.fresh = True

    def is_fresh(self):
        return self.fresh

    def on_change(self, listener):
        raise AssertionError("a runner does not listen for configuration changes")

    def put(self, *entities):
        version = self.current.version + 1
        self.current = self.current.apply(
            ConfigurationChange(version=version, change_id="test", puts=entities)
        )


class QuickClock(FakeClock):
    """Fake clock that waits for idle tasks without the delay of `anyio.wait_all_tasks_blocked`."""

    async def advance_ms(self, duration_ms):
        end_ms = self._now_ms + duration_ms
        await wait_idle()
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            due_ms, _, event = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, due_ms)
            event.set()
            await wait_idle()
        self._now_ms = end_ms


async def wait_idle():
    """Wait until no other task can run; no task in these tests waits for real I/O."""
    ready = asyncio.get_running_loop()._ready
    idle_rounds = 0
    while idle_rounds < 2:
        await asyncio.sleep(0)
        idle_rounds = 0 if ready else idle_rounds + 1


class PausableClock(Clock):
    """The fake clock as one process sees it; a paused process does not wake from its sleeps."""

    def __init__(self, clock):
        self._clock = clock
        self.offset_ms = 0
        self._running = anyio.Event()
        self._running.set()

    def pause(self):
        self._running = anyio.Event()

    def resume(self):
        self._running.set()

    def now_ms(self):
        return self._clock.now_ms() + self.offset_ms

    def wall_ms(self):
        return self._clock.wall_ms()

    async def sleep_ms(self, duration_ms):
        await self._clock.sleep_ms(duration_ms)
        await self._running.wait()


@define
class RunnerHandle:
    runner: JobRunner
    clock: PausableClock
    slots: FakeSlots
    scope: anyio.CancelScope
    tables: FakeTableService
    metrics: Metrics

    def kill(self):
        self.scope.cancel()


class Fleet:
    """A store, three VMs and any number of runners on one fake clock."""

    def __init__(self, tasks, vms=3):
        self.tasks = tasks
        self.clock = QuickClock()
        self.tables = JsonTableService()
        self.objects = FakeObjectStore()
        fleet = [build_vm(f"vm-{n}", address=f"10.0.0.{n}:9000") for n in range(1, vms + 1)]
        self.configuration = FakeConfiguration(build_configuration(*fleet))
        self.servers = {vm.address: FakeBackendServer(self.clock) for vm in fleet}
        self.network = FakeNetwork(self.servers)
        self.store = JobStore(self.tables, self.objects, self.clock)

    def server(self, number):
        return self.servers[f"10.0.0.{number}:9000"]

    @property
    def starts(self):
        return [start for server in self.servers.values() for start in server.starts]

    async def start_runner(self, member="d-1", **options):
        clock = PausableClock(self.clock)
        tables = JsonTableService(self.tables.tables)
        slots = FakeSlots(self.configuration, self.clock)
        metrics = Metrics()
        client = httpx.AsyncClient(transport=self.network)
        runner = JobRunner(
            JobRunnerDependencies(
                member=member,
                store=JobStore(tables, self.objects, clock),
                tasks=TaskClient(client, client, member),
                slots=slots,
                configuration=self.configuration,
                owns=lambda queue: True,
                clock=clock,
                log=EventLog(),
                metrics=metrics,
                **options,
            )
        )
        scope = await self.tasks.start(self._run, runner)
        await wait_idle()
        return RunnerHandle(runner, clock, slots, scope, tables, metrics)

    async def _run(self, runner, *, task_status):
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                await runner.start(Registry(), tasks)
                task_status.started(scope)

    async def submit(self, job_id="j-1", content=b"{}", **fields):
        created = await self.store.create(build_record(job_id, **fields), content)
        assert created.is_ok()

    async def record(self, job_id="j-1"):
        return (await self.store.find(job_id)).ok

    async def advance(self, seconds):
        for _ in range(round(seconds * 2)):
            await self.clock.advance_ms(500)


@asynccontextmanager
async def build_fleet(vms=3):
    async with anyio.create_task_group() as tasks:
        yield Fleet(tasks, vms)
        tasks.cancel_scope.cancel()


def run_with_fleet(scenario, vms=3):
    """Run an async test function with a fleet."""

    async def main():
        with anyio.fail_after(60):
            async with build_fleet(vms) as fleet:
                await scenario(fleet)

    anyio.run(main)
