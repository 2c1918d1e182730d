"""Connection to one member, opened on first use and reopened with backoff."""

from collections import deque
from enum import StrEnum
from random import Random

import anyio
from anyio.abc import TaskGroup
from attrs import field, frozen

from fireflydeck.core import Clock, Failure, FireflydeckError, Member, Reason
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.peers.connection import ConnectionOptions, PeerConnection
from fireflydeck.peers.handshake import HANDSHAKE_FRAME_BYTES, run_client_handshake
from fireflydeck.peers.identity import PeerIdentity
from fireflydeck.peers.messages import Message
from fireflydeck.peers.sockets import configure_socket, split_address
from fireflydeck.peers.stream import DEFAULT_MAX_FRAME_BYTES, MessageStream
from fireflydeck.peers.traffic import Traffic
from fireflydeck.web.timeout import run_within_ms

__all__ = ["LinkOptions", "LinkState", "PeerLink", "backoff_ms"]

_MAX_QUEUED_MESSAGES = 16
"""Maximum number of messages queued while the connection opens; the oldest are dropped first."""


class LinkState(StrEnum):
    """State of the connection to a member."""

    NEW = "new"
    OPENING = "opening"
    OPEN = "open"
    DOWN = "down"
    CLOSED = "closed"


@frozen(kw_only=True)
class LinkOptions:
    """Limits of connection attempts.

    Parameters
    ----------
    connect_timeout_ms
        Time limit for connection and handshake together.
    min_backoff_ms, max_backoff_ms
        Minimum and maximum delay before the next attempt; doubles with each failed attempt.
    stable_ms
        Time that a connection must last to reset the backoff.
    max_frame_bytes
        Maximum payload of a message.
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
    """Return the delay before the next attempt: exponential, with a jitter of up to half of it.

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
    max_delay_ms = min(options.max_backoff_ms, options.min_backoff_ms << doublings)
    return max_delay_ms - random.randrange(max_delay_ms // 2 + 1)


@frozen(kw_only=True)
class LinkServices:
    """Objects shared by all links of a client."""

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
        The member to connect to.
    services
        Objects shared with the client.
    """

    def __init__(self, member: Member, services: LinkServices) -> None:
        self._member = member
        self._services = services
        self._state = LinkState.NEW
        self._connection: PeerConnection | None = None
        self._attempts = 0
        self._first_attempt_finished = anyio.Event()
        self._queued: deque[Message] = deque(maxlen=_MAX_QUEUED_MESSAGES)
        self._scope = anyio.CancelScope()
        self._is_stopping = False
        self._last_failure_detail = ""
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
        """Whether the member is not known to be unreachable."""
        return self._state in (LinkState.NEW, LinkState.OPENING, LinkState.OPEN)

    @property
    def is_stopping(self) -> bool:
        """Whether the member announced that it accepts no new work."""
        return self._is_stopping

    @property
    def in_flight(self) -> int:
        """Number of requests without an answer."""
        return self._connection.in_flight if self._connection else 0

    def mark_stopping(self) -> None:
        """Record that the member accepts no new work; member names are never reused."""
        if not self._is_stopping:
            self._is_stopping = True
            self._services.log.emit(Event.PEER_STOPPING, peer=self._member.name)

    async def open(self) -> PeerConnection:
        """Return the open connection; waits for the first connection attempt, not for later ones.

        Raises
        ------
        FireflydeckError
            With reason `PEER_UNREACHABLE`; nothing was sent.
        """
        self._start_if_new()
        if self._state is LinkState.OPENING:
            await self._first_attempt_finished.wait()
        if self._connection is None:
            raise FireflydeckError(self._unreachable_failure())
        return self._connection

    def offer(self, message: Message) -> bool:
        """Queue a message without waiting; return whether it was queued."""
        self._start_if_new()
        if self._connection is not None:
            return self._connection.offer(message)
        if self._state is LinkState.OPENING:
            self._queued.append(message)
            return True
        return False

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._state = LinkState.CLOSED
        self._scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state of the link for the state dump."""
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

    def _start_if_new(self) -> None:
        if self._state is LinkState.NEW:
            self._state = LinkState.OPENING
            self._services.tasks.start_soon(self._run)

    async def _run(self) -> None:
        with self._scope:
            while True:
                await self._connect_and_serve()
                self._set_state(LinkState.DOWN)
                self._queued.clear()
                delay_ms = backoff_ms(self._attempts, self._services.options, self._services.random)
                await self._services.clock.sleep_ms(delay_ms)
        self._set_state(LinkState.CLOSED)

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
        for message in self._queued:
            connection.offer(message)
        self._queued.clear()
        self._connection = connection
        services.log.emit(Event.PEER_CONNECTED, peer=self._member.name)
        self._set_state(LinkState.OPEN)
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
            await run_client_handshake(
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

    def _set_state(self, state: LinkState) -> None:
        if self._state is not LinkState.CLOSED:
            self._state = state
        self._first_attempt_finished.set()

    def _report_unreachable(self, detail: str) -> None:
        self._last_failure_detail = detail
        self._services.metrics.count("peer_unreachable_total")
        if self._attempts == 0:
            self._services.log.emit(Event.PEER_UNREACHABLE, peer=self._member.name, detail=detail)

    def _report_lost(self, failure: Failure) -> None:
        self._last_failure_detail = failure.detail
        self._services.metrics.count("peer_lost_total")
        event = Event.BAD_FRAME if failure.reason is Reason.BAD_REQUEST else Event.PEER_LOST
        self._services.log.emit(event, peer=self._member.name, detail=failure.detail)

    def _unreachable_failure(self) -> Failure:
        return Failure(
            Reason.PEER_UNREACHABLE,
            step="peer.connect",
            peer=self._member.name,
            detail=self._last_failure_detail or "no connection",
        )
