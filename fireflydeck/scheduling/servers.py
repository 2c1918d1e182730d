"""State of a backend server as known to the lease holder."""

from collections import deque
from enum import StrEnum

import anyio
from attrs import Factory, define

from fireflydeck.core.backend_orders import BackendServerOrders, HeartbeatReport
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.scheduling.roster_rows import NO_WORK, PossibleWork
from fireflydeck.workload.lifecycle import Attempt
from fireflydeck.workload.specification import StepSpec

__all__ = ["RunCoverage", "Server", "reserved_resources"]

_MIN_CLOCK_RATE = 0.98
"""Rate of the slowest clock that a backend server may have."""
_EXPIRY_MARGIN_MS = 60
"""Margin for rounding, added to the end of a lease."""


class RunCoverage(StrEnum):
    """How completely the runs on a backend server are known to the holder of the lease.

    `UNHEARD`: the server's current incarnation has not answered a heartbeat of this tenure.
    `PARTIAL`: it has, but more ends of runs are to be listed, so a run that is not listed may have
    ended. `COMPLETE`: every run that an earlier holder started there is known or has ended.
    """

    UNHEARD = "unheard"
    PARTIAL = "partial"
    COMPLETE = "complete"


@define(eq=False)
class Server:
    """Backend server in its current incarnation, with the attempts placed on it.

    Parameters
    ----------
    born_ms
        Start time that identifies its incarnation; 0 before its first answer.
    clock_ms, clock_read_ms
        Its own clock as last read, and the local time at which that answer arrived; `None` before
        the first answer.
    lease_until_ms
        Latest end of a lease that any order of this process granted, on the server's clock.
    last_end
        Number of the newest end of a run that this process handled.
    stored_end
        Number up to which all ends are stored.
    unstored_ends
        Ends that wait for a commit, as pairs of the number of the end and that of the commit.
    is_in_roster
        Whether the stored roster contains it, so that a later holder will query its runs.
    earlier_work
        Work that earlier holders may have left on it.
    acknowledged_end
        Number of the newest end that was acknowledged to the server as stored.
    backoff_until_ms
        Time before which no run is started on it, after it rejected one.
    coverage
        How completely its runs are known.
    is_reachable
        Whether its last heartbeat was answered in time.
    is_cordoned
        Whether it gets no new work because its VM is about to move or to go down.
    has_pending_maintenance
        Whether its VM has pending maintenance, so that long-running tasks go elsewhere.
    used
        Capacity reserved by its attempts.
    attempts
        Attempts placed on it, by the name of the task and the run number.
    session_wake
        Set to end the wait of an idle session.
    """

    registration: Registration
    orders: BackendServerOrders
    is_registered: bool = True
    is_in_roster: bool = False
    earlier_work: PossibleWork = NO_WORK
    born_ms: int = 0
    clock_ms: int = 0
    clock_read_ms: int | None = None
    lease_until_ms: int = 0
    last_end: int = 0
    stored_end: int = 0
    acknowledged_end: int = 0
    unstored_ends: deque[tuple[int, int]] = Factory(deque)
    coverage: RunCoverage = RunCoverage.UNHEARD
    is_reachable: bool = False
    backoff_until_ms: int = 0
    is_cordoned: bool = False
    has_pending_maintenance: bool = False
    used: Resources = Factory(Resources)
    attempts: dict[tuple[str, int], Attempt] = Factory(dict)
    session_wake: anyio.Event = Factory(anyio.Event)

    @property
    def id(self) -> str:
        """Return the id of the backend server."""
        return self.registration.server_id

    @property
    def has_accepted_term(self) -> bool:
        """Return whether its current incarnation has accepted the fencing token of this tenure."""
        return self.coverage != RunCoverage.UNHEARD

    @property
    def free(self) -> Resources:
        """Return the capacity that no attempt has reserved."""
        return self.registration.capacity - self.used

    def fits(self, step: StepSpec) -> bool:
        """Return whether the free capacity is enough for a task of the step."""
        capacity, used, demand = self.registration.capacity, self.used, step.demand
        return (
            (step.fill or used.cpu + demand.cpu <= capacity.cpu)
            and used.memory_mb + demand.memory_mb <= capacity.memory_mb
            and used.accelerators + demand.accelerators <= capacity.accelerators
        )

    def is_schedulable(self) -> bool:
        """Return whether new runs may be placed here, apart from a backoff."""
        return (
            self.is_registered
            and self.is_in_roster
            and self.has_accepted_term
            and self.is_reachable
            and not self.is_cordoned
            and self.registration.state == BackendServerState.READY
        )

    def accepts_starts(self, now_ms: int) -> bool:
        """Return whether new runs may be placed here now."""
        return self.is_schedulable() and now_ms >= self.backoff_until_ms

    def is_known_idle(self) -> bool:
        """Return whether it is certain that nothing runs here."""
        return self.coverage == RunCoverage.COMPLETE and self.is_reachable and not self.attempts

    def needs_heartbeat(self) -> bool:
        """Return whether heartbeats are needed.

        That is so while something runs or may run here, and while an end is not acknowledged.
        """
        return (
            bool(self.attempts)
            or self.coverage != RunCoverage.COMPLETE
            or not self.is_reachable
            or self.acknowledged_end < self.last_end
        )

    def add(self, attempt: Attempt) -> None:
        """Reserve the capacity of an attempt."""
        self.attempts[attempt.task.name, attempt.run] = attempt
        self.used = self.used + reserved_resources(attempt.task.step)
        self.session_wake.set()

    def remove(self, attempt: Attempt) -> None:
        """Free the capacity of an attempt."""
        if self.attempts.pop((attempt.task.name, attempt.run), None) is not None:
            self.used = self.used - reserved_resources(attempt.task.step)

    def clock_at(self, now_ms: int) -> int:
        """Estimate the server's clock, which runs at most 2% slow."""
        if self.clock_read_ms is None:
            return self.clock_ms
        return self.clock_ms + (now_ms - self.clock_read_ms)

    def min_clock_at(self, now_ms: int) -> int:
        """Return a lower bound of the server's clock, which may run 2% slow."""
        if self.clock_read_ms is None:
            return self.clock_ms
        return self.clock_ms + int((now_ms - self.clock_read_ms) * _MIN_CLOCK_RATE)

    def has_lease_expired(self, now_ms: int) -> bool:
        """Return whether every lease granted by this process has certainly expired."""
        if self.clock_read_ms is None:
            return False
        return self.min_clock_at(now_ms) > self.lease_until_ms + _EXPIRY_MARGIN_MS

    def record_clock(self, report: HeartbeatReport, now_ms: int) -> None:
        """Record the clock reading of an answer, unless a later one is known."""
        if self.clock_read_ms is None or report.clock_ms >= self.clock_ms:
            self.clock_ms = report.clock_ms
            self.clock_read_ms = now_ms

    def record_stored_ends(self, commit_number: int) -> None:
        """Advance `stored_end` over the ends that a commit has stored.

        Parameters
        ----------
        commit_number
            Number of the newest finished commit.
        """
        while self.unstored_ends and self.unstored_ends[0][1] <= commit_number:
            self.stored_end = self.unstored_ends.popleft()[0]


def reserved_resources(step: StepSpec) -> Resources:
    """Return what a task of the step reserves; fill tasks reserve no processor time."""
    return step.demand.without_cpu() if step.fill else step.demand
