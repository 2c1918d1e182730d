"""Returns the parts of organisation limits that ended dispatchers still hold."""

from collections import Counter
from collections.abc import Iterable

from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Clock, Configuration, Member, Vm
from fireflydeck.kernel import Event, EventLog, Registry, Service
from fireflydeck.policy.allotment import AllotmentRow, reclaim_grant
from fireflydeck.recovery.running_tasks import RunningTasks, TaskCount
from fireflydeck.tables import Check, Put, Row, TableService, Transaction

__all__ = ["AllotmentReaper", "AllotmentReaperOptions"]

_TABLE = "allotments"


@frozen(kw_only=True)
class AllotmentReaperOptions:
    """Times of the reaper.

    Parameters
    ----------
    interval_ms
        Time between two looks at the rows.
    grace_ms
        Time since a dispatcher was no member any more, or that was first seen, after which it
        starts nothing more: the freshness bound and a margin.
    task_lease_ms
        Time after which a task on a backend server that does not answer has surely ended.
    """

    interval_ms: int = 2_000
    grace_ms: int = 5_000
    task_lease_ms: int = 3_600_000


class AllotmentReaper(Service):
    """Cuts the grants of dispatchers that are no members, down to their running tasks.

    A dispatcher starts work only while it is an unfenced member of a fresh configuration. So after
    the grace time its tasks only become fewer, and what its grant exceeds them by is free.

    Parameters
    ----------
    view
        The configuration in force.
    tables
        The table with the allotments.
    running_tasks
        Asks the backend servers.
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
        """Look at the rows in the background."""
        tasks.start_soon(self._run)

    def state(self) -> dict[str, object]:
        """Return the absent dispatchers that still hold grants."""
        return {"absent_since_ms": dict(self._absent_since_ms)}

    async def reap(self) -> None:
        """Look at all rows once and cut what can be cut."""
        if not self._view.is_fresh():
            return
        scanned = await self._tables.scan(_TABLE)
        if scanned.is_error():
            return
        now_ms = self._clock.now_ms()
        absent = self._absent_holders(scanned.ok)
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms) for name in sorted(absent)
        }
        due = {
            name
            for name, since_ms in self._absent_since_ms.items()
            if now_ms - since_ms >= self._options.grace_ms
        }
        if not due:
            return
        running = await self._count_running(due)
        if running is not None:
            for row in scanned.ok:
                await self._cut(row, due, running)

    def _absent_holders(self, rows: Iterable[Row]) -> set[str]:
        members = _active_members(self._view.current)
        holders = {name for row in rows for name in AllotmentRow.from_plain(row.value).grants}
        return holders - members

    async def _count_running(self, due: set[str]) -> Counter[TaskCount] | None:
        """Return the running tasks; `None` if some may run on VMs that don't answer."""
        survey = await self._running_tasks.survey(self._view.current.all(Vm))
        now_ms = self._clock.now_ms()
        newest_ms = min(now_ms - self._absent_since_ms[name] for name in due)
        is_certain = not survey.silent_vms or newest_ms >= self._options.task_lease_ms
        return survey.counts if is_certain else None

    async def _cut(self, row: Row, due: set[str], running: Counter[TaskCount]) -> None:
        before = AllotmentRow.from_plain(row.value)
        after = before
        for name in due & before.grants.keys():
            after = reclaim_grant(after, name, running[TaskCount(name, row.key)])
        if after == before:
            return
        transaction = Transaction(
            checks=(Check(row.table, row.key, row.version),),
            puts=(Put(row.table, row.key, {**row.value, **after.to_plain()}),),
        )
        if (await self._tables.commit(transaction)).is_ok():
            returned = sum(before.grants.values()) - sum(after.grants.values())
            self._log.emit(Event.ALLOTMENT_RECLAIMED, organisation=row.key, tasks=returned)

    def _on_change(self, previous: Configuration, current: Configuration) -> None:
        """Note when members went, so that the grace time runs from then on."""
        now_ms = self._clock.now_ms()
        for name in _active_members(previous) - _active_members(current):
            self._absent_since_ms.setdefault(name, now_ms)

    def _pause_ms(self) -> int:
        """Return the time until the next look: the interval, or less if a grace time ends."""
        now_ms = self._clock.now_ms()
        ends_ms = [since_ms + self._options.grace_ms for since_ms in self._absent_since_ms.values()]
        left_ms = [end_ms - now_ms for end_ms in ends_ms if end_ms > now_ms]
        return min([self._options.interval_ms, *left_ms])

    async def _run(self) -> None:
        while True:
            await self._clock.sleep_ms(self._pause_ms())
            await self.reap()


def _active_members(configuration: Configuration) -> set[str]:
    return {member.name for member in configuration.all(Member) if not member.fenced}
