"""The dispatcher's grants of the organisations' limits, kept in the table service.

A dispatcher runs at most the smaller of its last known committed grant and of what it allows
itself. It lowers itself before it writes a cut and uses a raise after its commit is certain. While
the outcome of a commit is unknown the smaller value holds, until the row has a version other than
the one that the commit checked: then the commit either shows in the row or can never take effect.

While a row's grants exceed a lowered limit, and from the moment the lower limit is seen in the
configuration until a commit has confirmed the row, no task of the organisation starts here.
"""

from collections.abc import Callable, Iterable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, frozen
from expression import Error, Ok, Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Clock, Configuration, Failure, Organisation, Ran, Reason
from fireflydeck.dispatcher.allotments import Allotments
from fireflydeck.kernel import Metrics, Registry, Service
from fireflydeck.policy.allotment import (
    AllotmentChange,
    AllotmentRow,
    AllotmentUsage,
    next_grant,
)
from fireflydeck.tables import ABSENT, Check, Put, Row, TableService, Transaction

__all__ = ["ALLOTMENTS_TABLE", "FleetAllotments"]

ALLOTMENTS_TABLE = "allotments"

_INTERVAL_MS = 1_000
_COALESCE_MS = 3
_MIN_DEMAND_INTERVAL_MS = 100
_IDLE_MS = 5_000
_TURN_MS = 5_000
_CONFLICT_TRIES = 4
_SCAN_FROM_ORGANISATIONS = 8


@define
class _Local:
    """What this dispatcher knows of one organisation.

    `committed` is the grant that is certain; `allowed` bounds it while a cut is written;
    `unsettled_version` is the row version that a commit of unknown outcome checked;
    `must_confirm` holds starts back after the limit was lowered.
    """

    running: int = 0
    waiting: int = 0
    committed: int = 0
    allowed: int = 0
    version: int = ABSENT
    wanted: int = 0
    must_confirm: bool = False
    is_overcommitted: bool = False
    unsettled_version: int | None = None
    next_demand_ms: int = 0
    active_ms: int = 0

    @property
    def usable(self) -> int:
        if self.must_confirm or self.is_overcommitted:
            return 0
        return min(self.committed, self.allowed)

    def adopt(self, grant: int) -> None:
        self.committed = self.allowed = grant


@frozen
class _Step:
    """A planned write of one row."""

    organisation: str
    row: Row | None
    before: AllotmentRow
    change: AllotmentChange

    @property
    def checked_version(self) -> int:
        return self.row.version if self.row else ABSENT


class FleetAllotments(Allotments, Service):
    """Follows demand by raising and cutting this dispatcher's own grants.

    Parameters
    ----------
    view
        The configuration with the organisations' limits.
    tables
        The table service.
    clock
        Source of time.
    metrics
        Metrics of the process.
    dispatcher
        Name of this member; never used again by another incarnation.
    """

    def __init__(
        self,
        view: ConfigurationView,
        tables: TableService,
        clock: Clock,
        metrics: Metrics,
        dispatcher: str,
    ) -> None:
        self._view = view
        self._tables = tables
        self._clock = clock
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._organisations: dict[str, _Local] = {}
        self._pending: set[str] = set()
        self._wake = anyio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._rebalancing = anyio.Lock()
        view.on_change(self._on_change)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "allotments"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the rebalancing."""
        tasks.start_soon(self._tick_forever)
        tasks.start_soon(self._rebalance_forever)

    async def stop(self) -> None:
        """Give back what is not used; one try."""
        for local in self._organisations.values():
            local.waiting = 0
            local.active_ms = self._clock.now_ms() - _IDLE_MS
        await self.rebalance(self._active_organisations())

    def state(self) -> dict[str, Any]:
        """Return running tasks, waiting requests and the usable grant by organisation."""
        return {
            organisation: {
                "running": local.running,
                "waiting": local.waiting,
                "grant": local.committed,
                "usable": self._usable(organisation),
                "settled": local.unsettled_version is None,
            }
            for organisation, local in self._organisations.items()
        }

    def can_start(self, organisation: str) -> bool:
        """Tell whether a task of the organisation may start now; always for queues open to all."""
        return not organisation or self._local(organisation).running < self._usable(organisation)

    def try_start(self, organisation: str) -> bool:
        """Count a starting task; `False` if the allotment is used up."""
        if not self.can_start(organisation):
            return False
        local = self._local(organisation)
        local.running += 1
        local.active_ms = self._clock.now_ms()
        return True

    def finish(self, organisation: str) -> None:
        """Count a finished task."""
        local = self._local(organisation)
        local.running -= 1
        local.active_ms = self._clock.now_ms()

    def set_waiting(self, organisation: str, waiting: int) -> None:
        """Tell how many requests wait; asks for a grant at once if none can start."""
        if not organisation:
            return
        local = self._local(organisation)
        local.waiting = waiting
        is_announced = local.wanted > local.committed
        if waiting and not is_announced and not self.can_start(organisation):
            self._request_soon(organisation, local)

    def on_increase(self, listener: Callable[[], None]) -> None:
        """Call the listener after a grant was raised."""
        self._listeners.append(listener)

    async def rebalance(self, organisations: Iterable[str]) -> None:
        """Read the organisations' rows and write the changed grants in one transaction."""
        async with self._rebalancing:
            steps = await self._plan(list(organisations))
            if not steps:
                return
            result = await self._commit(steps)
            if result.is_error() and result.error.reason is Reason.CONFLICT:
                for step in steps:
                    await self._rebalance_alone(step.organisation)

    async def _rebalance_alone(self, organisation: str) -> None:
        for _ in range(_CONFLICT_TRIES):
            steps = await self._plan([organisation])
            if not steps:
                return
            result = await self._commit(steps)
            if result.is_ok() or result.error.reason is not Reason.CONFLICT:
                return

    async def _plan(self, organisations: list[str]) -> list[_Step]:
        rows = await self._read(organisations)
        if rows.is_error():
            self._metrics.count("allotment_reads_failed_total")
            return []
        steps = [
            self._plan_organisation(organisation, rows.ok.get(organisation))
            for organisation in organisations
        ]
        return [step for step in steps if step is not None]

    async def _read(self, organisations: list[str]) -> Result[dict[str, Row], Failure]:
        if len(organisations) >= _SCAN_FROM_ORGANISATIONS:
            scanned = await self._tables.scan(ALLOTMENTS_TABLE)
            return scanned.map(lambda rows: {row.key: row for row in rows})
        found: dict[str, Row] = {}
        for organisation in organisations:
            read = await self._tables.get(ALLOTMENTS_TABLE, organisation)
            if read.is_error():
                return Error(read.error)
            if read.ok is not None:
                found[organisation] = read.ok
        return Ok(found)

    def _plan_organisation(self, organisation: str, row: Row | None) -> _Step | None:
        local = self._local(organisation)
        before = self._row_value(organisation, row)
        version = row.version if row else ABSENT
        if before is None or version < local.version:
            return None
        must_write = self._settle(local, version, before) or local.must_confirm
        self._take_row(local, version, before)
        usage = AllotmentUsage(running=local.running, waiting=self._waiting(local))
        turn = self._clock.wall_ms() // _TURN_MS
        change = next_grant(before, self._dispatcher, usage, turn)
        if not must_write and not self._is_worth_writing(before, change):
            return None
        local.allowed = min(local.allowed, change.grant)
        return _Step(organisation, row, before, change)

    def _take_row(self, local: _Local, version: int, row: AllotmentRow) -> None:
        local.version = version
        local.wanted = row.wanted.get(self._dispatcher, 0)
        local.is_overcommitted = row.free < 0

    def _settle(self, local: _Local, version: int, before: AllotmentRow) -> bool:
        """Take over the row's grant; return whether a commit is still of unknown outcome."""
        granted = before.grants.get(self._dispatcher, 0)
        if local.unsettled_version is None:
            local.adopt(min(granted, local.committed) if local.version == version else granted)
            return False
        if version != local.unsettled_version:
            local.unsettled_version = None
            local.adopt(granted)
            return False
        return True

    def _is_worth_writing(self, before: AllotmentRow, change: AllotmentChange) -> bool:
        grant = before.grants.get(self._dispatcher, 0)
        wanted = before.wanted.get(self._dispatcher, 0)
        if change.grant != grant or (change.wanted > grant) != (wanted > grant):
            return True
        is_hungry = change.wanted > grant
        return is_hungry and abs(change.wanted - wanted) * 4 > wanted

    async def _commit(self, steps: list[_Step]) -> Result[None, Failure]:
        checks = [
            Check(ALLOTMENTS_TABLE, step.organisation, step.checked_version) for step in steps
        ]
        puts = [Put(ALLOTMENTS_TABLE, step.organisation, self._new_value(step)) for step in steps]
        result = await self._tables.commit(Transaction(checks=tuple(checks), puts=tuple(puts)))
        outcome = "ok" if result.is_ok() else result.error.reason.value
        self._metrics.count("allotment_commits_total", outcome=outcome)
        for step in steps:
            self._take_outcome(step, result)
        if result.is_ok():
            for listener in self._listeners:
                listener()
        return result

    def _take_outcome(self, step: _Step, result: Result[None, Failure]) -> None:
        """Use a certain grant; a commit that wrote nothing leaves an earlier unknown one as is."""
        local = self._local(step.organisation)
        if result.is_ok():
            local.unsettled_version = None
            local.adopt(step.change.grant)
            local.wanted = step.change.wanted
            local.is_overcommitted = step.change.apply(step.before, self._dispatcher).free < 0
            local.must_confirm = local.must_confirm and not self._knows_limit(step)
        elif result.error.ran is Ran.UNKNOWN:
            local.unsettled_version = step.checked_version
            local.adopt(min(local.committed, local.allowed, step.change.grant))

    def _knows_limit(self, step: _Step) -> bool:
        entity = self._view.current.get(Organisation, step.organisation)
        return entity is None or step.before.limit <= entity.limit

    def _new_value(self, step: _Step) -> dict[str, Any]:
        stored = step.row.value if step.row else {}
        return {**stored, **step.change.apply(step.before, self._dispatcher).to_plain()}

    def _row_value(self, organisation: str, row: Row | None) -> AllotmentRow | None:
        if row is not None:
            return AllotmentRow.from_plain(row.value)
        entity = self._view.current.get(Organisation, organisation)
        is_known = entity is not None and self._view.is_fresh()
        return AllotmentRow(limit=entity.limit) if is_known else None  # type: ignore[union-attr]

    def _waiting(self, local: _Local) -> int:
        """Return the waiting requests, or 1 for an organisation whose last task ended just now."""
        is_idle = self._clock.now_ms() - local.active_ms >= _IDLE_MS
        return local.waiting or int(not is_idle and not local.running)

    def _usable(self, organisation: str) -> int:
        local = self._local(organisation)
        entity = self._view.current.get(Organisation, organisation)
        return min(local.usable, entity.limit) if entity is not None else 0

    def _local(self, organisation: str) -> _Local:
        local = self._organisations.get(organisation)
        if local is None:
            local = self._organisations[organisation] = _Local(
                active_ms=self._clock.now_ms() - _IDLE_MS
            )
        return local

    def _active_organisations(self) -> list[str]:
        return [
            organisation
            for organisation, local in self._organisations.items()
            if local.running
            or local.waiting
            or local.committed
            or local.wanted
            or local.unsettled_version is not None
        ]

    def _on_change(self, previous: Configuration, current: Configuration) -> None:
        has_gap = current.version != previous.version + 1
        for organisation, local in self._organisations.items():
            before = previous.get(Organisation, organisation)
            after = current.get(Organisation, organisation)
            if has_gap or before != after:
                is_lowered = before is None or after is None or after.limit < before.limit
                local.must_confirm = local.must_confirm or has_gap or is_lowered
                self._request(organisation)

    def _request_soon(self, organisation: str, local: _Local) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= local.next_demand_ms:
            local.next_demand_ms = now_ms + _MIN_DEMAND_INTERVAL_MS
            self._request(organisation)

    def _request(self, organisation: str) -> None:
        self._pending.add(organisation)
        self._wake.set()

    async def _tick_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(_INTERVAL_MS)
            for organisation in self._active_organisations():
                self._request(organisation)

    async def _rebalance_forever(self) -> None:
        while True:
            await self._wake.wait()
            await self._clock.sleep_ms(_COALESCE_MS)
            organisations, self._pending = sorted(self._pending), set()
            self._wake = anyio.Event()
            await self.rebalance(organisations)
