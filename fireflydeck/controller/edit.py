"""An edit of the configuration and the refusal of one."""

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
    """What a change puts and removes.

    Parameters
    ----------
    rule
        Name of the rule behind the change, for explanations.
    extra
        Checks and writes of other rows in the same transaction.
    """

    puts: tuple[Entity, ...] = ()
    removes: tuple[EntityKey, ...] = ()
    rule: str = ""
    extra: Transaction = field(factory=Transaction)

    @property
    def is_empty(self) -> bool:
        """Whether nothing changes."""
        return not (self.puts or self.removes or self.extra.puts or self.extra.deletes)


@frozen(kw_only=True)
class Conflict:
    """An entity that is not at the version that the operator expected."""

    entity: EntityKey
    entity_version: int
    expected_version: int


@frozen(kw_only=True)
class Refusal:
    """Why a change was not made, or why its outcome is unknown.

    Parameters
    ----------
    failure
        Reason and step; `ran` tells whether the change may have taken effect.
    problems
        All problems of the change by entity and field.
    row_problems
        All problems of a sheet by row and column.
    conflict
        The entity in conflict, if that is the reason.
    """

    failure: Failure
    problems: tuple[Problem, ...] = ()
    row_problems: tuple[RowProblem, ...] = ()
    conflict: Conflict | None = None


EditBuilder = Callable[[Configuration], Result[Edit, Refusal]]
"""Makes an edit for a snapshot; called again with a newer one after a lost race."""

AsyncEditBuilder = Callable[[Configuration], Awaitable[Result[Edit, Refusal]]]
"""As `EditBuilder`, for an edit that depends on further rows of the store."""


def refuse(reason: Reason, detail: str, step: str = _STEP) -> Result[Edit, Refusal]:
    """Return a refusal with a reason and a line for people."""
    return Error(Refusal(failure=Failure(reason, step=step, detail=detail)))
