"""Decision records: what was decided, by which rule, from which inputs."""

from enum import StrEnum

from attrs import field, frozen

__all__ = ["Decision", "DecisionBatch", "Input", "Subject", "SubjectKind"]


class SubjectKind(StrEnum):
    """Kinds of subjects that can be explained."""

    REQUEST = "request"
    VM = "vm"
    ORGANISATION = "organisation"
    POOL = "pool"
    MAINTENANCE_WINDOW = "maintenance_window"


@frozen
class Subject:
    """What a decision was about."""

    kind: SubjectKind
    name: str


@frozen
class Input:
    """One input that the rule saw."""

    name: str
    value: str


@frozen(kw_only=True)
class Decision:
    """One decision; it names rules and changes, never a person.

    Parameters
    ----------
    number
        Grows with each decision of the member.
    wall_ms
        Wall time of the decision.
    member
        Member that decided.
    rule
        Name of the rule.
    outcome
        One line for people.
    step
        The step at which it was decided.
    peer
        The peer involved, if any.
    version
        Configuration version in force.
    """

    number: int
    wall_ms: int
    member: str
    subjects: tuple[Subject, ...]
    rule: str
    outcome: str
    step: str
    peer: str = ""
    version: int = 0
    inputs: tuple[Input, ...] = field(default=(), converter=tuple)

    def concerns(self, subject: Subject) -> bool:
        """Tell whether the decision was about the subject."""
        return subject in self.subjects


@frozen
class DecisionBatch:
    """Decisions of one member that are stored together."""

    decisions: tuple[Decision, ...]
