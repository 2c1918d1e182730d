"""Handling of heartbeat answers, restarts and failures of backend servers."""

from collections.abc import Callable

from attrs import define, field

from fireflydeck.core import Clock, Failure
from fireflydeck.core.backend_orders import HeartbeatReport
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.pacing import Pacer
from fireflydeck.scheduling.run_tracker import RunTracker
from fireflydeck.scheduling.servers import RunCoverage, Server
from fireflydeck.scheduling.session import LEASE_EXTENSION_GRACE_MS, SessionOwner

__all__ = ["ServerReports"]

_MAX_LEASE_MS = 6000
"""Longest lease that a backend server grants."""


@define(eq=False, kw_only=True)
class ServerReports(SessionOwner):
    """Handler of the answers and failures that sessions with backend servers report.

    Parameters
    ----------
    retire
        Forgets a server if it is idle and no longer registered.
    request_planning
        Requests another planning pass.
    """

    tenure: Tenure
    lease: LeaseKeeper
    clock: Clock
    log: EventLog
    retire: Callable[[Server], None]
    request_planning: Callable[[], None]
    run_tracker: RunTracker = field(init=False)
    pacer: Pacer = field(init=False)

    @property
    def term(self) -> int:
        """Return the fencing token of the orders."""
        return self.tenure.term

    def may_extend_leases(self) -> bool:
        """Return whether leases of backend servers may still be extended."""
        return self.clock.now_ms() < self.lease.valid_until_ms + LEASE_EXTENSION_GRACE_MS

    def on_report(self, server: Server, report: HeartbeatReport, sent_ms: int) -> None:
        """Apply the answer to a heartbeat; answers of an earlier incarnation are ignored."""
        if 0 < report.born_ms < server.born_ms:
            return
        if 0 < server.born_ms < report.born_ms:
            self._reset_for_restart(server, report)
        server.born_ms = report.born_ms
        if not server.has_accepted_term:
            self.log.emit(
                Event.SERVER_HELD,
                server=server.id,
                term=self.term,
                running=len(report.running),
                ended=len(report.ended),
                more_ends=report.has_more_ends,
            )
        if not report.has_more_ends:
            server.coverage = RunCoverage.COMPLETE
        elif not server.has_accepted_term:
            server.coverage = RunCoverage.PARTIAL
        server.is_reachable = True
        for ended in report.ended:
            if ended.number > server.last_end:
                self.run_tracker.on_end(server, ended)
        self.run_tracker.reconcile(server, report, sent_ms)
        self.pacer.on_report(server, report)
        self.retire(server)
        self.request_planning()

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
        server.coverage = RunCoverage.COMPLETE
        self.run_tracker.drop_all(server, "other instance")
        self.retire(server)

    def on_fenced(self, server: Server) -> None:
        """Resign, since a higher fencing token shows that another process holds the lease."""
        self.log.emit(Event.ORDER_FENCED, server=server.id, term=self.term)
        self.lease.resign(self.tenure, "a backend server has seen a higher term")

    def on_restart_registered(self, server: Server) -> None:
        """Keep the attempts on a server that registered a restart until it reports its runs.

        Its new incarnation may carry out orders that were in transit during the restart, so the
        attempts do not count as lost before that report.
        """
        server.coverage = RunCoverage.UNHEARD
        server.lease_until_ms += _MAX_LEASE_MS
        server.session_wake.set()

    def _reset_for_restart(self, server: Server, report: HeartbeatReport) -> None:
        """Reset the record of a restarted server, whose end numbers and clock start again."""
        self.log.emit(
            Event.SERVER_REBORN,
            server=server.id,
            born_ms=report.born_ms,
            running=len(server.attempts),
            clock_ms=report.clock_ms,
            former_clock_ms=server.clock_at(self.clock.now_ms()),
            former_lease_until_ms=server.lease_until_ms,
        )
        server.last_end = server.stored_end = server.acknowledged_end = 0
        server.unstored_ends.clear()
        server.coverage = RunCoverage.UNHEARD
        server.lease_until_ms = 0
        server.clock_read_ms = None
        server.record_clock(report, self.clock.now_ms())
