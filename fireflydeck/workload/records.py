"""Rows of jobs in the store.

Table ``jobs`` holds one row for each job and one for each cancellation, partitioned by the job's
id; every entry process writes to it. The row of a job that has ended holds only its outcome. Only
the holder of the lease writes to the tables ``progress`` and ``outcomes``, which use the lease's
partition. Table ``refusals`` holds a row for each job that was refused recently, in the partition
of the job's row, so that one transaction can require that only one of them exists.
"""

import zlib

import msgpack

from fireflydeck.core.rows import RowKey
from fireflydeck.workload.lifecycle import JobOutcome

__all__ = [
    "FLEET_PARTITION",
    "JOBS_TABLE",
    "JOB_PARTITIONS",
    "OUTCOMES_TABLE",
    "PROGRESS_TABLE",
    "REFUSALS_TABLE",
    "cancellation_key",
    "decode_ended_row",
    "decode_outcome",
    "decode_outcome_time_ms",
    "encode_ended_row",
    "encode_outcome",
    "is_cancellation",
    "job_id_of",
    "job_key",
    "outcome_key",
    "progress_key",
    "refusal_key",
]

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
OUTCOMES_TABLE = "outcomes"
REFUSALS_TABLE = "refusals"
FLEET_PARTITION = "fleet"
JOB_PARTITIONS = tuple(f"jobs-{number}" for number in range(16))
"""Several, since transactions in the same partition wait for each other.

While the store is slow, one partition would delay all writes of jobs.
"""
_CANCELLATION_SUFFIX = "/cancelled"


def job_key(job_id: str) -> RowKey:
    """Return the key of a job's row."""
    return RowKey(JOBS_TABLE, _job_partition(job_id), job_id)


def cancellation_key(job_id: str) -> RowKey:
    """Return the key of the row that cancels a job."""
    return RowKey(JOBS_TABLE, _job_partition(job_id), job_id + _CANCELLATION_SUFFIX)


def refusal_key(job_id: str) -> RowKey:
    """Return the key of the row that a refusal of a job leaves for a while."""
    return RowKey(REFUSALS_TABLE, _job_partition(job_id), job_id)


def progress_key(job_id: str) -> RowKey:
    """Return the key of a job's progress."""
    return RowKey(PROGRESS_TABLE, FLEET_PARTITION, job_id)


def outcome_key(job_id: str) -> RowKey:
    """Return the key of a job's outcome."""
    return RowKey(OUTCOMES_TABLE, FLEET_PARTITION, job_id)


def is_cancellation(key: RowKey) -> bool:
    """Return whether a row of the table ``jobs`` cancels a job."""
    return key.key.endswith(_CANCELLATION_SUFFIX)


def job_id_of(key: RowKey) -> str:
    """Return the id of the job to which a row of the table ``jobs`` belongs."""
    return key.key.removesuffix(_CANCELLATION_SUFFIX)


def encode_ended_row(outcome: JobOutcome) -> bytes:
    """Encode the row of a job that has ended; the row prevents its id from being used again."""
    return msgpack.packb(outcome.value)


def decode_ended_row(content: bytes) -> JobOutcome | None:
    """Decode the outcome in the row of a job that has ended.

    Returns
    -------
    JobOutcome or None
        `None` if the row still holds the specification of the job.

    Raises
    ------
    ValueError
        If the row can't be decoded, or its text is not an outcome.
    """
    try:
        value = msgpack.unpackb(content)
    except ValueError as error:
        raise ValueError(f"not a job's row: {error!r}") from error
    return JobOutcome(value) if isinstance(value, str) else None


def encode_outcome(outcome: JobOutcome, wall_ms: int) -> bytes:
    """Encode the outcome of a job and the Unix time in milliseconds when it was reached."""
    return msgpack.packb([outcome.value, wall_ms])


def decode_outcome(content: bytes) -> JobOutcome:
    """Decode the outcome of a job.

    Raises
    ------
    ValueError
        If the content is not an outcome.
    """
    return _decode_outcome_row(content)[0]


def decode_outcome_time_ms(content: bytes) -> int:
    """Decode the time when the outcome was reached, as Unix time in milliseconds.

    Raises
    ------
    ValueError
        If the content is not an outcome.
    """
    return _decode_outcome_row(content)[1]


def _decode_outcome_row(content: bytes) -> tuple[JobOutcome, int]:
    try:
        outcome, ended_ms = msgpack.unpackb(content)
        return JobOutcome(outcome), int(ended_ms)
    except (TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"not an outcome: {type(error).__name__}") from error


def _job_partition(job_id: str) -> str:
    return JOB_PARTITIONS[zlib.crc32(job_id.encode()) % len(JOB_PARTITIONS)]
