"""Builders of jobs, their queue and their stored rows."""

from typing import Any

from attrs import evolve

from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.core.placement import Resources
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.workload.lifecycle import Job, create_due_occurrences
from fireflydeck.workload.records import cancellation_key, job_key
from fireflydeck.workload.specification import JobSpec, StepSpec, encode_job_spec

__all__ = [
    "SERVER_CAPACITY",
    "JOB_ID",
    "accept_job",
    "build_job",
    "build_queue",
    "build_spec",
    "build_step",
    "cancel_job",
]

JOB_ID = "00000000000000a1"
SERVER_CAPACITY = Resources(32_000, 65_536, 0)


def build_queue(**fields: Any) -> JobQueue:
    """Return the queue to which the jobs of `build_spec` belong."""
    default = JobQueue(
        name="swatches",
        host="paint.example",
        path_prefix="/swatch/",
        pool="paint",
        slack_factor=1.6,
        target_latency_ms=600,
    )
    return evolve(default, **fields)


def build_step(**fields: Any) -> StepSpec:
    """Return a step of a job, with one short task."""
    default = StepSpec(count=1, demand=Resources(2000, 1000), estimated_ms=600)
    return evolve(default, **fields)


def build_spec(*steps: StepSpec, **fields: Any) -> JobSpec:
    """Return a job specification with the given steps, or one default step."""
    default = JobSpec(
        job_id=JOB_ID,
        queue="swatches",
        organisation="museum",
        payload="text",
        steps=steps or (build_step(),),
    )
    return evolve(default, **fields)


def build_job(*steps: StepSpec, **fields: Any) -> Job:
    """Return a job accepted at time 0, with the tasks of its first occurrence created."""
    job = Job(build_spec(*steps, **fields), stored_version=1, accepted_at_ms=0)
    create_due_occurrences(job, wall_ms=0)
    return job


def accept_job(rows: MemoryRows, spec: JobSpec) -> None:
    """Store the submission of a job."""
    write = RowWrite(job_key(spec.job_id), encode_job_spec(spec))
    rows.commit(RowTransaction(writes=(write,)))


def cancel_job(rows: MemoryRows, job_id: str) -> None:
    """Store the cancellation of a job."""
    write = RowWrite(cancellation_key(job_id), b"\0")
    rows.commit(RowTransaction(writes=(write,)))
