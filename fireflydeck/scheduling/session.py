"""Heartbeats to backend servers: they extend leases and collect the ends of runs."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.backend_orders import HeartbeatReport
from fireflydeck.kernel import EventLog, keep_running
from fireflydeck.scheduling.availability import has_task_starting_up
from fireflydeck.scheduling.server_life import ServerLife
from fireflydeck.scheduling.servers import Server

__all__ = [
    "LEASE_EXTENSION_GRACE_MS",
    "ServerSession",
    "SessionOwner",
    "SessionSet",
]

LEASE_EXTENSION_GRACE_MS = 4000
"""Time after the end of its own confirmed lease in which a holder still extends servers' leases."""
_HEARTBEAT_WAIT_MS = 700
"""Time that a heartbeat waits for the end of a run; leases are extended at least this often."""
_STARTUP_HEARTBEAT_WAIT_MS = 150
"""The same while a long-running task starts up: a server does not report early that the task is
available, and the relocation of the next task of its step waits for that."""
_HEARTBEAT_PAUSE_MS = 20
"""Pause between two heartbeats, so that one answer reports several ends."""
_BATCH_DELAY_MS = 5
"""Pause before a heartbeat that does not wait.

Several orders that get no answer at the same time then need only one heartbeat.
"""
_RETRY_MS = 150
_MIN_RESTART_MS = 300
"""Shortest time in which a backend server can restart."""
_MAX_LOST_ANSWERS = 3
"""Consecutive heartbeats without an answer after which a server counts as unreachable."""
_IDLE_RETRY_MS = 600
"""Pause after a failed heartbeat to a server without attempts."""


class SessionOwner(ABC):
    """Callbacks of a server session, implemented by the lease holder."""

    @abstractmethod
    def may_extend_leases(self) -> bool:
        """Return whether leases of backend servers may still be extended."""

    @abstractmethod
    def on_report(
        self, server: Server, life: ServerLife, report: HeartbeatReport, sent_ms: int
    ) -> bool:
        """Apply the answer to a heartbeat that was sent to a life of the server at `sent_ms`.

        Returns whether that life gave the answer and is the present one.
        """

    @abstractmethod
    def on_unreachable(self, server: Server, failure: Failure) -> None:
        """Record that a server did not answer."""

    @abstractmethod
    def on_other_instance(self, server: Server) -> None:
        """Record that another instance answers at the server's address."""

    @abstractmethod
    def on_fenced(self, server: Server) -> None:
        """Record that the server has seen a higher fencing token."""


class ServerSession:
    """Loop that sends heartbeats to one server until it is cancelled.

    A restarted server numbers the ends of its runs from the beginning. No ends are acknowledged
    until an answer shows which incarnation is running: numbers of an earlier incarnation would
    acknowledge ends that were never read.
    """

    def __init__(self, server: Server, owner: SessionOwner, clock: Clock) -> None:
        self._server = server
        self._owner = owner
        self._clock = clock
        self._is_heartbeat_requested = False
        self._waiting_scope: anyio.CancelScope | None = None
        self._lost_answers = 0
        # Life that gave the last answer, if the server can't have restarted since then.
        self._confirmed_life: ServerLife | None = None

    @property
    def _is_life_confirmed(self) -> bool:
        return self._confirmed_life is self._server.life

    def request_heartbeat(self) -> None:
        """Send a heartbeat immediately instead of waiting for the end of a run."""
        self._is_heartbeat_requested = True
        if self._waiting_scope is not None:
            self._waiting_scope.cancel()

    async def run(self) -> None:
        """Send heartbeats while runs or unacknowledged ends are on the server."""
        server = self._server
        while True:
            if not server.needs_heartbeat():
                await self._wait_for_work()
            if not self._owner.may_extend_leases():
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            await self._send_heartbeat()

    async def _wait_for_work(self) -> None:
        idle_since_ms = self._clock.now_ms()
        self._server.session_wake = anyio.Event()
        await self._server.session_wake.wait()
        if self._clock.now_ms() - idle_since_ms >= _MIN_RESTART_MS:
            self._confirmed_life = None

    async def _send_heartbeat(self) -> None:
        server, life = self._server, self._server.life
        wait_ms = self._next_wait_ms()
        if wait_ms == 0:
            await self._clock.sleep_ms(_BATCH_DELAY_MS)
            self._is_heartbeat_requested = False
            life = server.life
        sent_ms = self._clock.now_ms()
        stored_end = life.stored_end if self._is_life_confirmed else 0
        until_ms = self._lease_until_ms(sent_ms)
        with anyio.CancelScope() as scope:
            self._waiting_scope = scope if wait_ms > 0 else None
            result = await server.orders.send_heartbeat(
                fencing_token=life.fencing_token,
                acknowledged_end=stored_end,
                lease_until_ms=until_ms,
                wait_ms=wait_ms,
            )
        self._waiting_scope = None
        if scope.cancelled_caught:
            return
        if result.is_ok():
            self._lost_answers = 0
            life.acknowledged_end = max(life.acknowledged_end, stored_end)
            is_present = self._owner.on_report(server, life, result.ok, sent_ms)
            self._confirmed_life = life if is_present else None
            if is_present:
                await self._clock.sleep_ms(_HEARTBEAT_PAUSE_MS)
            return
        self._confirmed_life = None
        await self._handle_failure(life, result.error)

    def _next_wait_ms(self) -> int:
        """Return how long the next heartbeat waits for the end of a run."""
        if self._is_heartbeat_requested or not self._is_life_confirmed:
            return 0
        if not self._server.attempts or not self._server.is_reachable:
            return 0
        is_starting_up = has_task_starting_up(self._server.attempts.values())
        return _STARTUP_HEARTBEAT_WAIT_MS if is_starting_up else _HEARTBEAT_WAIT_MS

    def _lease_until_ms(self, now_ms: int) -> int:
        """Return the new end of the lease, or 0 to leave it unchanged.

        The lease of a server that does not answer is not extended, so that its runs end and can
        be started elsewhere.
        """
        server = self._server
        if not server.life.has_answered or not server.attempts or not server.is_reachable:
            return 0
        return server.life.grant_lease(now_ms)

    async def _handle_failure(self, life: ServerLife, failure: Failure) -> None:
        server = self._server
        if failure.reason == Reason.BACKEND_LOST:
            self._owner.on_other_instance(server)
        elif failure.reason == Reason.NOT_OWNER:
            if life is server.life:
                self._owner.on_fenced(server)
        else:
            self._lost_answers += 1
            if failure.ran == Ran.UNKNOWN and self._lost_answers < _MAX_LOST_ANSWERS:
                return
            self._owner.on_unreachable(server, failure)
        await self._clock.sleep_ms(_RETRY_MS if server.attempts else _IDLE_RETRY_MS)


class SessionSet:
    """Sessions with all backend servers, opened once the accepted jobs are loaded.

    Without them, every run that a server reports would count as unknown and be stopped.
    """

    def __init__(self, owner: SessionOwner, clock: Clock, log: EventLog) -> None:
        self._owner = owner
        self._clock = clock
        self._log = log
        self._tasks: TaskGroup | None = None
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._sessions: dict[str, ServerSession] = {}

    def open(self, tasks: TaskGroup, servers: Iterable[Server]) -> None:
        """Start the sessions of the known servers, and allow `start` for later ones."""
        self._tasks = tasks
        for server in servers:
            self.start(server)

    def start(self, server: Server) -> None:
        """Start the session of a server; does nothing before `open`."""
        if self._tasks is None or server.id in self._scopes:
            return
        scope = anyio.CancelScope()
        self._scopes[server.id] = scope
        session = ServerSession(server, self._owner, self._clock)
        self._sessions[server.id] = session
        self._tasks.start_soon(self._run, server, session, scope)

    def request_heartbeat(self, server: Server) -> None:
        """Send a heartbeat immediately, to learn the runs on a server."""
        session = self._sessions.get(server.id)
        if session is not None:
            session.request_heartbeat()

    def end(self, server: Server) -> None:
        """End the session of a server."""
        self._sessions.pop(server.id, None)
        scope = self._scopes.pop(server.id, None)
        if scope is not None:
            scope.cancel()

    async def _run(self, server: Server, session: ServerSession, scope: anyio.CancelScope) -> None:
        with scope:
            await keep_running(self._clock, self._log, f"session {server.id}", session.run)
        await server.orders.close()
