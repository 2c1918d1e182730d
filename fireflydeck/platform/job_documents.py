"""Decoder of callers' submissions and encoders of the job interface's answers."""

import re
from collections.abc import Mapping
from typing import Any

import orjson

from fireflydeck.platform.documents import DocumentError, decode_resources
from fireflydeck.platform.fields import FIELD_ERRORS, number, string
from fireflydeck.workload.specification import JobSpec, StepSpec

__all__ = [
    "DEADLINE_HEADER",
    "JOB_ID_PATTERN",
    "KEY_HEADER",
    "decode_refusal_reason",
    "decode_submission",
    "encode_pending",
    "encode_refusal",
    "encode_state",
]

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
KEY_HEADER = "Api-Key"
DEADLINE_HEADER = "X-Deadline-Ms"

_MAX_PAYLOAD_BYTES = 4000
_MAX_STEPS = 100
_MAX_TASKS = 10_000


def decode_submission(
    content: bytes, *, job_id: str, queue: str, organisation: str, accepted_ms: int
) -> JobSpec:
    """Decode the body of a submission.

    Raises
    ------
    DocumentError
        If it is malformed or exceeds a limit.
    """
    try:
        document = orjson.loads(content)
        payload = document["spec"]
        steps = tuple(_decode_step(item, index) for index, item in enumerate(document["steps"]))
        spec = JobSpec(
            job_id=job_id,
            queue=queue,
            organisation=organisation,
            payload=payload,
            steps=steps,
            accepted_ms=accepted_ms,
            first_due_ms=_non_negative_int(document, "start_at_ms"),
            interval_ms=_non_negative_int(document, "interval_ms"),
            occurrences=_non_negative_int(document, "repeat_count"),
        )
    except FIELD_ERRORS as error:
        raise DocumentError("submission", repr(error)) from error
    _check_limits(spec)
    return spec


def encode_state(state: str) -> bytes:
    """Encode the state of a job."""
    return orjson.dumps({"state": state})


def encode_pending(pending: int) -> bytes:
    """Encode the number of a queue's jobs that have not started."""
    return orjson.dumps({"pending": pending})


def encode_refusal(reason: str, detail: str) -> bytes:
    """Encode the body of an answer that refuses a request."""
    return orjson.dumps({"error": reason, "detail": detail})


def decode_refusal_reason(content: bytes) -> str:
    """Return the reason in the body of an answer that refuses a request, or ``unknown``."""
    try:
        reason = orjson.loads(content)["error"]
    except FIELD_ERRORS:
        reason = ""
    return reason if isinstance(reason, str) and reason else "unknown"


def _check_limits(spec: JobSpec) -> None:
    if not isinstance(spec.payload, str) or len(spec.payload.encode()) > _MAX_PAYLOAD_BYTES:
        raise DocumentError("submission", "text is missing or too long")
    if not 0 < len(spec.steps) <= _MAX_STEPS:
        raise DocumentError("submission", "wrong number of steps")
    if sum(step.count for step in spec.steps) > _MAX_TASKS:
        raise DocumentError("submission", "too many tasks")


def _decode_step(item: Mapping[str, Any], index: int) -> StepSpec:
    depends_on = tuple(item.get("depends_on", ()))
    if any(type(step) is not int or not 0 <= step < index for step in depends_on):
        raise ValueError("a step depends on a step that is not before it")
    count = _non_negative_int(item, "count")
    if count < 1:
        raise ValueError("a step without tasks")
    max_unavailable = item.get("max_unavailable")
    return StepSpec(
        count=count,
        demand=decode_resources(item),
        estimated_ms=_non_negative_int(item, "estimated_ms"),
        depends_on=depends_on,
        checkpointing=bool(item.get("checkpointing")),
        gang=bool(item.get("gang")),
        same_rack=bool(item.get("same_rack")),
        required_label=string(item.get("requirements") or ""),
        data_rack=string(item.get("affinity") or ""),
        max_per_server=_non_negative_int(item, "anti_affinity"),
        speculative=bool(item.get("speculative")),
        long_running=bool(item.get("long_running")),
        image=string(item.get("image") or ""),
        target_tail_ms=_non_negative_int(item, "target_ms"),
        fill=bool(item.get("fill_ratio")),
        max_unavailable=max_unavailable if type(max_unavailable) is int else None,
    )


def _non_negative_int(item: Mapping[str, Any], name: str) -> int:
    """Return a field without its fractional part, or 0 if it is missing or empty."""
    value = number(item.get(name) or 0)
    if value < 0:
        raise ValueError(f"{name} is negative")
    return int(value)
