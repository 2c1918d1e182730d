"""Table rows of jobs.

``jobs/{job_id}`` contains the record. ``jobs_open/{queue}/{job_id}`` is an index row that exists
until the job reaches a final state. It is written only when its content changes, so its version
fences writes of the record: a holder writes checkpoints on condition that the version is the one
that it knows, and any change of the holder, the attempt or the cancellation makes that write fail.
``job_holders/{holder}`` is written at every renewal of a runner's lease, which covers all its jobs.
``job_keys/{organisation}/{digest}`` maps a caller's idempotency key to its job.
"""

import hashlib

from attrs import frozen

from fireflydeck.core import JobState, Urgency
from fireflydeck.jobs.record import JobRecord

__all__ = [
    "HOLDER_TABLE",
    "JOB_TABLE",
    "KEY_TABLE",
    "OPEN_TABLE",
    "HolderLease",
    "JobKey",
    "OpenEntry",
    "OpenJob",
    "StoredJob",
    "key_row",
    "open_entry",
    "open_row",
]

JOB_TABLE = "jobs"
OPEN_TABLE = "jobs_open"
HOLDER_TABLE = "job_holders"
KEY_TABLE = "job_keys"


@frozen(kw_only=True)
class OpenEntry:
    """Value of the index row of an unfinished job."""

    job_id: str
    queue: str
    organisation: str
    urgency: Urgency
    state: JobState
    holder: str
    lease_sequence: int
    cancel_requested: bool


@frozen(kw_only=True)
class OpenJob:
    """Index row of an unfinished job with its version."""

    entry: OpenEntry
    fence: int


@frozen(kw_only=True)
class StoredJob:
    """A record with the row versions on which its next write is conditional.

    Parameters
    ----------
    fence
        Version of the index row; `ABSENT` for a final job.
    version
        Version of the record's row; `None` for the holder, whose writes are conditional on the
        fence alone.
    """

    record: JobRecord
    fence: int
    version: int | None


@frozen(kw_only=True)
class HolderLease:
    """A runner's lease on all jobs that it holds; any change of the version is a renewal."""

    holder: str
    version: int


@frozen(kw_only=True)
class JobKey:
    """Value of the row of an idempotency key.

    Parameters
    ----------
    request_digest
        SHA-256 digest of the request; detects reuse of the key for another request.
    """

    job_id: str
    request_digest: str


def open_entry(record: JobRecord) -> OpenEntry:
    """Return the index row's value for a record."""
    return OpenEntry(
        job_id=record.job_id,
        queue=record.queue,
        organisation=record.organisation,
        urgency=record.urgency,
        state=record.state,
        holder=record.holder,
        lease_sequence=record.lease_sequence,
        cancel_requested=record.cancel_requested,
    )


def open_row(queue: str, job_id: str) -> str:
    """Return the key of the index row."""
    return f"{queue}/{job_id}"


def key_row(organisation: str, idempotency_key: str) -> str:
    """Return the key of the row of a caller's idempotency key.

    Examples
    --------
    >>> key_row("museum", "order-7")[:20]
    'museum/df8cf80227ec3'
    """
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{organisation}/{digest}"
