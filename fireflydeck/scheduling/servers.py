"""What the lease's holder knows of a backend server."""

from collections import deque

import anyio
from attrs import Factory, define

from fireflydeck.core.backend_orders import BackendServerOrders, HoldReport
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.workload.life import Attempt
from fireflydeck.workload.specification import StepSpec

__all__ = ["Server"]

_SLOWEST_CLOCK = 0.98
"""Rate of the slowest clock of a backend server."""
_LAPSE_MARGIN_MS = 60
"""Added to the end of a lease for rounding."""


@define(eq=False)
class Server:
    """One life of a backend server.

    Parameters
    ----------
    clock_ms, clock_read_ms
        Its own clock as last read, and when that answer arrived here; `None` before the first.
    lease_until_ms
        The latest end of a lease that any order of this process named, on its clock.
    last_end
        Number of the newest end that was processed here.
    stored_end
        Number of the newest end that is stored together with all before it.
    unstored
        Ends that wait for a commit: number and ticket.
    is_listed
        Whether the stored roster names it, so that a later holder will look for its runs.
    acknowledged_end
        Number of the newest end that it was told is stored.
    crowded_until_ms
        No new run before this time, after it rejected one.
    is_held
        Whether it answered this tenure's fencing token in this life.
    is_reachable
        Whether its last answer came in time.
    is_cordoned
        Whether it gets no new work because its VM is about to move or to go down.
    is_due
        Whether its VM waits for its maintenance, so that long-running tasks go elsewhere.
    """

    registration: Registration
    orders: BackendServerOrders
    is_registered: bool = True
    is_listed: bool = False
    born_ms: int = 0
    clock_ms: int = 0
    clock_read_ms: int | None = None
    lease_until_ms: int = 0
    last_end: int = 0
    stored_end: int = 0
    acknowledged_end: int = 0
    unstored: deque[tuple[int, int]] = Factory(deque)
    is_held: bool = False
    is_reachable: bool = False
    crowded_until_ms: int = 0
    is_cordoned: bool = False
    is_due: bool = False
    used: Resources = Factory(Resources)
    attempts: dict[tuple[str, int], Attempt] = Factory(dict)
    wake: anyio.Event = Factory(anyio.Event)

    @property
    def id(self) -> str:
        """Id of the backend server."""
        return self.registration.server_id

    @property
    def free(self) -> Resources:
        """Capacity that no attempt uses."""
        return self.registration.capacity - self.used

    def fits(self, step: StepSpec) -> bool:
        """Whether a task of the step has room here."""
        capacity, used, demand = self.registration.capacity, self.used, step.demand
        return (
            (step.fill or used.cpu + demand.cpu <= capacity.cpu)
            and used.memory_mb + demand.memory_mb <= capacity.memory_mb
            and used.accelerators + demand.accelerators <= capacity.accelerators
        )

    def can_work(self) -> bool:
        """Whether new runs may be placed here, now or after a pause."""
        return (
            self.is_registered
            and self.is_listed
            and self.is_held
            and self.is_reachable
            and not self.is_cordoned
            and self.registration.state == BackendServerState.READY
        )

    def takes_work(self, now_ms: int) -> bool:
        """Whether new runs may be placed here now."""
        return self.can_work() and now_ms >= self.crowded_until_ms

    def is_quiet(self) -> bool:
        """Whether certainly nothing runs here."""
        return self.is_held and self.is_reachable and not self.attempts

    def needs_hold(self) -> bool:
        """Whether something runs here, or an end is not acknowledged yet."""
        return (
            bool(self.attempts)
            or not self.is_held
            or not self.is_reachable
            or self.acknowledged_end < self.last_end
        )

    def add(self, attempt: Attempt) -> None:
        """Reserve the capacity of an attempt."""
        self.attempts[attempt.task.name, attempt.run] = attempt
        self.used = self.used + _reserved(attempt)
        self.wake.set()

    def remove(self, attempt: Attempt) -> None:
        """Free the capacity of an attempt."""
        if self.attempts.pop((attempt.task.name, attempt.run), None) is not None:
            self.used = self.used - _reserved(attempt)

    def clock_at(self, now_ms: int) -> int:
        """Estimate of its clock; it runs at most 2% slow."""
        if self.clock_read_ms is None:
            return self.clock_ms
        return self.clock_ms + (now_ms - self.clock_read_ms)

    def lease_has_lapsed(self, now_ms: int) -> bool:
        """Whether every lease given by this process is certainly over."""
        if self.clock_read_ms is None:
            return False
        least_ms = self.clock_ms + int((now_ms - self.clock_read_ms) * _SLOWEST_CLOCK)
        return least_ms > self.lease_until_ms + _LAPSE_MARGIN_MS

    def read_clock(self, report: HoldReport, now_ms: int) -> None:
        """Take over the clock of an answer."""
        if self.clock_read_ms is None or report.clock_ms >= self.clock_ms:
            self.clock_ms = report.clock_ms
            self.clock_read_ms = now_ms

    def note_stored(self, committed_ticket: int) -> None:
        """Advance the stored ends up to a commit."""
        while self.unstored and self.unstored[0][1] <= committed_ticket:
            self.stored_end = self.unstored.popleft()[0]


def _reserved(attempt: Attempt) -> Resources:
    step = attempt.task.step
    return step.demand.without_cpu() if step.fill else step.demand
