"""Listener side of one connection."""

from collections.abc import Awaitable, Callable, Mapping

import anyio
from anyio.abc import TaskGroup
from attrs import field, frozen

from fireflydeck.core import Clock, Failure, FireflydeckError, Reason
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.peers.channel import Channel
from fireflydeck.peers.identity import PeerStatus
from fireflydeck.peers.messages import Heartbeat, HeartbeatReply, Message
from fireflydeck.peers.stream import MessageStream

__all__ = ["MessageHandler", "PeerSession", "Route", "SessionOptions"]

MessageHandler = Callable[["PeerSession", Message], Awaitable[None]]
"""Function that handles one message of a session."""


@frozen(kw_only=True)
class Route:
    """Handler of one message type and how it is called.

    Parameters
    ----------
    handler
        Handles the message.
    in_order
        Whether the next message is read only after the handler has returned; for handlers that
        don't wait.
    on_overload
        Called instead of the handler when the maximum number of handlers is running; `None` drops
        the message.
    on_receive
        Called before the next message is read and before the task of the handler has started.
    """

    handler: MessageHandler
    on_receive: Callable[["PeerSession", Message], None] | None = None
    in_order: bool = False
    on_overload: MessageHandler | None = None


@frozen(kw_only=True)
class SessionOptions:
    """Limits of a session.

    Parameters
    ----------
    max_handlers
        Maximum number of handlers that run at the same time.
    max_outbox_bytes
        Maximum number of bytes that wait to be written; senders wait for space.
    write_timeout_ms
        Time after which a peer that doesn't read is disconnected.
    """

    max_handlers: int = 1024
    max_outbox_bytes: int = 16 * 1024 * 1024
    write_timeout_ms: int = 10_000


@frozen(kw_only=True)
class SessionServices:
    """Objects shared by all sessions of a listener."""

    routes: Mapping[type[Message], Route]
    status: Callable[[], PeerStatus]
    clock: Clock
    log: EventLog
    metrics: Metrics
    options: SessionOptions = field(factory=SessionOptions)


class PeerSession:
    """Connection of one accepted peer, whose messages are dispatched to handlers.

    Parameters
    ----------
    stream
        The connection after its handshake.
    name, role
        The peer's name and role.
    services
        Objects shared with the listener.
    """

    def __init__(
        self, stream: MessageStream, name: str, role: str, services: SessionServices
    ) -> None:
        self._name = name
        self._role = role
        self._services = services
        self._channel = Channel(stream, services.clock, services.options.max_outbox_bytes)
        self._handlers = 0
        self._on_close: list[Callable[[], None]] = []
        self._failure: Failure | None = None

    @property
    def name(self) -> str:
        """Name of the peer."""
        return self._name

    @property
    def role(self) -> str:
        """Role of the peer."""
        return self._role

    @property
    def handlers(self) -> int:
        """Number of running handlers."""
        return self._handlers

    @property
    def is_stalled(self) -> bool:
        """Whether the peer has not read for longer than the write timeout."""
        return self._channel.stalled_ms > self._services.options.write_timeout_ms

    def on_close(self, callback: Callable[[], None]) -> None:
        """Register a callback for the end of the connection."""
        self._on_close.append(callback)

    async def send(self, message: Message) -> None:
        """Queue a message, waiting while the peer reads slowly.

        Raises
        ------
        FireflydeckError
            As raised by `Channel.put`.
        """
        await self._channel.put(message)

    def offer(self, message: Message) -> bool:
        """Queue a message if there is space; return whether it was queued."""
        return self._channel.offer(message) is not None

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()

    async def run(self, handler_tasks: TaskGroup) -> Failure:
        """Serve the connection until it ends and return the cause.

        Parameters
        ----------
        handler_tasks
            Task group in which the handlers run; they may outlive the connection.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_until_failure, tasks, self._channel.run_writer)
                await self._run_until_failure(tasks, lambda: self._read(handler_tasks))
        finally:
            await self._channel.close()
            for callback in self._on_close:
                callback()
        return self._failure or Failure(Reason.PEER_LOST, step="peer.session", peer=self._name)

    async def _run_until_failure(
        self, tasks: TaskGroup, call: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await call()
        except FireflydeckError as error:
            self._failure = self._failure or error.failure
            tasks.cancel_scope.cancel()

    async def _read(self, handler_tasks: TaskGroup) -> None:
        while True:
            message = await self._channel.receive()
            if isinstance(message, Heartbeat):
                self._reply_to_heartbeat(message)
            else:
                await self._dispatch(message, handler_tasks)

    def _reply_to_heartbeat(self, heartbeat: Heartbeat) -> None:
        status = self._services.status()
        reply = HeartbeatReply(
            sequence=heartbeat.sequence,
            version=status.version,
            confirmed_age_ms=status.confirmed_age_ms,
            store_reachable=status.store_reachable,
            commit_pending=status.commit_pending,
        )
        self.offer(reply)

    async def _dispatch(self, message: Message, handler_tasks: TaskGroup) -> None:
        route = self._services.routes.get(type(message))
        if route is None:
            detail = f"no handler for {type(message).__name__}"
            failure = Failure(
                Reason.BAD_REQUEST, step="peer.session", peer=self._name, detail=detail
            )
            raise FireflydeckError(failure)
        if route.in_order:
            await self._handle(route.handler, message)
        elif self._handlers < self._services.options.max_handlers:
            self._handlers += 1
            if route.on_receive is not None:
                route.on_receive(self, message)
            handler_tasks.start_soon(self._handle_and_release, route.handler, message)
        else:
            await self._handle_overload(route, message)

    async def _handle_overload(self, route: Route, message: Message) -> None:
        self._services.metrics.count("peer_overload_total", type=type(message).__name__)
        if route.on_overload is not None:
            await self._handle(route.on_overload, message)

    async def _handle_and_release(self, handler: MessageHandler, message: Message) -> None:
        try:
            await self._handle(handler, message)
        finally:
            self._handlers -= 1

    async def _handle(self, handler: MessageHandler, message: Message) -> None:
        try:
            await handler(self, message)
        except Exception as error:
            self._services.metrics.count("peer_handler_failed_total", type=type(message).__name__)
            self._services.log.emit(
                Event.PEER_HANDLER_FAILED,
                peer=self._name,
                type=type(message).__name__,
                error=repr(error),
            )
