"""Service that takes data centres out of service for their maintenance windows."""

from typing import Any

from anyio.abc import TaskGroup
from attrs import evolve
from expression import Ok, Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.controller.changes import ConfigurationService
from fireflydeck.controller.edit import Edit, EditBuilder, Refusal
from fireflydeck.controller.edits import with_expected_version
from fireflydeck.core import Clock, Configuration, DataCentre, EntityKey
from fireflydeck.core.converter import ConversionError, from_plain, to_plain
from fireflydeck.kernel import Registry, Service
from fireflydeck.policy.maintenance_windows import (
    StartedWindow,
    WindowAction,
    WindowDecision,
    plan_windows,
)
from fireflydeck.tables import ABSENT, Check, Delete, Put, Row, Transaction

__all__ = ["WindowService"]

_TABLE = "maintenance"
_PREFIX = "window/"
_RULE_BY_ACTION = {WindowAction.TAKE_OUT: "window-begins", WindowAction.BRING_IN: "window-ends"}


class WindowService(Service):
    """Carries out the decisions of `plan_windows`.

    A window counts as started from `lead_ms` before its start, when its data centre is taken out.
    A data centre is changed in the same transaction in which the row of the started window is
    written or removed. If several controllers act on the same window, only one of their commits
    succeeds.

    Parameters
    ----------
    view
        View of the current configuration. The service is inactive while the view is not fresh.
    changes
        Service that commits the changes of data centres.
    lead_ms
        Time, in milliseconds, by which a data centre is taken out of service before the start of
        its window.
    interval_ms
        Time between two rounds, in milliseconds.
    """

    def __init__(
        self,
        *,
        view: ConfigurationView,
        changes: ConfigurationService,
        clock: Clock,
        lead_ms: int = 600_000,
        interval_ms: int = 2_000,
    ) -> None:
        self._view = view
        self._changes = changes
        self._clock = clock
        self._lead_ms = lead_ms
        self._interval_ms = interval_ms
        self._started_windows: dict[str, StartedWindow] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "maintenance-windows"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the rounds in the background."""
        tasks.start_soon(self._run)

    def state(self) -> dict[str, Any]:
        """Return the data centre of each window that has started."""
        return {
            name: started.data_centre for name, started in sorted(self._started_windows.items())
        }

    async def run_once(self) -> None:
        """Run one round over the maintenance windows."""
        if not self._view.is_fresh():
            return
        configuration = self._view.current
        scanned = await self._changes.tables.scan(_TABLE, prefix=_PREFIX)
        if scanned.is_error():
            return
        rows = {row.key.removeprefix(_PREFIX): row for row in scanned.ok}
        try:
            self._started_windows = {
                name: from_plain(row.value, StartedWindow) for name, row in rows.items()
            }
        except ConversionError:
            return
        # A row can be newer than the configuration that was read before it. A later round decides.
        if any(
            window.entity_version > configuration.version
            for window in self._started_windows.values()
        ):
            return
        wall_ms = self._clock.wall_ms()
        for decision in plan_windows(configuration, wall_ms, self._lead_ms, self._started_windows):
            await self._execute(decision, rows.get(decision.window))

    async def _run(self) -> None:
        while True:
            await self.run_once()
            await self._clock.sleep_ms(self._interval_ms)

    async def _execute(self, decision: WindowDecision, row: Row | None) -> None:
        if decision.action in _RULE_BY_ACTION:
            await self._changes.apply(_edit_builder(decision, row), origin="controller")
        else:
            await self._changes.tables.commit(_row_change(decision, row, decision.entity_version))


def _edit_builder(decision: WindowDecision, row: Row | None) -> EditBuilder:
    key = EntityKey(DataCentre.kind, decision.data_centre)
    in_service = decision.action is WindowAction.BRING_IN

    def build(base: Configuration) -> Result[Edit, Refusal]:
        data_centre = base.get(DataCentre, decision.data_centre)
        if data_centre is None:
            return Ok(Edit())
        changed = evolve(data_centre, in_service=in_service)
        extra = _row_change(decision, row, base.version + 1)
        return Ok(Edit(puts=(changed,), rule=_RULE_BY_ACTION[decision.action], extra=extra))

    return with_expected_version(key, decision.entity_version, build)


def _row_change(decision: WindowDecision, row: Row | None, version: int) -> Transaction:
    key = _PREFIX + decision.window
    checks = (Check(_TABLE, key, row.version if row else ABSENT),)
    if decision.action in (WindowAction.BRING_IN, WindowAction.FORGET):
        return Transaction(checks=checks, deletes=(Delete(_TABLE, key),))
    started = StartedWindow(
        window=decision.window, data_centre=decision.data_centre, entity_version=version
    )
    return Transaction(checks=checks, puts=(Put(_TABLE, key, to_plain(started)),))
