"""What backend servers tell: their lists of runs, their lives, and that they do not answer."""

from collections.abc import Callable

from attrs import define, field

from fireflydeck.core import Clock, Failure
from fireflydeck.core.backend_orders import HoldReport
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.pacing import Pacer
from fireflydeck.scheduling.runs import RunLedger
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.session import SessionOwner

__all__ = ["EXTENDED_HOLD_MS", "ServerReports"]

EXTENDED_HOLD_MS = 4000
"""How long after its last confirmation a holder goes on extending leases of what runs."""
_LONGEST_LEASE_MS = 6000
"""The longest lease that a backend server grants."""


@define(eq=False, kw_only=True)
class ServerReports(SessionOwner):
    """Takes over what the sessions hear from the backend servers.

    Parameters
    ----------
    retire
        Forgets a server if it is no longer registered and idle.
    wake
        Lets the holder plan again.
    """

    tenure: Tenure
    lease: LeaseKeeper
    clock: Clock
    log: EventLog
    retire: Callable[[Server], None]
    wake: Callable[[], None]
    runs: RunLedger = field(init=False)
    pacer: Pacer = field(init=False)

    @property
    def term(self) -> int:
        """Fencing token of the orders."""
        return self.tenure.term

    def may_hold(self) -> bool:
        """Whether leases may still be extended."""
        return self.clock.now_ms() < self.lease.valid_until_ms + EXTENDED_HOLD_MS

    def on_report(self, server: Server, report: HoldReport, sent_ms: int) -> None:
        """Take over the answer to a hold."""
        if 0 < report.born_ms < server.born_ms:
            return
        if 0 < server.born_ms < report.born_ms:
            self._begin_life(server, report)
        server.born_ms = report.born_ms
        if not server.is_held:
            self.log.emit(
                Event.SERVER_HELD,
                server=server.id,
                term=self.term,
                running=len(report.running),
                ended=len(report.ended),
            )
        server.is_held = True
        server.is_reachable = True
        for ended in report.ended:
            if ended.number > server.last_end:
                self.runs.on_end(server, ended)
        self.runs.reconcile(server, report, sent_ms)
        self.pacer.on_report(server, report)
        self.retire(server)
        self.wake()

    def on_unreachable(self, server: Server, failure: Failure) -> None:
        """Note that a server did not answer."""
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
        """Note that the life that this record describes is over."""
        self.log.emit(Event.SERVER_REPLACED, server=server.id, running=len(server.attempts))
        server.is_registered = False
        server.is_held = True
        self.runs.forget_all(server, "other instance")
        self.retire(server)

    def on_fenced(self, server: Server) -> None:
        """Note a higher fencing token: another process holds the lease."""
        self.log.emit(Event.ORDER_FENCED, server=server.id, term=self.term)
        self.lease.resign(self.tenure, "a backend server has seen a higher term")

    def await_new_life(self, server: Server) -> None:
        """Take no runs for lost until a server that was started again tells what it runs.

        Orders that were on their way may be carried out by its new life.
        """
        server.is_held = False
        server.lease_until_ms += _LONGEST_LEASE_MS
        server.wake.set()

    def _begin_life(self, server: Server, report: HoldReport) -> None:
        """Take over that a server was started again: its ends and its clock begin anew."""
        self.log.emit(
            Event.SERVER_REBORN,
            server=server.id,
            born_ms=report.born_ms,
            running=len(server.attempts),
        )
        server.last_end = server.stored_end = server.acknowledged_end = 0
        server.unstored.clear()
        server.lease_until_ms = 0
        server.clock_read_ms = None
        server.read_clock(report, self.clock.now_ms())
