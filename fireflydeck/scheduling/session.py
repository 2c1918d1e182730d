"""Holds one backend server: extends its leases and collects what ended there."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.backend_orders import HoldReport
from fireflydeck.kernel import EventLog, keep_running
from fireflydeck.scheduling.servers import Server

__all__ = ["HOLD_MS", "ServerSession", "SessionOwner", "SessionSet"]

HOLD_MS = 3000
"""Length of the leases given to backend servers."""
_WAIT_MS = 700
"""How long a hold waits for an end; a lease is extended at least this often."""
_PAUSE_MS = 20
"""Pause between two holds, in which more ends gather."""
_GATHER_MS = 5
"""Pause before a hold that does not wait: orders that are given up together need one."""
_RETRY_MS = 150
_LEAST_RESTART_MS = 300
"""A server can't have been started again within less."""
_LOST_ANSWERS = 3
"""Holds without an answer, one after another, after which a server counts as unreachable."""
_CALM_RETRY_MS = 600
"""Pause between the tries to reach a server on which nothing runs."""


class SessionOwner(ABC):
    """What a session needs from the holder of the lease."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Fencing token of the orders."""

    @abstractmethod
    def may_hold(self) -> bool:
        """Whether leases may still be extended."""

    @abstractmethod
    def on_report(self, server: Server, report: HoldReport, sent_ms: int) -> None:
        """Take over the answer to a hold that was sent at `sent_ms`."""

    @abstractmethod
    def on_unreachable(self, server: Server, failure: Failure) -> None:
        """Note that a server did not answer."""

    @abstractmethod
    def on_other_instance(self, server: Server) -> None:
        """Note that another life answers at the server's address."""

    @abstractmethod
    def on_fenced(self, server: Server) -> None:
        """Note that the server has seen a higher fencing token."""


class ServerSession:
    """The loop that holds one server until it is cancelled.

    A server that was started again numbers its ends anew. Until an answer tells its life, nothing
    is acknowledged: the numbers of the earlier life would stand for ends that were never read.
    """

    def __init__(self, server: Server, owner: SessionOwner, clock: Clock) -> None:
        self._server = server
        self._owner = owner
        self._clock = clock
        self._is_check_due = False
        self._waiting: anyio.CancelScope | None = None
        self._lost_answers = 0
        self._knows_life = False

    def check(self) -> None:
        """Ask for the lists at once instead of waiting for an end."""
        self._is_check_due = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def run(self) -> None:
        """Hold the server as long as something runs there."""
        server = self._server
        while True:
            if not server.needs_hold():
                await self._wait_for_work()
            if not self._owner.may_hold():
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            await self._hold()

    async def _wait_for_work(self) -> None:
        idle_since_ms = self._clock.now_ms()
        self._server.wake = anyio.Event()
        await self._server.wake.wait()
        if self._clock.now_ms() - idle_since_ms >= _LEAST_RESTART_MS:
            self._knows_life = False

    async def _hold(self) -> None:
        server = self._server
        wait_ms = self._next_wait_ms()
        if wait_ms == 0:
            await self._clock.sleep_ms(_GATHER_MS)
            self._is_check_due = False
        sent_ms = self._clock.now_ms()
        stored_end = server.stored_end if self._knows_life else 0
        until_ms = self._lease_until_ms(sent_ms)
        with anyio.CancelScope() as scope:
            self._waiting = scope if wait_ms > 0 else None
            result = await server.orders.hold(
                fencing_token=self._owner.term,
                acknowledged_end=stored_end,
                lease_until_ms=until_ms,
                wait_ms=wait_ms,
            )
        self._waiting = None
        if scope.cancelled_caught:
            return
        if result.is_ok():
            self._lost_answers = 0
            self._knows_life = True
            server.acknowledged_end = max(server.acknowledged_end, stored_end)
            server.read_clock(result.ok, self._clock.now_ms())
            self._owner.on_report(server, result.ok, sent_ms)
            await self._clock.sleep_ms(_PAUSE_MS)
            return
        self._knows_life = False
        await self._handle_failure(result.error)

    def _next_wait_ms(self) -> int:
        """Return how long the next hold waits for an end."""
        if self._is_check_due or not self._knows_life:
            return 0
        return _WAIT_MS if self._server.attempts and self._server.is_reachable else 0

    def _lease_until_ms(self, now_ms: int) -> int:
        """Return the new end of the lease, 0 to leave it.

        A server that does not answer gets no longer lease, so that its runs can end and be
        started elsewhere.
        """
        server = self._server
        if server.clock_read_ms is None or not server.attempts or not server.is_reachable:
            return 0
        until_ms = server.clock_at(now_ms) + HOLD_MS
        server.lease_until_ms = max(server.lease_until_ms, until_ms)
        return until_ms

    async def _handle_failure(self, failure: Failure) -> None:
        server = self._server
        if failure.reason == Reason.BACKEND_LOST:
            self._owner.on_other_instance(server)
        elif failure.reason == Reason.NOT_OWNER:
            self._owner.on_fenced(server)
        else:
            self._lost_answers += 1
            if failure.ran == Ran.UNKNOWN and self._lost_answers < _LOST_ANSWERS:
                return
            self._owner.on_unreachable(server, failure)
        await self._clock.sleep_ms(_RETRY_MS if server.attempts else _CALM_RETRY_MS)


class SessionSet:
    """The sessions with all backend servers; begun once runs can be told apart."""

    def __init__(self, owner: SessionOwner, clock: Clock, log: EventLog) -> None:
        self._owner = owner
        self._clock = clock
        self._log = log
        self._tasks: TaskGroup | None = None
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._sessions: dict[str, ServerSession] = {}

    def open(self, tasks: TaskGroup, servers: Iterable[Server]) -> None:
        """Begin to hold the servers that are known, and from now on those that come."""
        self._tasks = tasks
        for server in servers:
            self.start(server)

    def start(self, server: Server) -> None:
        """Begin to hold a server, once the sessions are open."""
        if self._tasks is None or server.id in self._scopes:
            return
        scope = anyio.CancelScope()
        self._scopes[server.id] = scope
        session = ServerSession(server, self._owner, self._clock)
        self._sessions[server.id] = session
        self._tasks.start_soon(self._run, server, session, scope)

    def check(self, server: Server) -> None:
        """Find out at once what runs at a server."""
        session = self._sessions.get(server.id)
        if session is not None:
            session.check()

    def end(self, server: Server) -> None:
        """Hold a server no more."""
        self._sessions.pop(server.id, None)
        scope = self._scopes.pop(server.id, None)
        if scope is not None:
            scope.cancel()

    async def _run(self, server: Server, session: ServerSession, scope: anyio.CancelScope) -> None:
        with scope:
            await keep_running(self._clock, self._log, f"session {server.id}", session.run)
        await server.orders.close()
