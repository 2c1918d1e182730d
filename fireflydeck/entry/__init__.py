"""The entry role: caller interface, readiness, and construction of the process."""

from fireflydeck.entry.caller_interface import CallerInterface
from fireflydeck.entry.intake import Intake, SubmissionOutcome
from fireflydeck.entry.role import run_entry
from fireflydeck.entry.routing import QueueIndex

__all__ = [
    "CallerInterface",
    "Intake",
    "QueueIndex",
    "SubmissionOutcome",
    "run_entry",
]
