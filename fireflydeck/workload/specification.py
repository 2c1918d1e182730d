"""What a caller asks for: jobs, their steps and tasks."""

from typing import Any

import msgpack
from attrs import asdict, frozen

from fireflydeck.core.placement import Resources

__all__ = [
    "JobSpec",
    "StepSpec",
    "TaskKey",
    "decode_job_spec",
    "encode_job_spec",
]


@frozen(kw_only=True)
class StepSpec:
    """Equal tasks of a job.

    Parameters
    ----------
    estimated_ms
        The caller's rough estimate of a task's duration.
    depends_on
        Numbers of earlier steps whose tasks must all be done first.
    gang
        Whether the tasks work only together.
    same_rack
        Whether the tasks are slower when they run on more than one rack.
    required_label
        Label that the backend server must have; empty for none.
    data_rack
        Rack near the data; elsewhere the tasks are slower; empty for none.
    max_per_server
        The most tasks of one occurrence on one backend server; 0 for no bound.
    speculative
        Whether copies of a task may run in parallel.
    long_running
        Whether the tasks run until the job is cancelled.
    target_tail_ms
        Bound on the response times' tail of a long-running task; 0 for none.
    fill
        Whether the tasks use only the processor time that others leave.
    max_unavailable
        The most tasks that may be away at a time by the system's own doing; `None` for no bound.
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
    """A job as it was accepted.

    Parameters
    ----------
    organisation
        Whose key came with it; empty on public queues.
    payload
        The caller's text that each task is started with.
    accepted_ms
        Unix time of the acceptance.
    first_due_ms
        Unix time at which occurrence 0 is due; 0 for at once.
    occurrences
        How often the steps run; 0 for a job that is not scheduled.
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
    """Identity of a task: job, occurrence, step and index."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def encode_job_spec(spec: JobSpec) -> bytes:
    """Encode a job for its row."""
    return msgpack.packb(asdict(spec, filter=lambda _, value: value not in ("", 0, (), None)))


def decode_job_spec(content: bytes) -> JobSpec:
    """Decode a job's row.

    Raises
    ------
    ValueError
        If the row is not one of ours.
    """
    try:
        document = msgpack.unpackb(content)
        steps = tuple(_decode_step(step) for step in document.pop("steps"))
        return JobSpec(**{"organisation": "", "payload": "", **document}, steps=steps)
    except (TypeError, KeyError, AttributeError, ValueError) as error:
        raise ValueError(f"not a job's row: {error!r}") from error


def _decode_step(document: dict[str, Any]) -> StepSpec:
    demand = Resources(**document.pop("demand", {}))
    depends_on = tuple(document.pop("depends_on", ()))
    return StepSpec(**document, demand=demand, depends_on=depends_on)
