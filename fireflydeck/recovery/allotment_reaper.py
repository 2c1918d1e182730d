"""Reclaiming of the grants of dispatchers that no longer run."""

from collections import Counter
from collections.abc import Iterable

from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Clock, Configuration, Member, Vm
from fireflydeck.kernel import Event, EventLog, Registry, Service
from fireflydeck.policy.allotment import AllotmentRow, reclaim_grant
from fireflydeck.recovery.running_tasks import RunningTasks, TaskOwner
from fireflydeck.tables import Check, Put, Row, TableService, Transaction

__all__ = ["AllotmentReaper", "AllotmentReaperOptions"]

_ALLOTMENTS_TABLE = "allotments"


@frozen(kw_only=True)
class AllotmentReaperOptions:
    """Intervals of the reaper.

    Parameters
    ----------
    interval_ms
        Maximum wait between two scans of the rows.
    grace_ms
        Time within which a dispatcher that is no longer a member stops starting tasks: the
        freshness bound plus a margin. It begins when the member is removed or fenced, or when the
        dispatcher is first found to be absent.
    task_lease_ms
        Time after which a task on a backend server that does not answer has certainly ended.
    """

    interval_ms: int = 2_000
    grace_ms: int = 5_000
    task_lease_ms: int = 3_600_000


class AllotmentReaper(Service):
    """Lowers the grants of dispatchers that are not members to the number of their running tasks.

    A dispatcher starts tasks only while it is an unfenced member of a fresh configuration. After
    the grace time, the number of its tasks can therefore only fall, and the part of its grant above
    that number is free.

    Parameters
    ----------
    view
        The current configuration.
    tables
        The table service with the allotments.
    running_tasks
        Counts the tasks that run on the backend servers.
    """

    def __init__(
        self,
        *,
        view: ConfigurationView,
        tables: TableService,
        running_tasks: RunningTasks,
        clock: Clock,
        log: EventLog,
        options: AllotmentReaperOptions | None = None,
    ) -> None:
        self._view = view
        self._tables = tables
        self._running_tasks = running_tasks
        self._clock = clock
        self._log = log
        self._options = options or AllotmentReaperOptions()
        self._absent_since_ms: dict[str, int] = {}
        view.on_change(self._on_change)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "allotment-reaper"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the periodic scan of the rows."""
        tasks.start_soon(self._reap_forever)

    def state(self) -> dict[str, object]:
        """Return the monotonic time since which each dispatcher that holds a grant is absent."""
        return {"absent_since_ms": dict(self._absent_since_ms)}

    async def reap(self) -> None:
        """Scan all rows once and lower the grants that can be lowered."""
        if not self._view.is_fresh():
            return
        scanned = await self._tables.scan(_ALLOTMENTS_TABLE)
        if scanned.is_error():
            return
        now_ms = self._clock.now_ms()
        absent = self._absent_holders(scanned.ok)
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms) for name in sorted(absent)
        }
        expired = {
            name
            for name, since_ms in self._absent_since_ms.items()
            if now_ms - since_ms >= self._options.grace_ms
        }
        if not expired:
            return
        running = await self._count_running(expired)
        if running is not None:
            for row in scanned.ok:
                await self._reclaim_grants(row, expired, running)

    def _absent_holders(self, rows: Iterable[Row]) -> set[str]:
        members = _active_members(self._view.current)
        holders = {name for row in rows for name in AllotmentRow.from_plain(row.value).grants}
        return holders - members

    async def _count_running(self, expired: set[str]) -> Counter[TaskOwner] | None:
        """Return the running tasks, or `None` if others may run on VMs that don't answer."""
        survey = await self._running_tasks.survey(self._view.current.all(Vm))
        now_ms = self._clock.now_ms()
        shortest_absence_ms = min(now_ms - self._absent_since_ms[name] for name in expired)
        is_certain = (
            not survey.unreachable_vms or shortest_absence_ms >= self._options.task_lease_ms
        )
        return survey.counts if is_certain else None

    async def _reclaim_grants(
        self, row: Row, expired: set[str], running: Counter[TaskOwner]
    ) -> None:
        before = AllotmentRow.from_plain(row.value)
        after = before
        for name in expired & before.grants.keys():
            after = reclaim_grant(after, name, running[TaskOwner(name, row.key)])
        if after == before:
            return
        transaction = Transaction(
            checks=(Check(row.table, row.key, row.version),),
            puts=(Put(row.table, row.key, {**row.value, **after.to_plain()}),),
        )
        if (await self._tables.commit(transaction)).is_ok():
            reclaimed = sum(before.grants.values()) - sum(after.grants.values())
            self._log.emit(Event.ALLOTMENT_RECLAIMED, organisation=row.key, tasks=reclaimed)

    def _on_change(self, previous: Configuration, current: Configuration) -> None:
        """Record when members become absent, because their grace time begins then."""
        now_ms = self._clock.now_ms()
        for name in _active_members(previous) - _active_members(current):
            self._absent_since_ms.setdefault(name, now_ms)

    def _next_scan_delay_ms(self) -> int:
        """Return the time until the next scan: the interval or the first end of a grace time."""
        now_ms = self._clock.now_ms()
        ends_ms = [since_ms + self._options.grace_ms for since_ms in self._absent_since_ms.values()]
        remaining_ms = [end_ms - now_ms for end_ms in ends_ms if end_ms > now_ms]
        return min([self._options.interval_ms, *remaining_ms])

    async def _reap_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(self._next_scan_delay_ms())
            await self.reap()


def _active_members(configuration: Configuration) -> set[str]:
    return {member.name for member in configuration.all(Member) if not member.fenced}
