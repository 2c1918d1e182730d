"""Memory and connections that the clients of all listeners of a process use together."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from itertools import islice

from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.entry.client_limits import CONNECTION_COST_BYTES, ClientLimits, derive_limits
from fireflydeck.kernel import Event, EventLog, Metrics

__all__ = ["BoundedConnection", "ClientBudget", "CloseReason", "ListenerClients"]

_SWEEP_S = 0.25
_LOG_INTERVAL_S = 1.0
_MIN_AGE_S = 0.05
"""A connection is not closed for a newer one within this time, in which its request can arrive."""
_IDLE_CANDIDATES = 64
"""Connections that are searched for an idle one before any unfinished one is closed."""
_DEFAULT_LIMITS = RequestLimits()
_UNLISTED_MACHINE_MB = 300
_UNLISTED_DESCRIPTORS = 4096


class CloseReason(StrEnum):
    """Why connections of clients were closed or not accepted."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    UNUSED = "unused"
    SLOW_HEAD = "slow-head"
    LONG_HEAD = "long-head"
    SLOW_BODY = "slow-body"
    BODY_REFUSED = "body-refused"
    CHUNKS = "chunks"
    UNREAD_RESPONSES = "unread-responses"
    INVALID = "invalid"
    ACCEPT_PAUSED = "accept-paused"
    DESCRIPTORS = "descriptors"


class BoundedConnection(ABC):
    """Connection of a client as the budget sees it.

    Attributes
    ----------
    held
        Bytes charged for its requests, without the charge for the connection itself.
    """

    __slots__ = ()

    held: int

    @property
    @abstractmethod
    def opened_at(self) -> float:
        """Return the time at which the client connected, in seconds of the event loop."""

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Return whether the connection waits for a next request."""

    @property
    @abstractmethod
    def is_unfinished(self) -> bool:
        """Return whether the connection waits for its client."""

    @abstractmethod
    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and drop what it holds."""

    @abstractmethod
    def close_if_late(self, now: float) -> None:
        """Close the connection if its client exceeds a time limit."""


class ListenerClients:
    """Connections of one listener, the least recently served first."""

    def __init__(
        self,
        name: str,
        max_connections: int,
        budget: "ClientBudget",
        limits: Callable[[], RequestLimits],
    ) -> None:
        self.name = name
        self.limits = limits
        self._max_connections = max_connections
        self._budget = budget
        self._connections: dict[BoundedConnection, None] = {}
        self._accepted = 0
        self._on_room: Callable[[], None] | None = None

    @property
    def count(self) -> int:
        """Return the number of open connections, with those that were accepted just now."""
        return len(self._connections) + self._accepted

    def on_room(self, resume: Callable[[], None]) -> None:
        """Set the function that is called when there is room again for connections."""
        self._on_room = resume

    def make_room(self) -> bool:
        """Return whether a connection can be accepted; close an idle or unfinished one for it."""
        if self.count < self._max_connections and self._budget.has_room(CONNECTION_COST_BYTES):
            return True
        now = asyncio.get_running_loop().time()
        reason = (
            CloseReason.MEMORY if self.count < self._max_connections else CloseReason.CONNECTIONS
        )
        candidates = [
            connection
            for connection in islice(self._connections, _IDLE_CANDIDATES)
            if now - connection.opened_at > _MIN_AGE_S
        ]
        idle = (connection for connection in candidates if connection.is_idle)
        victim = next(idle, None) or self._first_unfinished(now)
        if victim is None:
            self.note(CloseReason.ACCEPT_PAUSED)
            return False
        victim.abort(reason)
        return True

    def note_accepted(self) -> None:
        """Count a connection that was accepted and is not added yet."""
        self._accepted += 1

    def forget_accepted(self) -> None:
        """Stop counting an accepted connection that is added now or was closed before."""
        self._accepted = max(0, self._accepted - 1)

    def add(self, connection: BoundedConnection) -> None:
        """Count a new connection."""
        self.forget_accepted()
        self._connections[connection] = None
        self._budget.add(connection)

    def remove(self, connection: BoundedConnection) -> None:
        """Release a connection and what it holds; a second call has no effect."""
        if connection in self._connections:
            del self._connections[connection]
            self._budget.remove(connection)
            if self._on_room is not None:
                self._on_room()

    def charge(self, connection: BoundedConnection, count: int) -> None:
        """Charge bytes to a connection; connections are closed if the budget is exceeded."""
        self._budget.charge(connection, count)

    def release(self, connection: BoundedConnection) -> None:
        """Release what a connection holds after it was served."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None
            self._budget.release(connection)

    def note(self, reason: CloseReason) -> None:
        """Count what was done for a reason."""
        self._budget.note(self.name, reason)

    def resume(self) -> None:
        """Accept connections again, if that was paused."""
        if self._on_room is not None:
            self._on_room()

    def _first_unfinished(self, now: float) -> BoundedConnection | None:
        for connection in self._connections:
            if now - connection.opened_at > _MIN_AGE_S and connection.is_unfinished:
                return connection
        return None


class ClientBudget:
    """Budget of a process for the connections and requests of its clients.

    It closes connections that exceed a time limit, and the oldest unfinished ones when the
    memory is used up.
    """

    def __init__(self, limits: ClientLimits, log: EventLog, metrics: Metrics) -> None:
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._used_bytes = 0
        self._connections: dict[BoundedConnection, None] = {}
        self._listeners: list[ListenerClients] = []
        self._unlogged: Counter[tuple[str, CloseReason]] = Counter()
        self._next_log_at = 0.0
        self._sweep_handle: asyncio.TimerHandle | None = None
        metrics.set("client_memory_limit_bytes", limits.memory_bytes)

    @classmethod
    def for_sample_machine(cls, log: EventLog, metrics: Metrics) -> "ClientBudget":
        """Return the budget of a machine whose size is not known."""
        limits = derive_limits(
            machine_memory_mb=_UNLISTED_MACHINE_MB,
            max_descriptors=_UNLISTED_DESCRIPTORS,
            max_body_bytes=RequestLimits().max_body_bytes,
        )
        return cls(limits, log, metrics)

    @property
    def limits(self) -> ClientLimits:
        """Return the bounds of the process."""
        return self._limits

    @property
    def log(self) -> EventLog:
        """Return the log for events about clients."""
        return self._log

    @property
    def used_bytes(self) -> int:
        """Return the memory that is charged to clients."""
        return self._used_bytes

    def listener(
        self, name: str, max_connections: int, limits: Callable[[], RequestLimits] | None = None
    ) -> ListenerClients:
        """Return the clients of a new listener.

        Parameters
        ----------
        limits
            Returns the limits on requests that are in force; `None` for the defaults.
        """
        clients = ListenerClients(name, max_connections, self, limits or _default_limits)
        self._listeners.append(clients)
        return clients

    def has_room(self, count: int) -> bool:
        """Return whether bytes can be charged without closing a connection."""
        return self._used_bytes + count <= self._limits.memory_bytes

    def add(self, connection: BoundedConnection) -> None:
        """Charge a new connection."""
        self._connections[connection] = None
        self._used_bytes += CONNECTION_COST_BYTES
        if self._sweep_handle is None:
            self._schedule_sweep()

    def remove(self, connection: BoundedConnection) -> None:
        """Release a closed connection and what it holds."""
        if connection in self._connections:
            del self._connections[connection]
            self._used_bytes -= CONNECTION_COST_BYTES + connection.held
            connection.held = 0

    def charge(self, connection: BoundedConnection, count: int) -> None:
        """Charge bytes of a request; close the oldest unfinished connections beyond the limit."""
        if connection not in self._connections:
            return
        connection.held += count
        self._used_bytes += count
        if self._used_bytes > self._limits.memory_bytes:
            self._reclaim(connection)

    def release(self, connection: BoundedConnection) -> None:
        """Release the bytes of the requests of a connection; it becomes the newest one."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None
            self._used_bytes -= connection.held
            connection.held = 0

    def note(self, listener: str, reason: CloseReason) -> None:
        """Count what was done for a reason; a line for each reason is logged once per second."""
        self._metrics.count("clients_limited_total", listener=listener, reason=reason.value)
        self._unlogged[listener, reason] += 1
        if self._sweep_handle is None:
            self._schedule_sweep()

    def _reclaim(self, requester: BoundedConnection) -> None:
        for victim in self._victims(requester):
            victim.abort(CloseReason.MEMORY)
            if self._used_bytes <= self._limits.memory_bytes:
                return

    def _victims(self, requester: BoundedConnection) -> Iterator[BoundedConnection]:
        holding = [connection for connection in self._connections if connection.held]
        for connection in holding:
            if connection is not requester and connection.is_unfinished:
                yield connection
        yield requester

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_handle = loop.call_later(_SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Close late connections, publish the gauges, and log what was done."""
        self._sweep_handle = None
        now = asyncio.get_running_loop().time()
        for connection in list(self._connections):
            connection.close_if_late(now)
        self._metrics.set("client_memory_used_bytes", self._used_bytes)
        for clients in self._listeners:
            self._metrics.set("client_connections", clients.count, listener=clients.name)
            clients.resume()
        if self._unlogged and now >= self._next_log_at:
            self._log_reasons()
            self._next_log_at = now + _LOG_INTERVAL_S
        if self._connections or self._unlogged:
            self._schedule_sweep()

    def _log_reasons(self) -> None:
        for (listener, reason), count in self._unlogged.items():
            self._log.emit(
                Event.CLIENTS_LIMITED,
                listener=listener,
                reason=reason.value,
                count=count,
                connections=len(self._connections),
                used_bytes=self._used_bytes,
            )
        self._unlogged.clear()


def _default_limits() -> RequestLimits:
    return _DEFAULT_LIMITS
