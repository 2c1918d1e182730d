"""The platform's VMs as last listed, and the orders sent for them by this holder of the lease."""

from attrs import define, field, frozen
from expression import Result

from fireflydeck.core import Clock, Failure
from fireflydeck.core.vm_orders import DutyOutcome, ListedVm, VmListState, VmOrders
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.duty_record import DutyRecord
from fireflydeck.scheduling.servers import Server

__all__ = ["CALL_TIMEOUT_MS", "DutyResult", "DutyTimes", "SentOrder", "VmFleet"]

DutyResult = Result[DutyOutcome, Failure]

CALL_TIMEOUT_MS = 600
_LIST_AGE_MS = 900
"""A list of VMs older than this is read again before a decision."""
_MAX_LIST_AGE_MS = 1500
"""No duty is ordered by an older list."""
_SETTLE_MS = 400
"""Added to the lease time between the duties of two holders."""
_UNCERTAIN_MS = 15_000
"""How long a VM stays out of work after an order for it got no answer."""
_UNTOUCHED_MS = 4000
"""Time beyond that of an order after which a VM in its old life shows that nothing was done."""


@frozen(kw_only=True)
class DutyTimes:
    """Times of the platform, in milliseconds."""

    duty_lease_ms: int
    migration_ms: int
    maintenance_ms: int


@frozen
class SentOrder:
    """An order for a VM that was taken or got no answer; `wave` is 0 for a move."""

    vm: str
    server_id: str
    target: str
    wave: int
    sent_ms: int
    is_certain: bool


@define(eq=False, kw_only=True)
class VmFleet:
    """Keeps the list of VMs, and which of them are out of work by an order.

    Parameters
    ----------
    servers
        Backend servers by id.
    """

    tenure: Tenure
    lease: LeaseKeeper
    record: DutyRecord
    clock: Clock
    log: EventLog
    orders: VmOrders
    times: DutyTimes
    servers: dict[str, Server]
    vms: dict[str, ListedVm] = field(factory=dict, init=False)
    sent: dict[str, SentOrder] = field(factory=dict, init=False)
    _listed_ms: int | None = field(default=None, init=False)

    @property
    def list_age_ms(self) -> int | None:
        """Age of the list, or `None` before the first."""
        return None if self._listed_ms is None else self.clock.now_ms() - self._listed_ms

    @property
    def is_settled(self) -> bool:
        """Whether this holder may order VMs that the one before ordered at its end."""
        earliest_ms = self.tenure.since_ms + self.times.duty_lease_ms + _SETTLE_MS
        return self.clock.now_ms() >= earliest_ms

    def may_order(self, vm: str) -> bool:
        """Whether this holder may order a VM now, as far as the holder before is concerned."""
        return self.is_settled or not self.record.ordered_before(vm)

    def is_current(self) -> bool:
        """Whether an order may be sent by the list as it is; checked before each."""
        age_ms = self.list_age_ms
        return self.lease.is_valid() and age_ms is not None and age_ms <= _MAX_LIST_AGE_MS

    async def refresh(self) -> bool:
        """Read the list of VMs unless it is new enough; returns whether it can be used."""
        age_ms = self.list_age_ms
        if age_ms is not None and age_ms <= _LIST_AGE_MS:
            return True
        asked_ms = self.clock.now_ms()
        result = await self.orders.list_vms(timeout_ms=CALL_TIMEOUT_MS)
        if result.is_error():
            self.log.emit(Event.VM_CALL_FAILED, step=result.error.step, detail=result.error.detail)
            return False
        self._listed_ms = asked_ms
        self.vms = {vm.name: vm for vm in result.ok}
        self._settle_orders(asked_ms)
        return True

    def server_of(self, vm: ListedVm) -> Server | None:
        """Return the backend server on a VM, if it is known."""
        return self.servers.get(vm.server_id) if vm.server_id else None

    def uncordon(self, server_id: str) -> None:
        """Let a backend server take work again."""
        server = self.servers.get(server_id)
        if server is not None:
            server.is_cordoned = False

    def note_order(self, vm: ListedVm, target: str, wave: int, *, is_certain: bool) -> None:
        """Count a VM as out of work until the list shows it back."""
        self.sent[vm.name] = SentOrder(
            vm.name, vm.server_id, target, wave, self.clock.now_ms(), is_certain
        )

    def log_order(
        self, duty: str, vm: ListedVm, target: str, result: DutyResult, **inputs: object
    ) -> None:
        """Log an order with what decided it."""
        self.log.emit(
            Event.DUTY_ORDERED,
            duty=duty,
            vm=vm.name,
            pool=vm.pool,
            target=target,
            outcome=result.ok.value if result.is_ok() else result.error.detail,
            list_age_ms=self.list_age_ms,
            **inputs,
        )

    def _settle_orders(self, listed_ms: int) -> None:
        """Forget the orders that the list shows to be carried out."""
        for order in list(self.sent.values()):
            if self._is_settled(order, listed_ms - order.sent_ms):
                del self.sent[order.vm]
                self.uncordon(order.server_id)

    def _is_settled(self, order: SentOrder, lasted_ms: int) -> bool:
        """Whether the list, read `lasted_ms` after an order, shows what became of it.

        A VM that is back has a new backend server, or none on standby. A maintenance that
        an earlier holder ordered before is taken again, and changes nothing.
        """
        vm = self.vms.get(order.vm)
        if vm is None:
            return True
        if not order.is_certain:
            is_new_life = vm.server_id not in ("", order.server_id)
            return (is_new_life and vm.state == VmListState.UP) or lasted_ms > _UNCERTAIN_MS
        least_ms = self.times.maintenance_ms if order.wave else self.times.migration_ms
        if vm.server_id != "" and vm.server_id == order.server_id:
            least_ms += _UNTOUCHED_MS
        return vm.state == VmListState.UP and lasted_ms >= least_ms
