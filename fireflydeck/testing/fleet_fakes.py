"""Backend servers and VMs in memory, reached by orders with faults on demand."""

from collections.abc import Sequence
from enum import StrEnum

import anyio.lowlevel
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.advisor import Advice, PlacementAdvisor
from fireflydeck.core.backend_orders import (
    BackendServerOrders,
    HeartbeatReport,
    StartOrder,
    StartOutcome,
)
from fireflydeck.core.rows import StoredRow
from fireflydeck.core.vm_orders import ListedVm, VmOperationOutcome, VmOrders
from fireflydeck.entry.peer_interfaces import SubmissionAnnouncer
from fireflydeck.standins.task_server import TaskServer

__all__ = ["FakeAdvisor", "FakeAnnouncer", "FakeOrders", "FakeVmOrders", "OrderFault"]

_POLL_MS = 20


class FakeAnnouncer(SubmissionAnnouncer):
    """Keeps what was announced."""

    def __init__(self) -> None:
        self.rows: list[StoredRow] = []

    def announce(self, row: StoredRow) -> None:
        """Note a submission."""
        self.rows.append(row)


class OrderFault(StrEnum):
    """Fault of one start.

    `LATE` gets no answer and is carried out when the test calls `deliver_late`.
    """

    ANSWER_LOST = "answer-lost"
    LATE = "late"
    NOT_SENT = "not-sent"


class FakeOrders(BackendServerOrders):
    """Orders to a `TaskServer`.

    Attributes
    ----------
    is_cut
        While set, nothing arrives and nothing is answered.
    next_starts
        Faults of the next starts, first one first.
    lost_holds
        Number of the next holds that get no answer.
    """

    def __init__(self, server: TaskServer, clock: Clock) -> None:
        self.lost_holds = 0
        self.server = server
        self.is_cut = False
        self.next_starts: list[OrderFault | None] = []
        self._late: list[StartOrder] = []
        self._clock = clock

    @property
    def has_late_starts(self) -> bool:
        """Whether there are starts that `deliver_late` would carry out."""
        return bool(self._late)

    def deliver_late(self) -> list[StartOutcome]:
        """Carry out the late starts; returns their outcomes."""
        late, self._late = self._late, []
        return [self.server.start(order) for order in late]

    async def close(self) -> None:
        """Nothing to close."""

    async def start(self, order: StartOrder, *, timeout_ms: int) -> Result[StartOutcome, Failure]:
        """Start a run."""
        await anyio.lowlevel.checkpoint()
        fault = self.next_starts.pop(0) if self.next_starts else None
        if fault == OrderFault.NOT_SENT:
            return Error(_unreachable("backend.start", Ran.NO))
        if self.is_cut:
            return Error(_unreachable("backend.start", Ran.UNKNOWN))
        if fault == OrderFault.LATE:
            self._late.append(order)
            return Error(_unreachable("backend.start", Ran.UNKNOWN))
        outcome = self.server.start(order)
        if fault == OrderFault.ANSWER_LOST:
            return Error(_unreachable("backend.start", Ran.UNKNOWN))
        return Ok(outcome)

    async def stop(
        self, *, task: str, run: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Stop a run."""
        await anyio.lowlevel.checkpoint()
        if self.is_cut:
            return Error(_unreachable("backend.stop", Ran.UNKNOWN))
        return Ok(self.server.stop(task, run, fencing_token))

    async def pace(
        self, *, task: str, run: int, percent: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Let a run work at a share of its speed."""
        await anyio.lowlevel.checkpoint()
        if self.is_cut:
            return Error(_unreachable("backend.pace", Ran.UNKNOWN))
        return Ok(self.server.pace(task, run, percent, fencing_token))

    async def send_heartbeat(
        self, *, fencing_token: int, acknowledged_end: int, lease_until_ms: int, wait_ms: int
    ) -> Result[HeartbeatReport, Failure]:
        """Hold the server; waits for an end."""
        until_ms = self._clock.now_ms() + wait_ms
        extended_ms = lease_until_ms
        while True:
            await anyio.lowlevel.checkpoint()
            if self.is_cut or self.lost_holds > 0:
                self.lost_holds = max(0, self.lost_holds - 1)
                await self._clock.sleep_ms(_POLL_MS)
                return Error(_unreachable("backend.hold", Ran.UNKNOWN))
            report = self.server.hold(fencing_token, acknowledged_end, extended_ms)
            if report is None:
                return Error(Failure(Reason.NOT_OWNER, "backend.hold"))
            if report.ended or self._clock.now_ms() >= until_ms:
                return Ok(report)
            extended_ms = 0
            await self._clock.sleep_ms(_POLL_MS)


class FakeAdvisor(PlacementAdvisor):
    """An advisor that allows the backend servers in `good`; tickets name step and server.

    Attributes
    ----------
    calls
        Step and backend servers of each call.
    failures
        Number of the next calls that are refused.
    """

    def __init__(self, *good: str, validity_ms: int = 3000) -> None:
        self.good = set(good)
        self.validity_ms = validity_ms
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        self.failures = 0

    async def advise(
        self, step: str, server_ids: Sequence[str], *, timeout_ms: int
    ) -> Result[Advice, Failure]:
        """Give tickets for the good ones."""
        await anyio.lowlevel.checkpoint()
        self.calls.append((step, tuple(server_ids)))
        if self.failures:
            self.failures -= 1
            return Error(Failure(Reason.TOO_MANY_REQUESTS, "advisor.advise", ran=Ran.NO))
        tickets = {name: f"{step}/{name}" for name in server_ids if name in self.good}
        return Ok(Advice(tickets, self.validity_ms))


class FakeVmOrders(VmOrders):
    """The VM interface in memory.

    Attributes
    ----------
    orders
        The orders taken: duty, VM, target pool or wave, fencing token.
    """

    def __init__(self, *vms: ListedVm) -> None:
        self.vms = {vm.name: vm for vm in vms}
        self.orders: list[tuple[str, str, str, int]] = []
        self.next_outcomes: list[VmOperationOutcome | None] = []

    async def list_vms(self, *, timeout_ms: int) -> Result[tuple[ListedVm, ...], Failure]:
        """Return all VMs."""
        await anyio.lowlevel.checkpoint()
        return Ok(tuple(self.vms.values()))

    async def move(
        self, *, vm: str, pool: str, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Take a move."""
        return await self._take("move", vm, pool, fencing_token)

    async def start_maintenance(
        self, *, vm: str, wave: int, fencing_token: int, timeout_ms: int
    ) -> Result[VmOperationOutcome, Failure]:
        """Take a maintenance."""
        return await self._take("maintenance", vm, str(wave), fencing_token)

    async def _take(
        self, duty: str, vm: str, target: str, fencing_token: int
    ) -> Result[VmOperationOutcome, Failure]:
        await anyio.lowlevel.checkpoint()
        self.orders.append((duty, vm, target, fencing_token))
        outcome = self.next_outcomes.pop(0) if self.next_outcomes else VmOperationOutcome.TAKEN
        if outcome is None:
            return Error(_unreachable("vms.duty", Ran.UNKNOWN))
        return Ok(outcome)


def _unreachable(step: str, ran: Ran) -> Failure:
    return Failure(Reason.BACKEND_UNREACHABLE, step, peer="fake", ran=ran)
