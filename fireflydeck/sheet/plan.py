"""Planning of the steps that change the configuration to match a sheet."""

from collections.abc import Iterable
from enum import StrEnum

from attrs import evolve, frozen

from fireflydeck.configuration.rules import Problem, apply_edit, check_budget, check_change
from fireflydeck.core import Configuration, Entity, EntityKey
from fireflydeck.sheet.columns import COLUMNS
from fireflydeck.sheet.parse import Row, RowProblem, Sheet

__all__ = ["Plan", "Step", "StepKind", "plan"]


class StepKind(StrEnum):
    """Effect of a row of a sheet on its entity."""

    CREATE = "create"
    CHANGE = "change"
    REMOVE = "remove"
    KEEP = "keep"
    CONFLICT = "conflict"


@frozen(kw_only=True)
class Step:
    """Step of a plan, for one row of the sheet.

    Parameters
    ----------
    kind
        Effect of the step.
    key
        Key of the entity.
    row
        Line number of the row in the sheet.
    fields
        Names of the changed fields.
    entity
        The entity after the step; `None` if it is removed, absent or in conflict.
    entity_version
        Version at which the entity last changed; 0 if it does not exist.
    """

    kind: StepKind
    key: EntityKey
    row: int
    fields: tuple[str, ...] = ()
    entity: Entity | None = None
    entity_version: int = 0


@frozen(kw_only=True)
class Plan:
    """The steps of a sheet, or the problems for which it is refused.

    Parameters
    ----------
    base_version
        Version of the configuration that the plan applies to.
    sheet_version
        Version of the configuration that the sheet was exported from.
    steps
        One step for each row; empty if the sheet was refused before the rows were planned.
    problems
        Problems for which the sheet is refused; empty if the plan can be applied.
    """

    base_version: int
    sheet_version: int
    steps: tuple[Step, ...] = ()
    problems: tuple[RowProblem, ...] = ()

    @property
    def puts(self) -> tuple[Entity, ...]:
        """Entities that the plan creates or changes."""
        kinds = (StepKind.CREATE, StepKind.CHANGE)
        return tuple(step.entity for step in self.steps if step.kind in kinds and step.entity)

    @property
    def removes(self) -> tuple[EntityKey, ...]:
        """Keys of the entities that the plan removes."""
        return tuple(step.key for step in self.steps if step.kind is StepKind.REMOVE)

    @property
    def conflicts(self) -> tuple[Step, ...]:
        """Steps that are not applied because the entity was changed or removed after the export."""
        return tuple(step for step in self.steps if step.kind is StepKind.CONFLICT)


def plan(
    sheet: Sheet,
    configuration: Configuration,
    applied_version: int = 0,
    removed: frozenset[EntityKey] = frozenset(),
) -> Plan:
    r"""Return the plan that applies the sheet to the configuration.

    An entity that was changed or removed after the export of the sheet, and that differs from the
    sheet, is a conflict: it stays unchanged and is reported. Entities that the sheet does not name
    stay unchanged.

    Parameters
    ----------
    sheet
        The sheet to apply.
    configuration
        The snapshot that the plan applies to.
    applied_version
        Version of the newest sheet that was applied; an older sheet is refused.
    removed
        Keys of the entities that were removed after the export of the sheet.

    Examples
    --------
    >>> from fireflydeck.sheet.parse import parse_sheet
    >>> head = "# fireflydeck sheet, configuration 0"
    >>> sheet = parse_sheet(head + "\nkind,name,share\norganisation,museum,3\n").ok
    >>> [(step.kind.value, str(step.key)) for step in plan(sheet, Configuration()).steps]
    [('create', 'organisation:museum')]
    """
    result = Plan(base_version=configuration.version, sheet_version=sheet.version)
    problems = tuple(_check_version(sheet, configuration, applied_version))
    rows = [row for row in sheet.rows if row.key not in removed]
    problems += tuple(p for row in rows for p in _check_required_values(row, configuration))
    if problems:
        return evolve(result, problems=problems)
    steps = tuple(_plan_row(row, sheet, configuration, removed) for row in sheet.rows)
    result = evolve(result, steps=steps)
    return evolve(result, problems=tuple(_check_rules(result, configuration)))


def _check_version(
    sheet: Sheet, configuration: Configuration, applied_version: int
) -> Iterable[RowProblem]:
    if sheet.version < applied_version:
        allowed = f"{applied_version} or newer: a sheet exported at that version was applied"
        yield RowProblem(1, "", str(sheet.version), allowed)
    if sheet.version > configuration.version:
        allowed = f"at most {configuration.version}, the version in force"
        yield RowProblem(1, "", str(sheet.version), allowed)


def _check_required_values(row: Row, configuration: Configuration) -> Iterable[RowProblem]:
    if row.remove or configuration.find(row.key) is not None:
        return
    for column in COLUMNS[row.kind].values():
        if column.required and column.field not in row.values:
            yield RowProblem(row.number, column.name, "", f"a value for a new {row.kind.kind}")


def _plan_row(
    row: Row, sheet: Sheet, configuration: Configuration, removed: frozenset[EntityKey]
) -> Step:
    old = configuration.find(row.key)
    version = configuration.entity_version(row.key)
    step = Step(kind=StepKind.KEEP, key=row.key, row=row.number, entity_version=version)
    if row.remove:
        return step if old is None else _detect_conflict(evolve(step, kind=StepKind.REMOVE), sheet)
    if old is None and row.key in removed:
        return evolve(step, kind=StepKind.CONFLICT)
    if old is None:
        return _plan_creation(row, sheet, step)
    new = evolve(old, **row.values)
    fields = tuple(name for name in row.values if getattr(new, name) != getattr(old, name))
    if not fields:
        return evolve(step, entity=old)
    return _detect_conflict(evolve(step, kind=StepKind.CHANGE, fields=fields, entity=new), sheet)


def _plan_creation(row: Row, sheet: Sheet, step: Step) -> Step:
    entity = row.kind(name=row.name, **row.values)
    return evolve(step, kind=StepKind.CREATE, fields=tuple(row.values), entity=entity)


def _detect_conflict(step: Step, sheet: Sheet) -> Step:
    if step.entity_version <= sheet.version:
        return step
    return evolve(step, kind=StepKind.CONFLICT, entity=None)


def _check_rules(candidate: Plan, configuration: Configuration) -> Iterable[RowProblem]:
    problems = check_change(configuration, candidate.puts, candidate.removes)
    if not problems:
        after = apply_edit(configuration, candidate.puts, candidate.removes)
        problems = check_budget(configuration, after)
    rows = {step.key: step.row for step in candidate.steps}
    for problem in problems:
        yield _to_row_problem(problem, rows.get(problem.entity, 0))


def _to_row_problem(problem: Problem, row: int) -> RowProblem:
    column = _column_name(problem)
    value = problem.value if row else f"{problem.entity} {problem.value}"
    return RowProblem(row, column, value, problem.allowed)


def _column_name(problem: Problem) -> str:
    for kind, columns in COLUMNS.items():
        if kind.kind == problem.entity.kind:
            names = {column.field: column.name for column in columns.values()}
            return names.get(problem.field, problem.field)
    return problem.field
