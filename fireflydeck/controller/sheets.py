"""Checking, planning and applying of sheets against the current configuration."""

from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.controller.changes import ConfigurationService
from fireflydeck.controller.edit import Edit, Refusal
from fireflydeck.core import Configuration, EntityKey, Failure, Reason
from fireflydeck.sheet import Plan, RowProblem, Sheet, parse_sheet, plan
from fireflydeck.tables import ABSENT, Check, Put, Row, TableService, Transaction

__all__ = ["AppliedPlan", "SheetService"]

_SHEETS_TABLE = "sheets"
_APPLIED_KEY = "applied"


@frozen(kw_only=True)
class AppliedPlan:
    """A plan that was applied, and the version of the configuration that includes it."""

    plan: Plan
    version: int


@frozen(kw_only=True)
class _SheetHistory:
    """Last applied sheet, and the entities that were removed since a sheet was exported."""

    applied: Row | None
    removed: frozenset[EntityKey]

    @property
    def applied_version(self) -> int:
        """Version of the last applied sheet; 0 if none was applied."""
        return self.applied.value["sheet_version"] if self.applied else 0


class SheetService:
    """Checks, plans and applies sheets.

    Parameters
    ----------
    changes
        Service that commits the edit of a plan.
    tables
        Table service that holds the row of the last applied sheet.
    """

    def __init__(self, changes: ConfigurationService, tables: TableService) -> None:
        self._changes = changes
        self._tables = tables

    async def plan(self, text: str) -> Result[Plan, Refusal]:
        """Return the plan of a sheet without applying it, or a refusal with all problems."""
        parsed = _parse(text)
        if parsed.is_error():
            return Error(parsed.error)
        loaded = await self._changes.load()
        if loaded.is_error():
            return Error(loaded.error)
        history = await self._history(parsed.ok)
        return history.bind(lambda known_history: _make_plan(parsed.ok, loaded.ok, known_history))

    async def apply(self, text: str) -> Result[AppliedPlan, Refusal]:
        """Apply all rows of a sheet that are not in conflict, in one change; on a refusal, none."""
        parsed = _parse(text)
        if parsed.is_error():
            return Error(parsed.error)
        plans: list[Plan] = []

        async def build(base: Configuration) -> Result[Edit, Refusal]:
            # The history is read after the snapshot: any change that the history misses is newer
            # than the snapshot too and makes the commit fail.
            history = await self._history(parsed.ok)
            new_plan = history.bind(
                lambda known_history: _make_plan(parsed.ok, base, known_history)
            )
            if new_plan.is_error():
                return Error(new_plan.error)
            plans.append(new_plan.ok)
            return Ok(_build_edit(new_plan.ok, history.ok))

        result = await self._changes.apply_async(build, origin="sheet")
        return result.map(lambda committed: AppliedPlan(plan=plans[-1], version=committed.version))

    async def _history(self, sheet: Sheet) -> Result[_SheetHistory, Refusal]:
        applied = await self._tables.get(_SHEETS_TABLE, _APPLIED_KEY)
        if applied.is_error():
            return Error(Refusal(failure=applied.error))
        removed = await self._removed_since(sheet.version)
        return removed.map(lambda keys: _SheetHistory(applied=applied.ok, removed=keys))

    async def _removed_since(self, version: int) -> Result[frozenset[EntityKey], Refusal]:
        removed: set[EntityKey] = set()
        last_read = version
        while True:
            read = await self._changes.store.changes_since(last_read)
            if read.is_error():
                return Error(Refusal(failure=read.error))
            if not read.ok:
                return Ok(frozenset(removed))
            if read.ok[0].version != last_read + 1:
                return Error(_sheet_too_old(version, read.ok[0].version))
            for change in read.ok:
                removed |= set(change.removes)
            last_read = read.ok[-1].version


def _parse(text: str) -> Result[Sheet, Refusal]:
    return parse_sheet(text).map_error(_refusal)


def _make_plan(sheet: Sheet, base: Configuration, history: _SheetHistory) -> Result[Plan, Refusal]:
    new_plan = plan(sheet, base, history.applied_version, history.removed)
    return Error(_refusal(new_plan.problems)) if new_plan.problems else Ok(new_plan)


def _refusal(problems: tuple[RowProblem, ...]) -> Refusal:
    detail = f"the sheet has {len(problems)} problems; nothing was changed"
    failure = Failure(Reason.INVALID_CHANGE, step="controller.sheet", detail=detail)
    return Refusal(failure=failure, row_problems=problems)


def _build_edit(new_plan: Plan, history: _SheetHistory) -> Edit:
    row = history.applied
    extra = Transaction()
    if row is None or row.value["sheet_version"] != new_plan.sheet_version:
        check = Check(_SHEETS_TABLE, _APPLIED_KEY, row.version if row else ABSENT)
        value = {"sheet_version": new_plan.sheet_version}
        extra = Transaction(checks=(check,), puts=(Put(_SHEETS_TABLE, _APPLIED_KEY, value),))
    return Edit(puts=new_plan.puts, removes=new_plan.removes, rule="sheet", extra=extra)


def _sheet_too_old(version: int, oldest: int) -> Refusal:
    allowed = f"{oldest - 1} or newer: removals before that are no longer known; export again"
    return _refusal((RowProblem(1, "", str(version), allowed),))
