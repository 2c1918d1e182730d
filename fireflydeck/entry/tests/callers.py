"""The caller interface behind its listener, on a store in memory."""

from contextlib import asynccontextmanager

import anyio
from aiohttp import ClientSession

from fireflydeck.core import SystemClock
from fireflydeck.entry.caller_interface import CallerInterface
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.server import CallerServer
from fireflydeck.entry.state_source import ForwardResult, RequestForwarder, StateSource
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.observation import OperatorDocuments
from fireflydeck.ownership import LeaseKeeper
from fireflydeck.platform.standin.documents import CALLER_HEADERS, put_configuration
from fireflydeck.testing.fleet_fakes import FakeAnnouncer
from fireflydeck.testing.ports import free_address
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore

_ANSWER_WITHIN_S = 10
"""All answers here end their connections; this only bounds a test that fails."""


class _NoStates(StateSource):
    async def job_state(self, job_id):
        return None


class _HastyClock(SystemClock):
    """The listener's stop waits for nobody."""

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(0)


class FakeForwarder(RequestForwarder):
    """Another process that gives the answer it is told to."""

    def __init__(self):
        self.answer = None
        self.is_uncertain = False
        self.forwarded = []

    async def forward(self, request, *, timeout_ms):
        self.forwarded.append(request)
        request.encode()
        peer = "m2:1" if self.answer else ""
        return ForwardResult(peer=peer, answer=self.answer, is_uncertain=self.is_uncertain)


class Callers:
    """Calls the interface and reads what came of it."""

    def __init__(self, address, store, interface, forwarder, log):
        self._address = address
        self.store = store
        self.interface = interface
        self.forwarder = forwarder
        self.log = log

    async def call(self, method, path, body=None, **headers):
        """Send one request by a client library."""
        async with ClientSession() as session:
            url = f"http://{self._address}{path}"
            sent = {**CALLER_HEADERS, **headers}
            async with session.request(method, url, data=body, headers=sent) as response:
                return response.status, await response.read(), response.headers

    async def send(self, content):
        """Send bytes on a connection of their own; returns what comes back until it ends."""
        host, _, port = self._address.rpartition(":")
        received = b""
        async with await anyio.connect_tcp(host, int(port)) as connection:
            await connection.send(content)
            with anyio.move_on_after(_ANSWER_WITHIN_S):
                async for chunk in connection:
                    received += chunk
        return received


@asynccontextmanager
async def running_callers(*, configured=True, **configuration):
    """Run the interface with a configuration; yields `Callers`."""
    clock, log = SystemClock(), RecordingLog()
    store = FakeRowStore(clock)
    if configured:
        put_configuration(store.rows, **configuration)
    operators = OperatorDocuments(store, clock, log)
    lease = LeaseKeeper(store, clock, log, name="m1", address="m1:1")
    forwarder = FakeForwarder()
    interface = CallerInterface(
        operators=operators,
        lease=lease,
        states=_NoStates(),
        forwarder=forwarder,
        intake=Intake(store, clock, FakeAnnouncer()),
        clock=clock,
        log=log,
        metrics=Metrics(),
    )
    async with anyio.create_task_group() as tasks:
        await operators.start(Registry(), tasks)
        await lease.start(Registry(), tasks)
        await operators.wait_loaded()
        while lease.holder is None:
            await anyio.sleep(0.01)
        address = free_address()
        server = CallerServer(address, interface, operators, _HastyClock(), log)
        await server.start(Registry(), tasks)
        yield Callers(address, store, interface, forwarder, log)
        await server.stop()
        tasks.cancel_scope.cancel()
