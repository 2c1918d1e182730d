"""Decision records: a decision with its rule, outcome and inputs."""

from enum import StrEnum

from attrs import field, frozen

__all__ = ["Decision", "DecisionBatch", "Input", "Subject", "SubjectKind"]


class SubjectKind(StrEnum):
    """Kinds of subjects whose decisions can be searched."""

    REQUEST = "request"
    VM = "vm"
    ORGANISATION = "organisation"
    POOL = "pool"
    MAINTENANCE_WINDOW = "maintenance_window"


@frozen
class Subject:
    """A request or entity that a decision was about."""

    kind: SubjectKind
    name: str


@frozen
class Input:
    """One input of the rule, as text."""

    name: str
    value: str


@frozen(kw_only=True)
class Decision:
    """One decision. It contains names of rules and changes, and never the name of a person.

    Parameters
    ----------
    number
        Sequence number of the decision; increases with each decision of the member.
    wall_ms
        Wall time of the decision in milliseconds.
    member
        Name of the member that made the decision.
    subjects
        Subjects that the decision was about.
    rule
        Name of the rule.
    outcome
        Description of the outcome in one line, for operators.
    step
        Processing step in which the decision was made.
    peer
        Name of the peer involved; empty if there is none.
    version
        Configuration version in force.
    inputs
        Inputs of the rule.
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
        """Return whether the decision was about the subject."""
        return subject in self.subjects


@frozen
class DecisionBatch:
    """Decisions of one member that are stored as one object."""

    decisions: tuple[Decision, ...]
