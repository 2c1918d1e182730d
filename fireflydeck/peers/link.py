"""Keeps one connection to a member: opens it on first use, re-opens it with backoff."""

from collections import deque
from enum import StrEnum
from random import Random

import anyio
from anyio.abc import TaskGroup
from attrs import field, frozen

from fireflydeck.core import Clock, Failure, FireflydeckError, Member, Reason
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.peers.connection import ConnectionOptions, PeerConnection
from fireflydeck.peers.handshake import HANDSHAKE_FRAME_BYTES, greet_peer
from fireflydeck.peers.identity import PeerIdentity
from fireflydeck.peers.messages import Message
from fireflydeck.peers.sockets import configure_socket, split_address
from fireflydeck.peers.stream import DEFAULT_MAX_FRAME_BYTES, MessageStream
from fireflydeck.peers.traffic import Traffic
from fireflydeck.web.timeout import run_within_ms

__all__ = ["LinkOptions", "LinkState", "PeerLink", "backoff_ms"]

_MAX_WAITING_MESSAGES = 16
"""Messages kept for a connection that is being opened; older ones go first."""


class LinkState(StrEnum):
    """State of the connection to a member."""

    NEW = "new"
    OPENING = "opening"
    OPEN = "open"
    DOWN = "down"
    CLOSED = "closed"


@frozen(kw_only=True)
class LinkOptions:
    """Limits of connecting.

    Parameters
    ----------
    connect_timeout_ms
        Time for connection and handshake.
    min_backoff_ms, max_backoff_ms
        First and longest wait before the connection is tried again; doubles between them.
    stable_ms
        Time that a connection must last to start the backoff afresh.
    max_frame_bytes
        The largest payload of a message.
    connection
        Limits of the open connection.
    """

    connect_timeout_ms: int = 2_000
    min_backoff_ms: int = 50
    max_backoff_ms: int = 5_000
    stable_ms: int = 1_000
    max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES
    connection: ConnectionOptions = field(factory=ConnectionOptions)


def backoff_ms(attempt: int, options: LinkOptions, random: Random) -> int:
    """Return the wait before the next attempt: exponential, with jitter of half of it.

    Parameters
    ----------
    attempt
        Number of failed attempts, at least 1.

    Examples
    --------
    >>> 25 <= backoff_ms(1, LinkOptions(), Random(1)) <= 50
    True
    >>> 2500 <= backoff_ms(40, LinkOptions(), Random(1)) <= 5000
    True
    """
    doublings = min(attempt - 1, 16)
    longest_ms = min(options.max_backoff_ms, options.min_backoff_ms << doublings)
    return longest_ms - random.randrange(longest_ms // 2 + 1)


@frozen(kw_only=True)
class LinkServices:
    """What links share with their client."""

    identity: PeerIdentity
    clock: Clock
    log: EventLog
    metrics: Metrics
    random: Random
    tasks: TaskGroup
    options: LinkOptions


class PeerLink:
    """The connection to one member at one address.

    Parameters
    ----------
    member
        The member.
    services
        Shared with the client.
    """

    def __init__(self, member: Member, services: LinkServices) -> None:
        self._member = member
        self._services = services
        self._state = LinkState.NEW
        self._connection: PeerConnection | None = None
        self._attempts = 0
        self._settled = anyio.Event()
        self._waiting: deque[Message] = deque(maxlen=_MAX_WAITING_MESSAGES)
        self._scope = anyio.CancelScope()
        self._is_stopping = False
        self._detail = ""
        self._traffic = Traffic()

    @property
    def member(self) -> Member:
        """The member on the other side."""
        return self._member

    @property
    def state(self) -> LinkState:
        """State of the connection."""
        return self._state

    @property
    def is_alive(self) -> bool:
        """Whether the member can be reached, as far as is known."""
        return self._state in (LinkState.NEW, LinkState.OPENING, LinkState.OPEN)

    @property
    def is_stopping(self) -> bool:
        """Whether the member said that it takes no new work."""
        return self._is_stopping

    @property
    def in_flight(self) -> int:
        """Number of requests without an answer."""
        return self._connection.in_flight if self._connection else 0

    def mark_stopping(self) -> None:
        """Note that the member takes no new work; member names are not used twice."""
        if not self._is_stopping:
            self._is_stopping = True
            self._services.log.emit(Event.PEER_STOPPING, peer=self._member.name)

    async def open(self) -> PeerConnection:
        """Return the open connection; the first use waits for it.

        Raises
        ------
        FireflydeckError
            With reason `PEER_UNREACHABLE`; nothing was sent.
        """
        self._begin()
        if self._state is LinkState.OPENING:
            await self._settled.wait()
        if self._connection is None:
            raise FireflydeckError(self._unreachable())
        return self._connection

    def offer(self, message: Message) -> bool:
        """Queue a message without waiting; return whether it was queued."""
        self._begin()
        if self._connection is not None:
            return self._connection.offer(message)
        if self._state is LinkState.OPENING:
            self._waiting.append(message)
            return True
        return False

    def close(self) -> None:
        """Close the connection for good."""
        self._state = LinkState.CLOSED
        self._scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state to dump."""
        return {
            "member": self._member.name,
            "address": self._member.address,
            "state": self._state,
            "in_flight": self.in_flight,
            "attempts": self._attempts,
            "stopping": self._is_stopping,
            "bytes_sent": self._traffic.bytes_sent,
            "bytes_received": self._traffic.bytes_received,
        }

    def _begin(self) -> None:
        if self._state is LinkState.NEW:
            self._state = LinkState.OPENING
            self._services.tasks.start_soon(self._run)

    async def _run(self) -> None:
        with self._scope:
            while True:
                await self._connect_and_serve()
                self._settle(LinkState.DOWN)
                self._waiting.clear()
                delay_ms = backoff_ms(self._attempts, self._services.options, self._services.random)
                await self._services.clock.sleep_ms(delay_ms)
        self._settle(LinkState.CLOSED)

    async def _connect_and_serve(self) -> None:
        stream = await self._connect()
        if stream is None:
            self._attempts += 1
            return
        opened_ms = self._services.clock.now_ms()
        try:
            failure = await self._serve(stream)
        finally:
            self._connection = None
        lasted_ms = self._services.clock.now_ms() - opened_ms
        self._attempts = 1 if lasted_ms >= self._services.options.stable_ms else self._attempts + 1
        self._report_lost(failure)

    async def _serve(self, stream: MessageStream) -> Failure:
        services = self._services
        connection = PeerConnection(
            stream,
            services.clock,
            services.metrics,
            services.options.connection,
            self.mark_stopping,
        )
        for message in self._waiting:
            connection.offer(message)
        self._waiting.clear()
        self._connection = connection
        services.log.emit(Event.PEER_CONNECTED, peer=self._member.name)
        self._settle(LinkState.OPEN)
        return await connection.run()

    async def _connect(self) -> MessageStream | None:
        services = self._services
        try:
            return await run_within_ms(
                services.clock, services.options.connect_timeout_ms, self._dial
            )
        except (OSError, TimeoutError, ValueError) as error:
            self._report_unreachable(repr(error))
        except FireflydeckError as error:
            self._report_unreachable(str(error))
        return None

    async def _dial(self) -> MessageStream:
        services = self._services
        host, port = split_address(self._member.address)
        connection = await anyio.connect_tcp(host, port)
        stream = MessageStream(connection, self._member.name, HANDSHAKE_FRAME_BYTES, self._traffic)
        try:
            configure_socket(connection)
            await greet_peer(
                stream,
                services.identity.name,
                services.identity.role,
                self._member.name,
                services.identity.secret,
            )
        except BaseException:
            await stream.close()
            raise
        stream.max_frame_bytes = services.options.max_frame_bytes
        return stream

    def _settle(self, state: LinkState) -> None:
        if self._state is not LinkState.CLOSED:
            self._state = state
        self._settled.set()

    def _report_unreachable(self, detail: str) -> None:
        self._detail = detail
        self._services.metrics.count("peer_unreachable_total")
        if self._attempts == 0:
            self._services.log.emit(Event.PEER_UNREACHABLE, peer=self._member.name, detail=detail)

    def _report_lost(self, failure: Failure) -> None:
        self._detail = failure.detail
        self._services.metrics.count("peer_lost_total")
        event = Event.BAD_FRAME if failure.reason is Reason.BAD_REQUEST else Event.PEER_LOST
        self._services.log.emit(event, peer=self._member.name, detail=failure.detail)

    def _unreachable(self) -> Failure:
        return Failure(
            Reason.PEER_UNREACHABLE,
            step="peer.connect",
            peer=self._member.name,
            detail=self._detail or "no connection",
        )
