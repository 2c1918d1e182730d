"""Decision records, their storage, and the search for the records about a subject."""

from fireflydeck.history.decision import Decision, DecisionBatch, Input, Subject, SubjectKind
from fireflydeck.history.explain import Explainer
from fireflydeck.history.history import History, HistoryOptions

__all__ = [
    "Decision",
    "DecisionBatch",
    "Explainer",
    "History",
    "HistoryOptions",
    "Input",
    "Subject",
    "SubjectKind",
]
