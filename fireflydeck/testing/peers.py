"""Fakes and test benches for the connections between gateways and dispatchers."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketAttribute
from attrs import define, field
from expression import Ok, Result

from fireflydeck.configuration import ConfigurationListener, ConfigurationView
from fireflydeck.core import (
    Answer,
    Clock,
    Configuration,
    ConfigurationChange,
    Failure,
    FireflydeckError,
    Member,
    MemberRole,
    Request,
    SystemClock,
)
from fireflydeck.kernel import EventLog, Metrics, Registry
from fireflydeck.peers import (
    LinkOptions,
    MessageStream,
    PeerClient,
    PeerIdentity,
    PeerListener,
    PeerListenerOptions,
    PeerStatus,
    RequestDispatcher,
    SubmissionServer,
)
from fireflydeck.peers.handshake import accept_peer
from fireflydeck.testing.builders import build_configuration

__all__ = [
    "SECRET",
    "FakeDispatcher",
    "FakeConfigurationView",
    "PeerBench",
    "build_client",
    "build_member",
    "run_peers",
    "run_scripted_member",
]

SECRET = b"a secret of the tests"


class FakeConfigurationView(ConfigurationView):
    """Configuration view whose `configuration` and `fresh` attributes are set by tests."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        self.configuration = configuration or build_configuration()
        self.fresh = True
        self.listeners: list[ConfigurationListener] = []

    @property
    def current(self) -> Configuration:
        return self.configuration

    def is_fresh(self) -> bool:
        return self.fresh

    def on_change(self, listener: ConfigurationListener) -> None:
        self.listeners.append(listener)


class FakeDispatcher(RequestDispatcher):
    """Answers requests with `reply`, after the `release` event if one is assigned."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.cancelled: list[str] = []
        self.reply: Callable[[Request], Result[Answer, Failure]] = echo
        self.release: anyio.Event | None = None

    async def submit(self, request: Request) -> Result[Answer, Failure]:
        self.requests.append(request)
        if self.release is not None:
            await self.release.wait()
        return self.reply(request)

    def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)


def echo(request: Request) -> Result[Answer, Failure]:
    return Ok(Answer(request_id=request.request_id, status=200, body=request.body, vm="vm-1"))


def build_member(name: str = "dispatcher-1", address: str = "127.0.0.1:9", **fields: Any) -> Member:
    return Member(name=name, address=address, **{"role": MemberRole.DISPATCHER, **fields})


def build_client(
    members: list[Member],
    clock: Clock,
    metrics: Metrics,
    options: LinkOptions | None = None,
    secret: bytes = SECRET,
) -> PeerClient:
    return PeerClient(
        identity=PeerIdentity(name="gateway-1", role=MemberRole.GATEWAY, secret=secret),
        members=lambda: members,
        clock=clock,
        log=EventLog(),
        metrics=metrics,
        random=Random(1),
        options=options,
    )


@define(kw_only=True)
class PeerBench:
    """A running peer listener in front of a fake dispatcher, and a peer client."""

    listener: PeerListener
    client: PeerClient
    dispatcher: FakeDispatcher
    listener_metrics: Metrics
    client_metrics: Metrics
    members: list[Member]
    pushed: list[ConfigurationChange] = field(factory=list)

    @property
    def member(self) -> Member:
        return self.members[0]


@asynccontextmanager
async def run_peers(
    *,
    clock: Clock | None = None,
    listener_options: PeerListenerOptions | None = None,
    link_options: LinkOptions | None = None,
    client_secret: bytes = SECRET,
    listener_name: str = "dispatcher-1",
) -> AsyncIterator[PeerBench]:
    clock = clock or SystemClock()
    bench = _make_bench(clock, listener_options, link_options, client_secret, listener_name)
    async with anyio.create_task_group() as tasks:
        await bench.listener.start(Registry(), tasks)
        bench.members.append(build_member(address=bench.listener.address))
        await bench.client.start(Registry(), tasks)
        yield bench
        await bench.client.stop()
        tasks.cancel_scope.cancel()


def _make_bench(
    clock: Clock,
    listener_options: PeerListenerOptions | None,
    link_options: LinkOptions | None,
    client_secret: bytes,
    listener_name: str,
) -> PeerBench:
    members: list[Member] = []
    pushed: list[ConfigurationChange] = []
    dispatcher = FakeDispatcher()
    listener_metrics, client_metrics = Metrics(), Metrics()
    listener = PeerListener(
        identity=PeerIdentity(name=listener_name, role=MemberRole.DISPATCHER, secret=SECRET),
        options=listener_options or PeerListenerOptions(address="127.0.0.1:0"),
        status=lambda: PeerStatus(version=7, confirmed_age_ms=40, store_reachable=True),
        on_configuration=pushed.append,
        clock=clock,
        log=EventLog(),
        metrics=listener_metrics,
    )
    SubmissionServer(dispatcher).register(listener)
    client = build_client(members, clock, client_metrics, link_options, client_secret)
    return PeerBench(
        listener=listener,
        client=client,
        dispatcher=dispatcher,
        listener_metrics=listener_metrics,
        client_metrics=client_metrics,
        members=members,
        pushed=pushed,
    )


PeerScript = Callable[[MessageStream], Awaitable[None]]


@asynccontextmanager
async def run_scripted_member(
    script: PeerScript, *, secret: bytes = SECRET
) -> AsyncIterator[Member]:
    """Run a member that runs `script` on each connection after the handshake, then closes it."""

    async def serve(connection: ByteStream) -> None:
        stream = MessageStream(connection, "client")
        try:
            await accept_peer(stream, "dispatcher-1", secret)
            await script(stream)
        except FireflydeckError:
            pass
        finally:
            await stream.close()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(SocketAttribute.local_port)
        yield build_member(address=f"127.0.0.1:{port}")
        tasks.cancel_scope.cancel()
