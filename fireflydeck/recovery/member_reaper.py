"""Removal of members whose VM no longer exists."""

from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.configuration import Attestor, ConfigurationFollower, VersionedStore
from fireflydeck.core import Clock, Member
from fireflydeck.kernel import Event, EventLog, Registry, Service
from fireflydeck.tables import VmList

__all__ = ["MemberReaper", "MemberReaperOptions"]


@frozen(kw_only=True)
class MemberReaperOptions:
    """Options of the reaper.

    Parameters
    ----------
    interval_ms
        Time between readings of the VM list.
    absent_readings
        Number of consecutive readings in which a VM must be missing.
    """

    interval_ms: int = 5_000
    absent_readings: int = 3


class MemberReaper(Service):
    """Removes a member when its VM is missing from the VM list and the member doesn't answer.

    The list may be out of date and lack a new VM, so a member that answers is not removed. The
    removal of a member that still runs is safe: it stops starting tasks within the freshness bound
    and registers again.

    Parameters
    ----------
    store
        The store to which the removal is committed.
    follower
        Provides the committed configuration.
    vm_list
        The platform's VM list.
    attestor
        Asks members for their state, as a check that they run.
    member_name
        Name of this process in the configuration; the reaper never removes this member.
    """

    def __init__(
        self,
        *,
        store: VersionedStore,
        follower: ConfigurationFollower,
        vm_list: VmList,
        attestor: Attestor,
        clock: Clock,
        log: EventLog,
        member_name: str,
        options: MemberReaperOptions | None = None,
    ) -> None:
        self._store = store
        self._follower = follower
        self._vm_list = vm_list
        self._attestor = attestor
        self._clock = clock
        self._log = log
        self._member_name = member_name
        self._options = options or MemberReaperOptions()
        self._absences: dict[str, int] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "member-reaper"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the periodic reading of the VM list."""
        tasks.start_soon(self._reap_forever)

    def state(self) -> dict[str, object]:
        """Return the number of consecutive readings without the VM, by member."""
        return {"absences": dict(self._absences)}

    async def reap(self) -> None:
        """Read the VM list once and remove at most one member."""
        listed = await self._vm_list.vms()
        if listed.is_error() or not listed.ok:
            return
        present = {vm.name for vm in listed.ok}
        members = [m for m in self._follower.current.all(Member) if m.name != self._member_name]
        absent = [member for member in members if member.vm not in present]
        self._absences = {m.name: self._absences.get(m.name, 0) + 1 for m in absent}
        for member in absent:
            if self._absences[member.name] >= self._options.absent_readings:
                answer = await self._attestor.state_of(member)
                if answer.is_error():
                    await self._remove(member)
                    return

    async def _remove(self, member: Member) -> None:
        base = self._follower.current
        if base.find(member.key) is None:
            return
        result = await self._store.commit(
            base, removes=[member.key], origin="controller", rule="member-vm-gone"
        )
        if result.is_ok():
            self._log.emit(Event.MEMBER_REMOVED, member=member.name, vm=member.vm)

    async def _reap_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(self._options.interval_ms)
            await self.reap()
