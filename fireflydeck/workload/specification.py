"""Specifications of jobs and their steps as callers submit them, and the identity of tasks."""

from typing import Any

import msgpack
from attrs import asdict, frozen

from fireflydeck.core.placement import Resources
from fireflydeck.core.typed_values import mistyped_fields

__all__ = [
    "JobSpec",
    "StepSpec",
    "TaskKey",
    "decode_job_spec",
    "encode_job_spec",
]

_MAX_TASKS = 10_000
"""Largest number of tasks of a step."""


@frozen(kw_only=True)
class StepSpec:
    """Step of a job: a number of identical tasks.

    Parameters
    ----------
    count
        Number of tasks.
    demand
        Resources that one task needs.
    estimated_ms
        The caller's rough estimate of the duration of a task, in milliseconds.
    depends_on
        Numbers of the earlier steps whose tasks must all be done first.
    gang
        Whether the tasks can make progress only while all of them run.
    same_rack
        Whether the tasks are slower when they run on more than one rack.
    required_label
        Label that the backend server must have; empty if none is required.
    data_rack
        Rack near the data, outside which the tasks are slower; empty if no rack is preferred.
    max_per_server
        Maximum number of tasks of one occurrence on one backend server; 0 for no bound.
    speculative
        Whether copies of a task may run in parallel.
    long_running
        Whether the tasks run until the job is cancelled.
    target_tail_ms
        Bound on the percentile latency of a long-running task, in milliseconds; 0 for none. Tasks
        with such a bound are called serving tasks.
    fill
        Whether the tasks are best-effort tasks, called fill tasks: they use only processor time
        that other tasks don't use.
    max_unavailable
        Maximum number of tasks that the system itself may make unavailable at a time; `None` for
        no bound.
    """

    count: int
    demand: Resources
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_tail_ms: int = 0
    fill: bool = False
    max_unavailable: int | None = None


@frozen(kw_only=True)
class JobSpec:
    """Job as it was accepted.

    Parameters
    ----------
    organisation
        Organisation whose key was sent with the job; empty on public queues.
    payload
        Text from the caller that is passed to each task at its start.
    accepted_ms
        Unix time when the job was accepted, in milliseconds.
    first_due_ms
        Scheduled Unix time of occurrence 0, in milliseconds; 0 for an immediate start.
    interval_ms
        Time between the scheduled times of two occurrences, in milliseconds.
    occurrences
        Number of times that the steps run; 0 for a job without a schedule, whose steps run once.
    """

    job_id: str
    queue: str
    organisation: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0


@frozen(order=True)
class TaskKey:
    """Identity of a task: job, occurrence, step and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def encode_job_spec(spec: JobSpec) -> bytes:
    """Encode a job for its row; empty and zero fields are left out."""
    return msgpack.packb(asdict(spec, filter=lambda _, value: value not in ("", 0, (), None)))


def decode_job_spec(content: bytes) -> JobSpec:
    """Decode the row of a job.

    Raises
    ------
    ValueError
        If the row does not hold a job: a field is missing, unknown or of another type, or a step
        can't be carried out.
    """
    try:
        document = msgpack.unpackb(content)
        steps = tuple(_decode_step(step) for step in document.pop("steps"))
        spec = JobSpec(**{"organisation": "", "payload": "", **document}, steps=steps)
    except (TypeError, KeyError, AttributeError, ValueError) as error:
        raise ValueError(f"not a job's row: {type(error).__name__}") from error
    if mistyped_fields(spec) or not all(map(_is_valid_step, steps, range(len(steps)))):
        raise ValueError("not a job's row: a field is invalid")
    return spec


def _decode_step(document: dict[str, Any]) -> StepSpec:
    demand = Resources(**document.pop("demand", {}))
    depends_on = tuple(document.pop("depends_on", ()))
    return StepSpec(**document, demand=demand, depends_on=depends_on)


def _is_valid_step(step: StepSpec, number: int) -> bool:
    """Return whether a step has tasks, and waits only for steps with a smaller number."""
    return 0 < step.count <= _MAX_TASKS and all(0 <= other < number for other in step.depends_on)
