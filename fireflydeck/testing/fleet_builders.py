"""Builders of jobs, rows and documents of the users' platform."""

from typing import Any

import orjson
from attrs import evolve

from fireflydeck.core.placement import Resources
from fireflydeck.core.rows import RowKey, RowTransaction, RowWrite
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.workload.life import Job, due_occurrences
from fireflydeck.workload.records import cancellation_key, job_key
from fireflydeck.workload.specification import JobSpec, StepSpec, encode_job_spec

__all__ = [
    "CONFIGURATION",
    "CORES",
    "JOB_ID",
    "accept_job",
    "build_job",
    "build_spec",
    "build_step",
    "cancel_job",
    "configuration_document",
    "put_operator_document",
    "put_registration",
    "registration_document",
]

JOB_ID = "00000000000000a1"
CORES = Resources(32_000, 65_536, 0)

CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "swatches",
            "host": "paint.example",
            "path_prefix": "/swatch/",
            "route_type": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": "paint",
            "max_attempts": 2,
            "slack_factor": 1.6,
            "public": False,
        }
    ],
    "services": [
        {"name": "paint", "rejects_overload": True, "standby": False},
        {"name": "spare", "rejects_overload": True, "standby": True},
    ],
    "limits": {"max_body_bytes": 2000},
    "tenants": [
        {
            "name": "museum",
            "api_keys": ["key-1"],
            "weight": 4,
            "cap": {"cpu": 64_000, "mem_mb": 0, "gpus": 0},
        }
    ],
}
"""A configuration as operators write it."""


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
    due_occurrences(job, wall_ms=0)
    return job


def configuration_document(**fields: Any) -> bytes:
    """Return a configuration document."""
    return orjson.dumps({**CONFIGURATION, **fields})


def registration_document(**fields: Any) -> bytes:
    """Return a registration as a backend server writes it."""
    document = {
        "service": "paint",
        "address": "10.128.0.9:8080",
        "zone": "zvolen",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 32_000, "mem_mb": 65_536, "gpus": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 0,
        "sequence": 4,
        "born": 1,
    }
    return orjson.dumps({**document, **fields})


def put_operator_document(rows: MemoryRows, key: str, content: bytes) -> None:
    """Write a document as operators do."""
    write = RowWrite(RowKey("op", "", key), content)
    rows.commit(RowTransaction(writes=(write,)))


def put_registration(rows: MemoryRows, server_id: str, **fields: Any) -> None:
    """Register a backend server."""
    write = RowWrite(RowKey("servers", "", server_id), registration_document(**fields))
    rows.commit(RowTransaction(writes=(write,)))


def accept_job(rows: MemoryRows, spec: JobSpec) -> None:
    """Store a submission."""
    write = RowWrite(job_key(spec.job_id), encode_job_spec(spec))
    rows.commit(RowTransaction(writes=(write,)))


def cancel_job(rows: MemoryRows, job_id: str) -> None:
    """Store a cancellation."""
    write = RowWrite(cancellation_key(job_id), b"\0")
    rows.commit(RowTransaction(writes=(write,)))
