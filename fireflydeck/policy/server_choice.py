"""Choice of the backend server on which a task is started."""

from collections.abc import Iterable
from enum import Enum
from functools import partial

from attrs import field, frozen

from fireflydeck.core.placement import Resources
from fireflydeck.workload.specification import StepSpec

__all__ = ["BestFit", "Candidate", "choose_server"]


class BestFit(Enum):
    """Rule that selects one of several equally preferred servers.

    `FREE_CPU`: the one with the least free CPU. `DOMINANT_RESOURCE`: the one that has the smallest
    part of its CPU or of its memory left after the start, whichever is smaller. So tasks with
    little memory go to servers with free cores and full memory, which no others can use.
    """

    FREE_CPU = "free cpu"
    DOMINANT_RESOURCE = "dominant resource"


@frozen(kw_only=True)
class Candidate:
    """A backend server that accepts work, with the properties that matter for one task.

    Parameters
    ----------
    free
        Resources that are not in use by tasks.
    capacity
        All resources of the server; needed only for `BestFit.DOMINANT_RESOURCE`.
    same_step_tasks
        Number of tasks of the same step and occurrence on the server.
    has_failed_before
        Whether the task failed on the server before.
    interferes
        Whether the task would interfere with serving tasks on the server, or they with it.
    has_pending_maintenance
        Whether the maintenance of the server's VM is pending.
    splits_step
        Whether a step whose tasks should be in one rack would get tasks in a further rack.
    """

    server_id: str
    free: Resources
    labels: frozenset[str]
    rack: str
    capacity: Resources = field(factory=Resources)
    same_step_tasks: int = 0
    has_failed_before: bool = False
    interferes: bool = False
    has_pending_maintenance: bool = False
    splits_step: bool = False


def choose_server(
    step: StepSpec,
    candidates: Iterable[Candidate],
    best_fit: BestFit = BestFit.FREE_CPU,
) -> str | None:
    """Return the id of the best candidate with room for a task, or `None`.

    Preferred are, in this order, servers on which the task has not failed, on which it doesn't
    interfere with other tasks, without pending maintenance if the task is long-running, in the rack
    of its data, and in a rack that the step uses already. Of otherwise equal servers, the fullest
    one by `best_fit` is chosen, so that other servers become idle and their VMs can move.
    """
    demand = step.demand.without_cpu() if step.fill else step.demand
    allowed = [
        candidate
        for candidate in candidates
        if _is_allowed(step, candidate) and candidate.free.covers(demand)
    ]
    best = min(allowed, key=partial(_preference, step, demand, best_fit), default=None)
    return best.server_id if best else None


def _is_allowed(step: StepSpec, candidate: Candidate) -> bool:
    if step.required_label and step.required_label not in candidate.labels:
        return False
    return step.max_per_server <= 0 or candidate.same_step_tasks < step.max_per_server


def _preference(
    step: StepSpec, demand: Resources, best_fit: BestFit, candidate: Candidate
) -> tuple[bool, bool, bool, bool, bool, float]:
    is_far_from_data = bool(step.data_rack) and candidate.rack != step.data_rack
    goes_down_soon = step.long_running and candidate.has_pending_maintenance
    return (
        candidate.has_failed_before,
        candidate.interferes,
        goes_down_soon,
        is_far_from_data,
        candidate.splits_step,
        candidate.free.cpu if best_fit is BestFit.FREE_CPU else _part_left(demand, candidate),
    )


def _part_left(demand: Resources, candidate: Candidate) -> float:
    """Return the part of the scarcer resource, CPU or memory, that is left after a start."""
    free, capacity = candidate.free, candidate.capacity
    cpu_left = (free.cpu - demand.cpu) / (capacity.cpu or 1)
    memory_left = (free.memory_mb - demand.memory_mb) / (capacity.memory_mb or 1)
    return min(cpu_left, memory_left)
