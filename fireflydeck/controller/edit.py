"""Edits of the configuration and their refusals."""

from collections.abc import Awaitable, Callable

from attrs import field, frozen
from expression import Error, Result

from fireflydeck.configuration.rules import Problem
from fireflydeck.core import Configuration, Entity, EntityKey, Failure, Reason
from fireflydeck.sheet import RowProblem
from fireflydeck.tables import Transaction

__all__ = ["AsyncEditBuilder", "Conflict", "Edit", "EditBuilder", "Refusal", "refuse"]

_STEP = "controller.edit"


@frozen(kw_only=True)
class Edit:
    """Entities that a change writes and removes.

    Parameters
    ----------
    rule
        Name of the rule that caused the change, for the decision records.
    extra
        Checks and writes of further rows in the same transaction.
    """

    puts: tuple[Entity, ...] = ()
    removes: tuple[EntityKey, ...] = ()
    rule: str = ""
    extra: Transaction = field(factory=Transaction)

    @property
    def is_empty(self) -> bool:
        """Whether the edit changes nothing."""
        return not (self.puts or self.removes or self.extra.puts or self.extra.deletes)


@frozen(kw_only=True)
class Conflict:
    """An entity whose version differs from the expected one."""

    entity: EntityKey
    entity_version: int
    expected_version: int


@frozen(kw_only=True)
class Refusal:
    """Reason why a change was refused, failed or has an unknown outcome.

    Parameters
    ----------
    failure
        Reason and step; `ran` states whether the change may have taken effect.
    problems
        All problems of the change, each with its entity and field.
    row_problems
        All problems of a sheet, each with its row and column.
    conflict
        The entity with an unexpected version, if that is the reason.
    """

    failure: Failure
    problems: tuple[Problem, ...] = ()
    row_problems: tuple[RowProblem, ...] = ()
    conflict: Conflict | None = None


EditBuilder = Callable[[Configuration], Result[Edit, Refusal]]
"""Builds an edit from a snapshot; called again with a newer snapshot after a lost race."""

AsyncEditBuilder = Callable[[Configuration], Awaitable[Result[Edit, Refusal]]]
"""An `EditBuilder` that reads further rows of the store."""


def refuse(reason: Reason, detail: str, step: str = _STEP) -> Result[Edit, Refusal]:
    """Return a refusal with a reason and a one-line explanation for the operator."""
    return Error(Refusal(failure=Failure(reason, step=step, detail=detail)))
