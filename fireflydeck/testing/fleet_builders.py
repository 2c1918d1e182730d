"""Builders of jobs and of their rows."""

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
    "CORES",
    "JOB_ID",
    "accept_job",
    "build_job",
    "build_queue",
    "build_spec",
    "build_step",
    "cancel_job",
]

JOB_ID = "00000000000000a1"
CORES = Resources(32_000, 65_536, 0)


def build_queue(**fields: Any) -> JobQueue:
    """Return the queue of the jobs that are built here."""
    known = JobQueue(
        name="swatches",
        host="paint.example",
        path_prefix="/swatch/",
        pool="paint",
        slack_factor=1.6,
        target_latency_ms=600,
    )
    return evolve(known, **fields)


def build_step(**fields: Any) -> StepSpec:
    """Return a step of one quick task."""
    known = StepSpec(count=1, demand=Resources(2000, 1000), estimated_ms=600)
    return evolve(known, **fields)


def build_spec(*steps: StepSpec, **fields: Any) -> JobSpec:
    """Return a job of the given steps."""
    known = JobSpec(
        job_id=JOB_ID,
        queue="swatches",
        organisation="museum",
        payload="text",
        steps=steps or (build_step(),),
    )
    return evolve(known, **fields)


def build_job(*steps: StepSpec, **fields: Any) -> Job:
    """Return a job whose first occurrence is due."""
    job = Job(build_spec(*steps, **fields), stored_version=1, accepted_at_ms=0)
    create_due_occurrences(job, wall_ms=0)
    return job


def accept_job(rows: MemoryRows, spec: JobSpec) -> None:
    """Store a submission."""
    write = RowWrite(job_key(spec.job_id), encode_job_spec(spec))
    rows.commit(RowTransaction(writes=(write,)))


def cancel_job(rows: MemoryRows, job_id: str) -> None:
    """Store a cancellation."""
    write = RowWrite(cancellation_key(job_id), b"\0")
    rows.commit(RowTransaction(writes=(write,)))
