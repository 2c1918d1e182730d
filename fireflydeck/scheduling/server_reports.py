"""Handling of heartbeat answers, restarts and failures of backend servers."""

from collections.abc import Callable

from attrs import define, field

from fireflydeck.core import Clock, Failure
from fireflydeck.core.backend_orders import HeartbeatReport
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.fencing import FencingTokens
from fireflydeck.scheduling.pacing import Pacer
from fireflydeck.scheduling.run_tracker import RunTracker
from fireflydeck.scheduling.server_life import RunCoverage, ServerLife
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.session import LEASE_EXTENSION_GRACE_MS, SessionOwner

__all__ = ["ServerReports"]


@define(eq=False, kw_only=True)
class ServerReports(SessionOwner):
    """Handler of the answers and failures that sessions with backend servers report.

    Parameters
    ----------
    tokens
        Issuer of the fencing tokens of the servers' lives.
    retire
        Forgets a server if it is idle and no longer registered.
    request_planning
        Requests another planning pass.
    """

    tenure: Tenure
    lease: LeaseKeeper
    tokens: FencingTokens
    clock: Clock
    log: EventLog
    retire: Callable[[Server], None]
    request_planning: Callable[[], None]
    run_tracker: RunTracker = field(init=False)
    pacer: Pacer = field(init=False)

    def may_extend_leases(self) -> bool:
        """Return whether leases of backend servers may still be extended."""
        return self.clock.now_ms() < self.lease.valid_until_ms + LEASE_EXTENSION_GRACE_MS

    def on_report(
        self, server: Server, life: ServerLife, report: HeartbeatReport, sent_ms: int
    ) -> bool:
        """Apply the answer to a heartbeat that was sent to a life of the server.

        An answer of a later life is not applied: orders for the former one may still change what it
        says, until the later one has answered a heartbeat with a fencing token of its own.
        """
        if life is not server.life or 0 < report.born_ms < life.born_ms:
            return False
        if 0 < life.born_ms < report.born_ms:
            self._begin_life(server, report.born_ms, clock_ms=report.clock_ms)
            return False
        if not life.has_answered:
            self.log.emit(
                Event.SERVER_HELD,
                server=server.id,
                term=self.tenure.term,
                token=life.fencing_token,
                running=len(report.running),
                ended=len(report.ended),
                more_ends=report.has_more_ends,
            )
        life.record_report(report, self.clock.now_ms())
        server.is_reachable = True
        for ended in report.ended:
            if ended.number > life.last_end:
                self.run_tracker.on_end(server, ended)
        self.run_tracker.reconcile(server, report, sent_ms)
        self.pacer.on_report(server, report)
        self.retire(server)
        self.request_planning()
        return True

    def on_unreachable(self, server: Server, failure: Failure) -> None:
        """Record that a server did not answer."""
        if server.is_reachable:
            self.log.emit(
                Event.SERVER_UNREACHABLE,
                server=server.id,
                step=failure.step,
                detail=failure.detail,
                running=len(server.attempts),
            )
        server.is_reachable = False

    def on_other_instance(self, server: Server) -> None:
        """Record that the instance described by `server` has been replaced by another."""
        self.log.emit(Event.SERVER_REPLACED, server=server.id, running=len(server.attempts))
        server.is_registered = False
        server.life.coverage = RunCoverage.COMPLETE
        self.run_tracker.drop_all(server, "other instance")
        self.retire(server)

    def on_fenced(self, server: Server) -> None:
        """Resign, since a higher fencing token shows that another process holds the lease."""
        self.log.emit(
            Event.ORDER_FENCED,
            server=server.id,
            term=self.tenure.term,
            token=server.life.fencing_token,
        )
        self.lease.resign(self.tenure, "a backend server has seen a higher term")

    def on_registration(self, server: Server, born_ms: int) -> bool:
        """Begin the next life of a server if its registration names a later start time.

        Returns whether it does. Each start time counts once, whatever the server reports.
        """
        if not 0 < max(server.life.born_ms, server.registered_born_ms) < born_ms:
            return False
        server.registered_born_ms = born_ms
        self._begin_life(server, born_ms)
        server.session_wake.set()
        return True

    def _begin_life(self, server: Server, born_ms: int, *, clock_ms: int = 0) -> None:
        """Begin the next life of a server, with a fencing token above that of the former one.

        The runs that are known to belong to the former life ended with it. The others may be
        started by the next one, by orders that are on their way, so they count as running until it
        answers.
        """
        now_ms, former = self.clock.now_ms(), server.life
        self.log.emit(
            Event.SERVER_REBORN,
            server=server.id,
            born_ms=born_ms,
            running=len(server.attempts),
            clock_ms=clock_ms,
            former_clock_ms=former.clock_at(now_ms),
            former_lease_until_ms=former.lease_until_ms,
        )
        token = self.tokens.issue(server.id)
        server.life = former.succeeded_by(fencing_token=token, now_ms=now_ms)
        self.run_tracker.drop_lost(server.attempts_of_life(former), "server restarted")
