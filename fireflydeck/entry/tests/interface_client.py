"""A running caller interface with its HTTP listener and an in-memory store, for tests."""

from contextlib import asynccontextmanager

import anyio
from aiohttp import ClientSession

from fireflydeck.core import SystemClock
from fireflydeck.entry.peer_interfaces import ForwardResult, JobStateSource, RequestForwarder
from fireflydeck.entry.peer_messages import ForwardedRequest
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.server import CallerServer
from fireflydeck.entry.tests.builders import build_interface
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.observation import OperatorDocuments
from fireflydeck.observation.store_silence import MonitoredRowStore, StoreSilence
from fireflydeck.ownership import LeaseKeeper
from fireflydeck.platform.standin.documents import CALLER_HEADERS, put_configuration
from fireflydeck.testing.ports import free_address
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore

_ANSWER_TIMEOUT_S = 10
"""Each answer in these tests closes its connection; the limit only stops a failing test."""


class FakeStateSource(JobStateSource):
    """Lease holder that knows the state that the test sets, of all jobs."""

    def __init__(self):
        self.state = None

    async def job_state(self, job_id):
        return self.state


class _ShiftedClock(SystemClock):
    """Clock that a test sets ahead."""

    def __init__(self):
        self.ahead_ms = 0

    def now_ms(self):
        return super().now_ms() + self.ahead_ms


class _NoWaitClock(SystemClock):
    """Clock whose sleeps return immediately, so that the listener stops without a wait."""

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(0)


class FakeForwarder(RequestForwarder):
    """Forwarder that records the requests and returns the answer that the test sets."""

    def __init__(self):
        self.answer = None
        self.is_uncertain = False
        self.forwarded = []

    async def forward(self, request, *, timeout_ms):
        self.forwarded.append(request)
        ForwardedRequest.from_request(request).encode()
        peer = "m2:1" if self.answer else ""
        return ForwardResult(peer=peer, answer=self.answer, is_uncertain=self.is_uncertain)


class InterfaceClient:
    """HTTP client of a running interface, with the parts that a test controls or inspects."""

    def __init__(
        self, address, clock, store, operators, interface, forwarder, holder, log, lease, metrics
    ):
        self.address = address
        self.clock = clock
        self.store = store
        self.operators = operators
        self.interface = interface
        self.forwarder = forwarder
        self.holder = holder
        self.log = log
        self.lease = lease
        self.metrics = metrics

    async def call(self, method, path, body=None, **headers):
        """Send one request with an HTTP client; return status, body and headers."""
        async with ClientSession() as session:
            url = f"http://{self.address}{path}"
            sent = {**CALLER_HEADERS, **headers}
            async with session.request(method, url, data=body, headers=sent) as response:
                return response.status, await response.read(), response.headers

    async def wait_for_outage(self):
        """Wait until the process has noticed that the store does not answer it."""
        with anyio.fail_after(5):
            while not self.operators.is_store_unreachable:
                await anyio.sleep(0.01)

    async def send(self, content):
        """Send bytes on a new connection; return what is received until it is closed."""
        host, _, port = self.address.rpartition(":")
        received = b""
        async with await anyio.connect_tcp(host, int(port)) as connection:
            await connection.send(content)
            with anyio.move_on_after(_ANSWER_TIMEOUT_S):
                async for chunk in connection:
                    received += chunk
        return received


@asynccontextmanager
async def running_interface(*, configured=True, **configuration):
    """Run the interface with a configuration, and yield a client of it."""
    clock, log = _ShiftedClock(), RecordingLog()
    store, silence = FakeRowStore(clock), StoreSilence(clock)
    monitored = MonitoredRowStore(store, silence, clock)
    if configured:
        put_configuration(store.rows, **configuration)
    operators = OperatorDocuments(monitored, clock, log)
    lease = LeaseKeeper(monitored, clock, log, name="m1", address="m1:1")
    forwarder, holder = FakeForwarder(), FakeStateSource()
    metrics = Metrics()
    request_log = RequestLog(operators, log, metrics)
    interface = build_interface(
        store=monitored,
        operators=operators,
        lease=lease,
        state_source=holder,
        forwarder=forwarder,
        clock=clock,
        request_log=request_log,
        silence=silence,
    )
    async with anyio.create_task_group() as tasks:
        await operators.start(Registry(), tasks)
        await lease.start(Registry(), tasks)
        await operators.wait_loaded()
        while lease.last_record is None:
            await anyio.sleep(0.01)
        address = free_address()
        server = CallerServer(
            address,
            interface,
            operators=operators,
            clock=_NoWaitClock(),
            log=log,
            request_log=request_log,
        )
        await server.start(Registry(), tasks)
        yield InterfaceClient(
            address,
            clock,
            store,
            operators,
            interface,
            forwarder,
            holder,
            log,
            lease,
            metrics,
        )
        await server.stop()
        tasks.cancel_scope.cancel()
