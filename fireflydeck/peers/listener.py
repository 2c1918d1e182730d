"""Listener for the connections of peers."""

from collections.abc import Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from attrs import field, frozen

from fireflydeck.core import Clock, ConfigurationChange, Failure, FireflydeckError, Reason
from fireflydeck.kernel import Event, EventLog, Metrics, Registry, Service
from fireflydeck.peers.handshake import HANDSHAKE_FRAME_BYTES, run_listener_handshake
from fireflydeck.peers.identity import PeerIdentity, PeerStatus
from fireflydeck.peers.messages import (
    JobCancelled,
    JobQueued,
    Message,
    PushConfiguration,
    Stopping,
)
from fireflydeck.peers.session import (
    MessageHandler,
    PeerSession,
    Route,
    SessionOptions,
    SessionServices,
)
from fireflydeck.peers.sockets import configure_socket, format_address, split_address
from fireflydeck.peers.stream import DEFAULT_MAX_FRAME_BYTES, MessageStream
from fireflydeck.peers.traffic import Traffic
from fireflydeck.web.timeout import run_within_ms

__all__ = ["PeerListener", "PeerListenerOptions"]

_STOP_POLL_INTERVAL_MS = 20


@frozen(kw_only=True)
class PeerListenerOptions:
    """Limits of a listener.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 selects a free port.
    max_connections
        Maximum number of open connections; further ones are closed immediately.
    max_frame_bytes
        Maximum payload of a message.
    handshake_timeout_ms
        Time limit for the handshake, in which the peer proves that it knows the shared secret.
    watch_interval_ms
        Time between checks for peers that don't read.
    session
        Limits of each connection.
    """

    address: str
    max_connections: int = 256
    max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES
    handshake_timeout_ms: int = 3_000
    watch_interval_ms: int = 1_000
    session: SessionOptions = field(factory=SessionOptions)


class PeerListener(Service):
    """Service that accepts authenticated peers and dispatches their messages to handlers.

    Parameters
    ----------
    identity
        Name, role and secret of this process.
    options
        Address and limits.
    status
        Returns the state of the configuration for heartbeat replies.
    on_configuration
        Called with each pushed change of the configuration.
    """

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        options: PeerListenerOptions,
        status: Callable[[], PeerStatus],
        on_configuration: Callable[[ConfigurationChange], None],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._identity = identity
        self._options = options
        self._on_configuration = on_configuration
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._routes: dict[type[Message], Route] = {}
        self._services = SessionServices(
            routes=self._routes,
            status=status,
            clock=clock,
            log=log,
            metrics=metrics,
            options=options.session,
        )
        self._sessions: set[PeerSession] = set()
        self._connections = 0
        self._address = options.address
        self._is_stopping = False
        self._stopping_callbacks: list[Callable[[str], None]] = []
        self._traffic = Traffic()
        self.handle(PushConfiguration, self._handle_configuration, in_order=True)
        self.handle(Stopping, self._handle_stopping, in_order=True)
        for notice_type in (JobQueued, JobCancelled):
            self.handle(notice_type, _ignore, in_order=True)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "peer-listener"

    @property
    def address(self) -> str:
        """``ip:port`` that the listener listens on; the actual port after the start."""
        return self._address

    def handle(
        self,
        message_type: type[Message],
        handler: MessageHandler,
        *,
        in_order: bool = False,
        on_overload: MessageHandler | None = None,
        on_receive: Callable[[PeerSession, Message], None] | None = None,
    ) -> None:
        """Register the handler of a message type, replacing any earlier one; see `Route`.

        A peer that sends a message type without a handler is disconnected. `JobQueued` and
        `JobCancelled` have a default handler that ignores them.
        """
        self._routes[message_type] = Route(
            handler=handler, in_order=in_order, on_overload=on_overload, on_receive=on_receive
        )

    def on_peer_stopping(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each peer that announces its stop."""
        self._stopping_callbacks.append(callback)

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start listening."""
        host, port = split_address(self._options.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        self._address = format_address(host, listener.extra(SocketAttribute.local_port))
        self._tasks = tasks
        tasks.start_soon(self._close_stalled_sessions)
        tasks.start_soon(listener.serve, self._accept, tasks)

    def announce_stop(self) -> None:
        """Notify all connected peers that this process accepts no new work."""
        self._is_stopping = True
        for session in self._sessions:
            session.offer(Stopping())

    async def stop(self) -> None:
        """Announce the stop and return when the running handlers have finished."""
        self.announce_stop()
        while any(session.handlers for session in self._sessions):
            await self._clock.sleep_ms(_STOP_POLL_INTERVAL_MS)

    def state(self) -> dict[str, object]:
        """Return the address, the connection counts and the connected peers."""
        return {
            "address": self._address,
            "connections": self._connections,
            "stopping": self._is_stopping,
            "bytes_sent": self._traffic.bytes_sent,
            "bytes_received": self._traffic.bytes_received,
            "peers": [
                {"name": session.name, "role": session.role, "handlers": session.handlers}
                for session in self._sessions
            ],
        }

    async def _handle_configuration(self, _: PeerSession, message: Message) -> None:
        assert isinstance(message, PushConfiguration)
        self._on_configuration(message.change)

    async def _handle_stopping(self, session: PeerSession, _: Message) -> None:
        for callback in self._stopping_callbacks:
            callback(session.name)

    async def _accept(self, connection: SocketStream) -> None:
        peer = format_address(*connection.extra(SocketAttribute.remote_address)[:2])
        stream = MessageStream(connection, peer, HANDSHAKE_FRAME_BYTES, self._traffic)
        if self._connections >= self._options.max_connections:
            self._reject(peer, Reason.TOO_MANY_REQUESTS, "too many connections")
            await stream.close()
            return
        self._connections += 1
        try:
            configure_socket(connection)
            await self._serve(stream)
        except OSError as error:
            self._reject(peer, Reason.PEER_LOST, repr(error))
        finally:
            self._connections -= 1
            await stream.close()

    async def _serve(self, stream: MessageStream) -> None:
        session = await self._run_handshake(stream)
        if session is None:
            return
        self._log.emit(Event.PEER_CONNECTED, peer=session.name, peer_role=session.role)
        self._sessions.add(session)
        if self._is_stopping:
            session.offer(Stopping())
        try:
            failure = await session.run(self._tasks)
        finally:
            self._sessions.discard(session)
        self._report_closed(session.name, failure)

    async def _run_handshake(self, stream: MessageStream) -> PeerSession | None:
        timeout_ms = self._options.handshake_timeout_ms
        identity = self._identity
        try:
            proof = await run_within_ms(
                self._clock,
                timeout_ms,
                lambda: run_listener_handshake(stream, identity.name, identity.secret),
            )
        except TimeoutError:
            self._reject(stream.peer, Reason.DEADLINE, f"no handshake within {timeout_ms} ms")
            return None
        except FireflydeckError as error:
            self._reject(stream.peer, error.failure.reason, error.failure.detail)
            return None
        stream.max_frame_bytes = self._options.max_frame_bytes
        return PeerSession(stream, proof.name, proof.role, self._services)

    async def _close_stalled_sessions(self) -> None:
        while True:
            await self._clock.sleep_ms(self._options.watch_interval_ms)
            for session in [session for session in self._sessions if session.is_stalled]:
                self._metrics.count("peer_stalled_total")
                await session.close()

    def _reject(self, peer: str, reason: Reason, detail: str) -> None:
        self._metrics.count("peer_rejected_total", reason=reason)
        self._log.emit(Event.PEER_REJECTED, peer=peer, reason=reason, detail=detail)

    def _report_closed(self, peer: str, failure: Failure) -> None:
        if failure.reason is Reason.BAD_REQUEST:
            self._metrics.count("peer_bad_frames_total")
            self._log.emit(Event.BAD_FRAME, peer=peer, detail=failure.detail)
        else:
            self._metrics.count("peer_lost_total")
            self._log.emit(Event.PEER_LOST, peer=peer, detail=failure.detail)


async def _ignore(_: PeerSession, __: Message) -> None:
    return
