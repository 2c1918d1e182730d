"""Allotments of a fleet with several dispatchers, stored as grants in the table service.

A dispatcher runs at most the minimum of its last known committed grant and of its local bound. It
lowers the bound before it writes a smaller grant, and uses a larger grant only after the commit is
known to have succeeded. While the outcome of a commit is unknown, the smaller of the two grants
applies, until the row has a version other than the one that the commit checked: by then, the commit
either is visible in the row or can never take effect.

No task of an organisation starts here while the row's grants exceed a lowered limit, nor from the
time that the configuration has the lower limit until a commit has confirmed the row.
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

_REBALANCE_INTERVAL_MS = 1_000
_COALESCE_MS = 3
_MIN_DEMAND_INTERVAL_MS = 100
_IDLE_AFTER_MS = 5_000

_TURN_MS = 5_000
"""Time for which the remainder of an uneven division stays with the same dispatchers."""

_MAX_CONFLICT_TRIES = 4
_MIN_ORGANISATIONS_FOR_SCAN = 8


@define
class _OrganisationState:
    """The local state of one organisation.

    Attributes
    ----------
    committed
        Grant that is known to be committed.
    allowed
        Bound on the used grant while a smaller grant is written.
    version
        Row version as last read.
    wanted
        This dispatcher's entry in `AllotmentRow.wanted`, as last read or committed.
    must_confirm
        Whether starts are blocked until a commit has confirmed the row, because the limit was or
        may have been lowered.
    is_overcommitted
        Whether the row's grants exceed the limit.
    uncertain_version
        Row version that a commit of unknown outcome checked; `None` if there is no such commit.
    next_demand_rebalance_ms
        Monotonic time before which new demand queues no further rebalancing.
    last_active_ms
        Monotonic time of the last start or end of a task.
    """

    running: int = 0
    waiting: int = 0
    committed: int = 0
    allowed: int = 0
    version: int = ABSENT
    wanted: int = 0
    must_confirm: bool = False
    is_overcommitted: bool = False
    uncertain_version: int | None = None
    next_demand_rebalance_ms: int = 0
    last_active_ms: int = 0

    @property
    def usable(self) -> int:
        if self.must_confirm or self.is_overcommitted:
            return 0
        return min(self.committed, self.allowed)

    def set_grant(self, grant: int) -> None:
        self.committed = self.allowed = grant


@frozen
class _PlannedWrite:
    """A planned write of an organisation's row."""

    organisation: str
    row: Row | None
    before: AllotmentRow
    change: AllotmentChange

    @property
    def checked_version(self) -> int:
        return self.row.version if self.row else ABSENT


class FleetAllotments(Allotments, Service):
    """Adjusts this dispatcher's grants to its demand.

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
        Name of this member; a later incarnation has another name.
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
        self._organisations: dict[str, _OrganisationState] = {}
        self._pending: set[str] = set()
        self._wake = anyio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._rebalance_lock = anyio.Lock()
        view.on_change(self._on_change)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "allotments"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the periodic and the demand-driven rebalancing."""
        tasks.start_soon(self._queue_active_periodically)
        tasks.start_soon(self._rebalance_forever)

    async def stop(self) -> None:
        """Return the unused parts of the grants by a single rebalancing."""
        for state in self._organisations.values():
            state.waiting = 0
            state.last_active_ms = self._clock.now_ms() - _IDLE_AFTER_MS
        await self.rebalance(self._active_organisations())

    def state(self) -> dict[str, Any]:
        """Return the running tasks, waiting requests and grants by organisation."""
        return {
            organisation: {
                "running": state.running,
                "waiting": state.waiting,
                "grant": state.committed,
                "usable": self._usable(organisation),
                "settled": state.uncertain_version is None,
            }
            for organisation, state in self._organisations.items()
        }

    def can_start(self, organisation: str) -> bool:
        """Return whether a task of the organisation may start now.

        A task without an organisation, from a queue that is open to all, may always start.
        """
        return not organisation or self._state_of(organisation).running < self._usable(organisation)

    def try_start(self, organisation: str) -> bool:
        """Count a starting task; return `False` if the allotment is exhausted."""
        if not self.can_start(organisation):
            return False
        state = self._state_of(organisation)
        state.running += 1
        state.last_active_ms = self._clock.now_ms()
        return True

    def finish(self, organisation: str) -> None:
        """Count a finished task."""
        state = self._state_of(organisation)
        state.running -= 1
        state.last_active_ms = self._clock.now_ms()

    def set_waiting(self, organisation: str, waiting: int) -> None:
        """Set the number of waiting requests; queue a rebalancing if none of them can start."""
        if not organisation:
            return
        state = self._state_of(organisation)
        state.waiting = waiting
        is_announced = state.wanted > state.committed
        if waiting and not is_announced and not self.can_start(organisation):
            self._queue_demand_rebalance(organisation, state)

    def on_increase(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after each successful commit of grants."""
        self._listeners.append(listener)

    async def rebalance(self, organisations: Iterable[str]) -> None:
        """Read the organisations' rows and commit the changed grants in one transaction.

        After a conflict, each organisation is retried in a separate transaction.
        """
        async with self._rebalance_lock:
            writes = await self._plan(list(organisations))
            if not writes:
                return
            result = await self._commit(writes)
            if result.is_error() and result.error.reason is Reason.CONFLICT:
                for write in writes:
                    await self._rebalance_alone(write.organisation)

    async def _rebalance_alone(self, organisation: str) -> None:
        for _ in range(_MAX_CONFLICT_TRIES):
            writes = await self._plan([organisation])
            if not writes:
                return
            result = await self._commit(writes)
            if result.is_ok() or result.error.reason is not Reason.CONFLICT:
                return

    async def _plan(self, organisations: list[str]) -> list[_PlannedWrite]:
        rows = await self._read(organisations)
        if rows.is_error():
            self._metrics.count("allotment_reads_failed_total")
            return []
        writes = [
            self._plan_organisation(organisation, rows.ok.get(organisation))
            for organisation in organisations
        ]
        return [write for write in writes if write is not None]

    async def _read(self, organisations: list[str]) -> Result[dict[str, Row], Failure]:
        if len(organisations) >= _MIN_ORGANISATIONS_FOR_SCAN:
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

    def _plan_organisation(self, organisation: str, row: Row | None) -> _PlannedWrite | None:
        state = self._state_of(organisation)
        before = self._row_value(organisation, row)
        version = row.version if row else ABSENT
        if before is None or version < state.version:
            return None
        must_write = self._update_grant(state, version, before) or state.must_confirm
        self._record_row(state, version, before)
        usage = AllotmentUsage(running=state.running, waiting=self._effective_waiting(state))
        turn = self._clock.wall_ms() // _TURN_MS
        change = next_grant(before, self._dispatcher, usage, turn)
        if not must_write and not self._is_worth_writing(before, change):
            return None
        state.allowed = min(state.allowed, change.grant)
        return _PlannedWrite(organisation, row, before, change)

    def _record_row(self, state: _OrganisationState, version: int, row: AllotmentRow) -> None:
        state.version = version
        state.wanted = row.wanted.get(self._dispatcher, 0)
        state.is_overcommitted = row.free < 0

    def _update_grant(self, state: _OrganisationState, version: int, before: AllotmentRow) -> bool:
        """Apply the row's grant; return whether the outcome of a commit is still unknown."""
        granted = before.grants.get(self._dispatcher, 0)
        if state.uncertain_version is None:
            state.set_grant(min(granted, state.committed) if state.version == version else granted)
            return False
        if version != state.uncertain_version:
            state.uncertain_version = None
            state.set_grant(granted)
            return False
        return True

    def _is_worth_writing(self, before: AllotmentRow, change: AllotmentChange) -> bool:
        grant = before.grants.get(self._dispatcher, 0)
        wanted = before.wanted.get(self._dispatcher, 0)
        if change.grant != grant or (change.wanted > grant) != (wanted > grant):
            return True
        is_short = change.wanted > grant
        return is_short and abs(change.wanted - wanted) * 4 > wanted

    async def _commit(self, writes: list[_PlannedWrite]) -> Result[None, Failure]:
        checks = [
            Check(ALLOTMENTS_TABLE, write.organisation, write.checked_version) for write in writes
        ]
        puts = [
            Put(ALLOTMENTS_TABLE, write.organisation, self._new_value(write)) for write in writes
        ]
        result = await self._tables.commit(Transaction(checks=tuple(checks), puts=tuple(puts)))
        outcome = "ok" if result.is_ok() else result.error.reason.value
        self._metrics.count("allotment_commits_total", outcome=outcome)
        for write in writes:
            self._apply_outcome(write, result)
        if result.is_ok():
            for listener in self._listeners:
                listener()
        return result

    def _apply_outcome(self, write: _PlannedWrite, result: Result[None, Failure]) -> None:
        """Apply the outcome of a commit.

        After a success, the grant is used. A commit that certainly wrote nothing changes no state,
        so that the outcome of an earlier commit may remain unknown.
        """
        state = self._state_of(write.organisation)
        if result.is_ok():
            state.uncertain_version = None
            state.set_grant(write.change.grant)
            state.wanted = write.change.wanted
            state.is_overcommitted = write.change.apply(write.before, self._dispatcher).free < 0
            state.must_confirm = state.must_confirm and not self._row_within_limit(write)
        elif result.error.ran is Ran.UNKNOWN:
            state.uncertain_version = write.checked_version
            state.set_grant(min(state.committed, state.allowed, write.change.grant))

    def _row_within_limit(self, write: _PlannedWrite) -> bool:
        entity = self._view.current.get(Organisation, write.organisation)
        return entity is None or write.before.limit <= entity.limit

    def _new_value(self, write: _PlannedWrite) -> dict[str, Any]:
        stored = write.row.value if write.row else {}
        return {**stored, **write.change.apply(write.before, self._dispatcher).to_plain()}

    def _row_value(self, organisation: str, row: Row | None) -> AllotmentRow | None:
        if row is not None:
            return AllotmentRow.from_plain(row.value)
        entity = self._view.current.get(Organisation, organisation)
        is_known = entity is not None and self._view.is_fresh()
        return AllotmentRow(limit=entity.limit) if is_known else None  # type: ignore[union-attr]

    def _effective_waiting(self, state: _OrganisationState) -> int:
        """Return the number of waiting requests, or 1 if the last task ended recently.

        An organisation without running tasks thereby keeps a grant until it counts as idle.
        """
        is_idle = self._clock.now_ms() - state.last_active_ms >= _IDLE_AFTER_MS
        return state.waiting or int(not is_idle and not state.running)

    def _usable(self, organisation: str) -> int:
        state = self._state_of(organisation)
        entity = self._view.current.get(Organisation, organisation)
        return min(state.usable, entity.limit) if entity is not None else 0

    def _state_of(self, organisation: str) -> _OrganisationState:
        state = self._organisations.get(organisation)
        if state is None:
            state = self._organisations[organisation] = _OrganisationState(
                last_active_ms=self._clock.now_ms() - _IDLE_AFTER_MS
            )
        return state

    def _active_organisations(self) -> list[str]:
        return [
            organisation
            for organisation, state in self._organisations.items()
            if state.running
            or state.waiting
            or state.committed
            or state.wanted
            or state.uncertain_version is not None
        ]

    def _on_change(self, previous: Configuration, current: Configuration) -> None:
        has_gap = current.version != previous.version + 1
        for organisation, state in self._organisations.items():
            before = previous.get(Organisation, organisation)
            after = current.get(Organisation, organisation)
            if has_gap or before != after:
                is_lowered = before is None or after is None or after.limit < before.limit
                state.must_confirm = state.must_confirm or has_gap or is_lowered
                self._queue_rebalance(organisation)

    def _queue_demand_rebalance(self, organisation: str, state: _OrganisationState) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= state.next_demand_rebalance_ms:
            state.next_demand_rebalance_ms = now_ms + _MIN_DEMAND_INTERVAL_MS
            self._queue_rebalance(organisation)

    def _queue_rebalance(self, organisation: str) -> None:
        self._pending.add(organisation)
        self._wake.set()

    async def _queue_active_periodically(self) -> None:
        while True:
            await self._clock.sleep_ms(_REBALANCE_INTERVAL_MS)
            for organisation in self._active_organisations():
                self._queue_rebalance(organisation)

    async def _rebalance_forever(self) -> None:
        while True:
            await self._wake.wait()
            await self._clock.sleep_ms(_COALESCE_MS)
            organisations, self._pending = sorted(self._pending), set()
            self._wake = anyio.Event()
            await self.rebalance(organisations)
