"""The platform's VMs as last listed, and the open orders of this lease holder for them."""

from collections.abc import Awaitable, Callable, Iterable

import anyio
from attrs import define, field, frozen
from expression import Result

from fireflydeck.core import Clock, Failure
from fireflydeck.core.vm_orders import ListedVm, ListedVmState, VmOperationOutcome, VmOrders
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.vm_operation_record import VmOperationRecord

__all__ = ["CALL_TIMEOUT_MS", "VmOperationTimes", "OpenOrder", "VmFleet", "VmOperationResult"]

VmOperationResult = Result[VmOperationOutcome, Failure]

CALL_TIMEOUT_MS = 600
_MAX_CONCURRENT_ORDERS = 4
_REFRESH_AGE_MS = 900
"""A list of VMs older than this is read again before the next decision."""
_MAX_LIST_AGE_MS = 1500
"""No VM operation is ordered from a list older than this."""
_HANDOVER_MARGIN_MS = 400
"""Margin on the minimum time between the orders of two holders for the same VM."""
_UNANSWERED_ORDER_MS = 15_000
"""Longest time for which an order without an answer stays open and its VM gets no work."""
_UNCHANGED_VM_MARGIN_MS = 4000
"""Time added to the duration of an operation for a VM that still has its old backend server.

After that time, the VM counts as unchanged and its order as resolved.
"""


@frozen(kw_only=True)
class VmOperationTimes:
    """Times of the platform's VM operations, in milliseconds.

    Parameters
    ----------
    order_lease_ms
        Time that has to pass between orders of two holders for the same VM.
    migration_ms
        Time that a move takes.
    maintenance_ms
        Time that a maintenance takes.
    """

    order_lease_ms: int
    migration_ms: int
    maintenance_ms: int


@frozen
class OpenOrder:
    """An order for a VM that was accepted or got no answer.

    Parameters
    ----------
    server_id
        Id of the backend server on the VM when the order was sent.
    target
        Pool to which the VM belongs afterwards.
    wave
        Number of the wave; 0 for a move.
    is_accepted
        Whether the platform accepted the order; otherwise there was no answer.
    """

    vm: str
    server_id: str
    target: str
    wave: int
    sent_ms: int
    is_accepted: bool


@define(eq=False, kw_only=True)
class VmFleet:
    """The platform's VMs as last listed, and the orders of this holder that are still open.

    Parameters
    ----------
    record
        Stored record of VM operations, for the next holder.
    orders
        The platform's VM interface.
    servers
        Backend servers by id.
    vms
        VMs by name, as last listed.
    open_orders
        Orders whose outcome the list doesn't show yet, by name of the VM.
    """

    tenure: Tenure
    lease: LeaseKeeper
    record: VmOperationRecord
    clock: Clock
    log: EventLog
    orders: VmOrders
    times: VmOperationTimes
    servers: dict[str, Server]
    vms: dict[str, ListedVm] = field(factory=dict, init=False)
    open_orders: dict[str, OpenOrder] = field(factory=dict, init=False)
    _listed_ms: int | None = field(default=None, init=False)

    @property
    def list_age_ms(self) -> int | None:
        """Return the age of the list of VMs, or `None` before it was first read."""
        return None if self._listed_ms is None else self.clock.now_ms() - self._listed_ms

    @property
    def is_past_handover(self) -> bool:
        """Return whether the minimum time since the orders of the previous holder has passed."""
        earliest_ms = self.tenure.since_ms + self.times.order_lease_ms + _HANDOVER_MARGIN_MS
        return self.clock.now_ms() >= earliest_ms

    def is_clear_of_predecessor(self, vm: str) -> bool:
        """Return whether no recent order of the previous holder forbids an order for this VM."""
        return self.is_past_handover or not self.record.may_have_predecessor_order(vm)

    def can_send_order(self) -> bool:
        """Return whether the lease is valid and the list recent enough; check before each order."""
        age_ms = self.list_age_ms
        return self.lease.is_valid() and age_ms is not None and age_ms <= _MAX_LIST_AGE_MS

    async def send_orders(self, sends: Iterable[Callable[[], Awaitable[None]]]) -> None:
        """Send orders for several VMs, a few at a time, while orders may be sent.

        Parameters
        ----------
        sends
            Functions that send one order each.
        """
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_ORDERS)

        async def send_if_allowed(send: Callable[[], Awaitable[None]]) -> None:
            async with limiter:
                if self.can_send_order():
                    await send()

        async with anyio.create_task_group() as tasks:
            for send in sends:
                tasks.start_soon(send_if_allowed, send)

    async def refresh(self) -> bool:
        """Read the list of VMs unless it is recent enough, and return whether it can be used."""
        age_ms = self.list_age_ms
        if age_ms is not None and age_ms <= _REFRESH_AGE_MS:
            return True
        requested_ms = self.clock.now_ms()
        result = await self.orders.list_vms(timeout_ms=CALL_TIMEOUT_MS)
        if result.is_error():
            self.log.emit(Event.VM_CALL_FAILED, step=result.error.step, detail=result.error.detail)
            return False
        self._listed_ms = requested_ms
        self.vms = {vm.name: vm for vm in result.ok}
        self._resolve_orders(requested_ms)
        return True

    def server_of(self, vm: ListedVm) -> Server | None:
        """Return the backend server on a VM, if it is known."""
        return self.servers.get(vm.server_id) if vm.server_id else None

    def uncordon(self, server_id: str) -> None:
        """Let a backend server get new work again."""
        server = self.servers.get(server_id)
        if server is not None:
            server.is_cordoned = False

    def record_order(self, vm: ListedVm, target: str, wave: int, *, is_accepted: bool) -> None:
        """Record an order, which stays open until the list shows its outcome."""
        self.open_orders[vm.name] = OpenOrder(
            vm.name, vm.server_id, target, wave, self.clock.now_ms(), is_accepted
        )

    def log_order(
        self, operation: str, vm: ListedVm, target: str, result: VmOperationResult, **inputs: object
    ) -> None:
        """Log an order with its outcome and the inputs of the decision."""
        self.log.emit(
            Event.DUTY_ORDERED,
            duty=operation,
            vm=vm.name,
            pool=vm.pool,
            target=target,
            outcome=result.ok.value if result.is_ok() else result.error.detail,
            list_age_ms=self.list_age_ms,
            **inputs,
        )

    def _resolve_orders(self, listed_ms: int) -> None:
        """Remove the orders whose outcome the list shows, and uncordon their backend servers."""
        for order in list(self.open_orders.values()):
            if self._is_resolved(order, listed_ms - order.sent_ms):
                del self.open_orders[order.vm]
                self.uncordon(order.server_id)

    def _is_resolved(self, order: OpenOrder, elapsed_ms: int) -> bool:
        """Return whether the list, read `elapsed_ms` after an order, shows its outcome.

        A VM that is in service again has a new backend server, or none on standby. The platform
        accepts a maintenance again that an earlier holder ordered, and does nothing: the VM keeps
        its old backend server.
        """
        vm = self.vms.get(order.vm)
        if vm is None:
            return True
        if not order.is_accepted:
            is_new_incarnation = vm.server_id not in ("", order.server_id)
            return (
                is_new_incarnation and vm.state == ListedVmState.UP
            ) or elapsed_ms > _UNANSWERED_ORDER_MS
        min_elapsed_ms = self.times.maintenance_ms if order.wave else self.times.migration_ms
        if vm.server_id != "" and vm.server_id == order.server_id:
            min_elapsed_ms += _UNCHANGED_VM_MARGIN_MS
        return vm.state == ListedVmState.UP and elapsed_ms >= min_elapsed_ms
