"""Which backend server a task is started on."""

from collections.abc import Iterable

from attrs import frozen

from fireflydeck.core.placement import Resources
from fireflydeck.workload.specification import StepSpec

__all__ = ["Candidate", "choose_server"]


@frozen(kw_only=True)
class Candidate:
    """A backend server that takes work, as the choice sees it.

    Parameters
    ----------
    same_step
        Tasks of the step (of one occurrence) that are there.
    was_avoided
        Whether the task failed there before.
    disturbs
        Whether serving tasks would be disturbed there by this task, or disturb it.
    is_due
        Whether its VM goes down for maintenance before long.
    splits_step
        Whether the step, whose tasks should be in one rack, would run in one rack more.
    """

    server_id: str
    free: Resources
    labels: frozenset[str]
    rack: str
    same_step: int = 0
    was_avoided: bool = False
    disturbs: bool = False
    is_due: bool = False
    splits_step: bool = False


def choose_server(step: StepSpec, candidates: Iterable[Candidate]) -> str | None:
    """Return the id of the best candidate with room, or `None`.

    Preferred are servers where the task has not failed, where it disturbs nobody, for long-running
    tasks those that stay up, near its data, in the rack of its step, and then the fullest ones, so
    that the others become idle and their VMs free to move.
    """
    demand = step.demand.without_cpu() if step.fill else step.demand
    best: Candidate | None = None
    for candidate in candidates:
        if not _is_allowed(step, candidate) or not candidate.free.covers(demand):
            continue
        if best is None or _preference(step, candidate) < _preference(step, best):
            best = candidate
    return best.server_id if best else None


def _is_allowed(step: StepSpec, candidate: Candidate) -> bool:
    if step.required_label and step.required_label not in candidate.labels:
        return False
    return step.max_per_server <= 0 or candidate.same_step < step.max_per_server


def _preference(step: StepSpec, candidate: Candidate) -> tuple[bool, bool, bool, bool, bool, int]:
    is_far = bool(step.data_rack) and candidate.rack != step.data_rack
    is_short = step.long_running and candidate.is_due
    return (
        candidate.was_avoided,
        candidate.disturbs,
        is_short,
        is_far,
        candidate.splits_step,
        candidate.free.cpu,
    )
