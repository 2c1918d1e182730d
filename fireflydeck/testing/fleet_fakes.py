"""In-memory fakes of the interfaces to backend servers, VMs, advisor and entry processes."""

from collections.abc import Sequence
from enum import StrEnum

import anyio.lowlevel
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.advisor import Advice, PlacementAdvisor
from fireflydeck.core.backend_orders import (
    BackendServerOrders,
    HeartbeatReport,
    StartAnswer,
    StartOrder,
    StartOutcome,
)
from fireflydeck.core.rows import StoredRow
from fireflydeck.core.vm_orders import ListedVm, VmOperationOutcome, VmOrders
from fireflydeck.entry.peer_interfaces import SubmissionAnnouncer
from fireflydeck.standins.task_server import TaskServer

__all__ = ["FakeAdvisor", "FakeAnnouncer", "FakeBackendServerOrders", "FakeVmOrders", "OrderFault"]

_POLL_MS = 20


class FakeAnnouncer(SubmissionAnnouncer):
    """Announcer that records the announced submissions."""

    def __init__(self) -> None:
        self.rows: list[StoredRow] = []

    def announce(self, row: StoredRow) -> None:
        """Record a submission."""
        self.rows.append(row)


class OrderFault(StrEnum):
    """Fault injected into one start order.

    `ANSWER_LOST` is carried out and gets no answer; `LATE` gets no answer and is carried out when
    the test calls `deliver_late`; `NOT_SENT` is never carried out.
    """

    ANSWER_LOST = "answer-lost"
    LATE = "late"
    NOT_SENT = "not-sent"


class FakeBackendServerOrders(BackendServerOrders):
    """Orders to a `TaskServer` in the same process, with fault injection.

    Attributes
    ----------
    is_unreachable
        While set, orders and heartbeats don't arrive and get no answer.
    next_starts
        Faults of the next starts, in order.
    start_outcome
        Outcome of all starts, which then have no effect; `None` to pass them to the server.
    lost_heartbeats
        Number of the next heartbeats that get no answer.
    late_heartbeats
        Number of the next heartbeats that get no answer and are carried out by `deliver_late`.
    """

    def __init__(self, server: TaskServer, clock: Clock) -> None:
        self.lost_heartbeats = 0
        self.late_heartbeats = 0
        self.server = server
        self.is_unreachable = False
        self.next_starts: list[OrderFault | None] = []
        self.start_outcome: StartOutcome | None = None
        self._late: list[StartOrder] = []
        self._late_heartbeats: list[tuple[int, int, int]] = []
        self._clock = clock

    @property
    def has_late_starts(self) -> bool:
        """Whether any late starts wait for `deliver_late`."""
        return bool(self._late)

    def deliver_late(self) -> list[StartOutcome]:
        """Carry out the late heartbeats and starts; return the outcomes of the starts."""
        for heartbeat in self._late_heartbeats:
            self.server.answer_heartbeat(*heartbeat)
        self._late_heartbeats.clear()
        late, self._late = self._late, []
        return [self.server.start(order) for order in late]

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def start(self, order: StartOrder, *, timeout_ms: int) -> Result[StartAnswer, Failure]:
        """Start a run."""
        await anyio.lowlevel.checkpoint()
        fault = self.next_starts.pop(0) if self.next_starts else None
        if fault == OrderFault.NOT_SENT:
            return Error(_unreachable("backend.start", Ran.NO))
        if self.is_unreachable:
            return Error(_unreachable("backend.start", Ran.UNKNOWN))
        if fault == OrderFault.LATE:
            self._late.append(order)
            return Error(_unreachable("backend.start", Ran.UNKNOWN))
        if self.start_outcome is not None:
            return Ok(StartAnswer(self.start_outcome, self.server.clock_ms()))
        outcome = self.server.start(order)
        if fault == OrderFault.ANSWER_LOST:
            return Error(_unreachable("backend.start", Ran.UNKNOWN))
        return Ok(StartAnswer(outcome, self.server.clock_ms()))

    async def stop(
        self, *, task: str, run: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Stop a run."""
        await anyio.lowlevel.checkpoint()
        if self.is_unreachable:
            return Error(_unreachable("backend.stop", Ran.UNKNOWN))
        return Ok(self.server.stop(task, run, fencing_token))

    async def pace(
        self, *, task: str, run: int, percent: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Set the pace of a run."""
        await anyio.lowlevel.checkpoint()
        if self.is_unreachable:
            return Error(_unreachable("backend.pace", Ran.UNKNOWN))
        return Ok(self.server.pace(task, run, percent, fencing_token))

    async def send_heartbeat(
        self, *, fencing_token: int, acknowledged_end: int, lease_until_ms: int, wait_ms: int
    ) -> Result[HeartbeatReport, Failure]:
        """Send a heartbeat; wait up to `wait_ms` for the end of a run."""
        until_ms = self._clock.now_ms() + wait_ms
        extended_ms = lease_until_ms
        if self.late_heartbeats > 0:
            self.late_heartbeats -= 1
            self._late_heartbeats.append((fencing_token, acknowledged_end, lease_until_ms))
            await self._clock.sleep_ms(wait_ms + _POLL_MS)
            return Error(_unreachable("backend.hold", Ran.UNKNOWN))
        while True:
            await anyio.lowlevel.checkpoint()
            if self.is_unreachable or self.lost_heartbeats > 0:
                self.lost_heartbeats = max(0, self.lost_heartbeats - 1)
                await self._clock.sleep_ms(_POLL_MS)
                return Error(_unreachable("backend.hold", Ran.UNKNOWN))
            report = self.server.answer_heartbeat(fencing_token, acknowledged_end, extended_ms)
            if report is None:
                return Error(Failure(Reason.NOT_OWNER, "backend.hold"))
            if report.ended or self._clock.now_ms() >= until_ms:
                return Ok(report)
            extended_ms = 0
            await self._clock.sleep_ms(_POLL_MS)


class FakeAdvisor(PlacementAdvisor):
    """Advisor that issues tickets ``step/server`` for the backend servers in `allowed`.

    Attributes
    ----------
    calls
        Step and backend servers of each call, refused ones included.
    failures
        Number of the next calls that are refused.
    """

    def __init__(self, *allowed: str, validity_ms: int = 3000) -> None:
        self.allowed = set(allowed)
        self.validity_ms = validity_ms
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        self.failures = 0

    async def advise(
        self, step: str, server_ids: Sequence[str], *, timeout_ms: int
    ) -> Result[Advice, Failure]:
        """Return tickets for those of the backend servers that are in `allowed`."""
        await anyio.lowlevel.checkpoint()
        self.calls.append((step, tuple(server_ids)))
        if self.failures:
            self.failures -= 1
            return Error(Failure(Reason.TOO_MANY_REQUESTS, "advisor.advise", ran=Ran.NO))
        tickets = {name: f"{step}/{name}" for name in server_ids if name in self.allowed}
        return Ok(Advice(tickets, self.validity_ms))


class FakeVmOrders(VmOrders):
    """In-memory client for the platform's VMs; it records orders and does not execute them.

    Attributes
    ----------
    vms
        Listed VMs, by name.
    orders
        Received orders: operation, VM, target pool or wave, fencing token.
    next_outcomes
        Outcomes of the next orders, in order; `None` gets no answer. The default is `TAKEN`.
    answer_delay_ms
        Delay in milliseconds of the answers to orders.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.vms: dict[str, ListedVm] = {}
        self.answer_delay_ms = 0
        self.orders: list[tuple[str, str, str, int]] = []
        self.next_outcomes: list[VmOperationOutcome | None] = []

    async def list_vms(self, *, timeout_ms: int) -> Result[tuple[ListedVm, ...], Failure]:
        """Return all VMs."""
        await anyio.lowlevel.checkpoint()
        return Ok(tuple(self.vms.values()))

    async def move(
        self, *, vm: str, pool: str, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Record an order to move a VM."""
        return await self._record_order("move", vm, pool, fencing_token)

    async def start_maintenance(
        self, *, vm: str, wave: int, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Record an order to maintain a VM."""
        return await self._record_order("maintenance", vm, str(wave), fencing_token)

    async def _record_order(
        self, operation: str, vm: str, target: str, fencing_token: int
    ) -> Result[VmOperationOutcome, Failure]:
        await anyio.lowlevel.checkpoint()
        self.orders.append((operation, vm, target, fencing_token))
        if self.answer_delay_ms > 0:
            await self._clock.sleep_ms(self.answer_delay_ms)
        outcome = self.next_outcomes.pop(0) if self.next_outcomes else VmOperationOutcome.TAKEN
        if outcome is None:
            return Error(_unreachable("vms.duty", Ran.UNKNOWN))
        return Ok(outcome)


def _unreachable(step: str, ran: Ran) -> Failure:
    return Failure(Reason.BACKEND_UNREACHABLE, step, peer="fake", ran=ran)
