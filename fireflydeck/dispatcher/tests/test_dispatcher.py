import json

import anyio
import pytest

from fireflydeck.core import DataCentre, Organisation, Ran, Reason, SystemClock
from fireflydeck.dispatcher import (
    BackendClient,
    BackendClientOptions,
    Dispatcher,
    IdempotencyKeys,
    Scheduler,
    WholeLimitAllotments,
)
from fireflydeck.dispatcher.tests.fakes import FakeView, RawServer, answer_ok
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.testing import (
    FakeObjectStore,
    FakeTableService,
    StoreFault,
    build_configuration,
    build_request,
    build_vm,
)

pytestmark = pytest.mark.anyio

NOT_STARTED = (
    b"HTTP/1.1 503 -\r\nx-request-id: %s\r\nx-not-started: true\r\ncontent-length: 0\r\n\r\n"
)


class Backend(RawServer):
    """Backend server whose answers and reported tasks a test sets."""

    def __init__(self, answer=answer_ok):
        super().__init__(self._serve_one)
        self.starts = 0
        self.mode = "ok"
        self.running = []
        self.status_reads = 0

    async def _serve_one(self, stream, server):
        while True:
            head, _ = await self.receive_request(stream)
            if head.startswith(b"GET /-/status"):
                self.status_reads += 1
                await self._send(stream, json.dumps({"tasks": self.running}).encode(), b"")
                continue
            request_id = head.split(b"x-request-id: ")[1].split(b"\r\n")[0]
            if self.mode == "refuse":
                await stream.send(NOT_STARTED % request_id)
                continue
            self.starts += 1
            if self.mode == "lose":
                return
            if self.mode == "hang":
                await anyio.sleep_forever()
            await self._send(stream, b"ok", b"x-request-id: " + request_id + b"\r\n")

    async def _send(self, stream, body, fields):
        head = b"HTTP/1.1 200 OK\r\n" + fields + b"content-length: %d\r\n\r\n" % len(body)
        await stream.send(head + body)


class Node:
    def __init__(self, backends, tables, objects, clock):
        self.view = FakeView(
            build_configuration(
                *(build_vm(f"vm-{i + 1}", address=b.address) for i, b in enumerate(backends))
            )
        )
        metrics = Metrics()
        self.scheduler = Scheduler(
            self.view, WholeLimitAllotments(self.view), clock, metrics, "dc-1"
        )
        client = BackendClient(BackendClientOptions(dispatcher="d-1"), clock, metrics)
        self.keys = IdempotencyKeys(tables, objects, clock, metrics, "d-1")
        self.dispatcher = Dispatcher(
            self.view, self.scheduler, client, self.keys, clock=clock, metrics=metrics
        )
        self.services = [self.keys, self.scheduler, self.dispatcher]

    async def submit(self, request_id="r-1", **fields):
        return await self.dispatcher.submit(build_request(request_id, **fields))


async def run_with_nodes(backend_count, scenario, nodes=1):
    backends = [Backend() for _ in range(backend_count)]
    tables, objects, clock = FakeTableService(), FakeObjectStore(), SystemClock()
    async with anyio.create_task_group() as tasks:
        for backend in backends:
            await tasks.start(backend.run)
        created = [Node(backends, tables, objects, clock) for _ in range(nodes)]
        for node in created:
            for service in node.services:
                await service.start(Registry(), tasks)
        with anyio.fail_after(20):
            await scenario(created, backends, tables)
        tasks.cancel_scope.cancel()


async def until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.01)


async def test_request_with_a_withdrawn_key_is_not_sent():
    """A gateway that was paused after its check may submit a request with a withdrawn key."""

    async def scenario(nodes, backends, tables):
        node = nodes[0]
        museum = Organisation(name="museum", limit=10, key_hashes=("granted",))
        node.view.put(museum)
        result = await node.submit("r-1", organisation="museum", key_hash="withdrawn")
        assert (result.error.reason, result.error.ran) == (Reason.WRONG_KEY, Ran.NO)
        assert backends[0].starts == 0
        assert (await node.submit("r-2", organisation="museum", key_hash="granted")).is_ok()

    await run_with_nodes(1, scenario)


async def test_submit_returns_the_complete_answer():
    async def scenario(nodes, backends, tables):
        result = await nodes[0].submit(body=b"abc")
        assert (result.ok.status, result.ok.body, result.ok.vm) == (200, b"ok", "vm-1")
        assert nodes[0].scheduler.state()["held"] == 0
        assert tables.commits == 0

    await run_with_nodes(1, scenario)


async def test_submit_refuses_requests_that_must_not_start():
    async def scenario(nodes, backends, tables):
        node = nodes[0]
        result = await node.submit(queue="none")
        assert (result.error.reason, result.error.ran) == (Reason.UNKNOWN_QUEUE, Ran.NO)
        node.view.fresh = False
        result = await node.submit()
        assert (result.error.reason, result.error.ran) == (Reason.STALE_CONFIGURATION, Ran.NO)
        node.view.fresh = True
        node.view.put(DataCentre(name="dc-1", in_service=False))
        result = await node.submit(deadline_ms=200)
        assert (result.error.reason, result.error.ran) == (Reason.DEADLINE, Ran.NO)
        assert backends[0].starts == 0

    await run_with_nodes(1, scenario)


async def test_submit_retries_on_another_vm_after_a_refusal():
    async def scenario(nodes, backends, tables):
        backends[0].mode = "refuse"
        for number in range(4):
            result = await nodes[0].submit(f"r-{number}")
            assert result.ok.vm == "vm-2"
        assert backends[0].starts == 0

    await run_with_nodes(2, scenario)


@pytest.mark.parametrize(("idempotent", "starts"), [(False, 1), (True, 2)])
async def test_submit_sends_again_after_a_lost_answer_only_if_idempotent(idempotent, starts):
    async def scenario(nodes, backends, tables):
        for backend in backends:
            backend.mode = "lose"
        result = await nodes[0].submit(idempotent=idempotent)
        assert (result.error.reason, result.error.ran) == (Reason.BACKEND_LOST, Ran.UNKNOWN)
        assert sum(backend.starts for backend in backends) >= starts
        if not idempotent:
            assert sum(backend.starts for backend in backends) == 1

    await run_with_nodes(2, scenario)


async def test_slot_of_an_unknown_outcome_is_held_while_the_task_runs():
    async def scenario(nodes, backends, tables):
        node, backend = nodes[0], backends[0]
        node.view.put(Organisation(name="museum", limit=1))
        backend.mode = "lose"
        backend.running = [{"id": "r-1"}]
        assert (await node.submit()).error.ran is Ran.UNKNOWN
        backend.mode = "ok"
        result = await node.submit("r-2", deadline_ms=400)
        assert result.error.reason is Reason.DEADLINE
        assert backend.starts == 1
        backend.running = []
        assert (await node.submit("r-3")).is_ok()

    await run_with_nodes(1, scenario)


async def test_cancel_says_whether_the_request_may_have_run():
    async def scenario(nodes, backends, tables):
        node, backend = nodes[0], backends[0]
        backend.mode = "hang"
        results = {}

        async def submit(request_id):
            results[request_id] = await node.submit(request_id)

        node.view.put(Organisation(name="museum", limit=1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit, "r-1")
            await until(lambda: backend.starts == 1)
            tasks.start_soon(submit, "r-2")
            await until(lambda: node.scheduler.state()["waiting"] == 1)
            assert node.dispatcher.cancel("r-2") and node.dispatcher.cancel("r-1")
        assert results["r-2"].error.ran is Ran.NO
        assert results["r-1"].error.ran is Ran.UNKNOWN
        await until(lambda: node.scheduler.state()["held"] == 0)
        assert not node.dispatcher.cancel("r-1")

    await run_with_nodes(1, scenario)


async def test_stop_finishes_current_requests_and_refuses_new_ones():
    async def scenario(nodes, backends, tables):
        node, backend = nodes[0], backends[0]
        release = anyio.Event()

        async def send_after_release(stream, body, fields):
            await release.wait()
            await Backend._send(backend, stream, body, fields)

        backend._send = send_after_release
        results = []
        async with anyio.create_task_group() as tasks:

            async def submit():
                results.append(await node.submit())

            tasks.start_soon(submit)
            await until(lambda: backend.starts == 1)
            tasks.start_soon(node.dispatcher.stop)
            await until(lambda: node.dispatcher.state()["stopping"])
            refused = await node.submit("r-2")
            assert (refused.error.reason, refused.error.ran) == (Reason.STOPPING, Ran.NO)
            release.set()
        assert results[0].is_ok()

    await run_with_nodes(1, scenario)


KEYED = {"idempotency_key": "order-7", "body": b"one horse"}


async def test_keyed_request_runs_once_through_two_dispatchers_at_the_same_moment():
    async def scenario(nodes, backends, tables):
        results = []

        async def submit(node, request_id):
            results.append(await node.submit(request_id, **KEYED))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit, nodes[0], "r-1")
            tasks.start_soon(submit, nodes[1], "r-2")
        assert sum(backend.starts for backend in backends) == 1
        assert sum(result.is_ok() for result in results) == 1
        duplicate = next(result.error for result in results if result.is_error())
        assert (duplicate.reason, duplicate.ran) == (Reason.KEY_IN_USE, Ran.UNKNOWN)

    await run_with_nodes(2, scenario, nodes=2)


async def test_keyed_request_is_replayed_and_a_different_one_is_refused():
    async def scenario(nodes, backends, tables):
        first = await nodes[0].submit("r-1", **KEYED)
        await nodes[0].keys.stop()
        again = await nodes[1].submit("r-2", **KEYED)
        assert (again.ok.body, again.ok.vm) == (first.ok.body, first.ok.vm)
        assert again.ok.request_id == "r-2"
        different = await nodes[1].submit("r-3", idempotency_key="order-7", body=b"two horses")
        assert different.error.reason is Reason.KEY_MISMATCH
        assert sum(backend.starts for backend in backends) == 1

    await run_with_nodes(2, scenario, nodes=2)


async def test_keyed_request_runs_once_after_a_lost_answer_of_the_store():
    async def scenario(nodes, backends, tables):
        tables.next_commits = [StoreFault.ANSWER_LOST]
        assert (await nodes[0].submit("r-1", **KEYED)).is_ok()
        await nodes[0].keys.stop()
        assert (await nodes[1].submit("r-2", **KEYED)).is_ok()
        assert sum(backend.starts for backend in backends) == 1

    await run_with_nodes(1, scenario, nodes=2)


async def test_keyed_request_waits_for_the_store_without_a_slot_and_did_not_run():
    async def scenario(nodes, backends, tables):
        tables.outage = True
        result = await nodes[0].submit("r-1", deadline_ms=400, **KEYED)
        assert (result.error.reason, result.error.ran) == (Reason.STORE_UNAVAILABLE, Ran.NO)
        assert (await nodes[0].submit("r-2")).is_ok()
        tables.outage = False
        assert (await nodes[0].submit("r-3", **KEYED)).is_ok()
        assert sum(backend.starts for backend in backends) == 2

    await run_with_nodes(1, scenario)


async def test_key_of_a_request_that_did_not_run_is_free_again():
    async def scenario(nodes, backends, tables):
        backends[0].mode = "refuse"
        result = await nodes[0].submit("r-1", deadline_ms=500, **KEYED)
        assert (result.error.reason, result.error.ran) == (Reason.BACKEND_REFUSED, Ran.NO)
        await nodes[0].keys.stop()
        backends[0].mode = "ok"
        assert (await nodes[0].submit("r-2", **KEYED)).is_ok()

    await run_with_nodes(1, scenario)


async def test_concurrent_claims_share_transactions():
    async def scenario(nodes, backends, tables):
        async with anyio.create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(
                    lambda number: nodes[0].submit(f"r-{number}", idempotency_key=f"k-{number}"),
                    number,
                )
        await nodes[0].keys.stop()
        assert tables.commits <= 10

    await run_with_nodes(1, scenario)
