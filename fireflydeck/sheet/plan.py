"""Plans the steps that bring the configuration to a sheet."""

from collections.abc import Iterable
from enum import StrEnum

from attrs import evolve, frozen

from fireflydeck.configuration.rules import Problem, apply_edit, check_budget, check_change
from fireflydeck.core import Configuration, Entity, EntityKey
from fireflydeck.sheet.columns import COLUMNS
from fireflydeck.sheet.parse import Row, RowProblem, Sheet

__all__ = ["Plan", "Step", "StepKind", "plan"]


class StepKind(StrEnum):
    """What a sheet does to an entity."""

    CREATE = "create"
    CHANGE = "change"
    REMOVE = "remove"
    KEEP = "keep"
    CONFLICT = "conflict"


@frozen(kw_only=True)
class Step:
    """One step of a plan.

    Parameters
    ----------
    row
        Line of the sheet.
    fields
        Names of the changed fields.
    entity
        The entity after the step; `None` if it is removed or in conflict.
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
        """Entities that the plan removes."""
        return tuple(step.key for step in self.steps if step.kind is StepKind.REMOVE)

    @property
    def conflicts(self) -> tuple[Step, ...]:
        """Rows that are not applied because the entity changed after the export."""
        return tuple(step for step in self.steps if step.kind is StepKind.CONFLICT)


def plan(
    sheet: Sheet,
    configuration: Configuration,
    applied_version: int = 0,
    removed: frozenset[EntityKey] = frozenset(),
) -> Plan:
    r"""Return the plan of the sheet against the configuration.

    An entity that changed or was removed after the sheet's export, and differs from the sheet, is
    a conflict: it is kept as it is and reported. Entities that the sheet does not name are left
    alone.

    Parameters
    ----------
    sheet
        The sheet.
    configuration
        The snapshot that the plan applies to.
    applied_version
        Version of the newest sheet that was applied; an older sheet is refused.
    removed
        Entities that were removed after the sheet's export.

    Examples
    --------
    >>> from fireflydeck.sheet.parse import parse_sheet
    >>> head = "# fireflydeck sheet, configuration 0"
    >>> sheet = parse_sheet(head + "\nkind,name,share\norganisation,museum,3\n").ok
    >>> [(step.kind.value, str(step.key)) for step in plan(sheet, Configuration()).steps]
    [('create', 'organisation:museum')]
    """
    made = Plan(base_version=configuration.version, sheet_version=sheet.version)
    problems = tuple(_check_version(sheet, configuration, applied_version))
    created = [row for row in sheet.rows if row.key not in removed]
    problems += tuple(p for row in created for p in _check_new(row, configuration))
    if problems:
        return evolve(made, problems=problems)
    steps = tuple(_plan_row(row, sheet, configuration, removed) for row in sheet.rows)
    made = evolve(made, steps=steps)
    return evolve(made, problems=tuple(_check_rules(made, configuration)))


def _check_version(
    sheet: Sheet, configuration: Configuration, applied_version: int
) -> Iterable[RowProblem]:
    if sheet.version < applied_version:
        allowed = f"{applied_version} or newer: a sheet exported at that version was applied"
        yield RowProblem(1, "", str(sheet.version), allowed)
    if sheet.version > configuration.version:
        allowed = f"at most {configuration.version}, the version in force"
        yield RowProblem(1, "", str(sheet.version), allowed)


def _check_new(row: Row, configuration: Configuration) -> Iterable[RowProblem]:
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
        return step if old is None else _guard(evolve(step, kind=StepKind.REMOVE), sheet)
    if old is None and row.key in removed:
        return evolve(step, kind=StepKind.CONFLICT)
    if old is None:
        return _plan_creation(row, sheet, step)
    new = evolve(old, **row.values)
    fields = tuple(name for name in row.values if getattr(new, name) != getattr(old, name))
    if not fields:
        return evolve(step, entity=old)
    return _guard(evolve(step, kind=StepKind.CHANGE, fields=fields, entity=new), sheet)


def _plan_creation(row: Row, sheet: Sheet, step: Step) -> Step:
    entity = row.kind(name=row.name, **row.values)
    return evolve(step, kind=StepKind.CREATE, fields=tuple(row.values), entity=entity)


def _guard(step: Step, sheet: Sheet) -> Step:
    if step.entity_version <= sheet.version:
        return step
    return evolve(step, kind=StepKind.CONFLICT, entity=None)


def _check_rules(made: Plan, configuration: Configuration) -> Iterable[RowProblem]:
    problems = check_change(configuration, made.puts, made.removes)
    if not problems:
        after = apply_edit(configuration, made.puts, made.removes)
        problems = check_budget(configuration, after)
    rows = {step.key: step.row for step in made.steps}
    for problem in problems:
        yield _row_problem(problem, rows.get(problem.entity, 0))


def _row_problem(problem: Problem, row: int) -> RowProblem:
    column = _column_name(problem)
    value = problem.value if row else f"{problem.entity} {problem.value}"
    return RowProblem(row, column, value, problem.allowed)


def _column_name(problem: Problem) -> str:
    for kind, columns in COLUMNS.items():
        if kind.kind == problem.entity.kind:
            names = {column.field: column.name for column in columns.values()}
            return names.get(problem.field, problem.field)
    return problem.field
