"""A job held by this runner, and the state shared by the runner's components."""

from collections.abc import Callable

import anyio
from attrs import frozen
from expression import Result

from fireflydeck.core import Clock, Failure
from fireflydeck.jobs.interfaces import ConfigurationReader, SlotGrant, SlotOutcome, SlotSource
from fireflydeck.jobs.record import JobRecord, task_id
from fireflydeck.jobs.rows import StoredJob
from fireflydeck.jobs.store import JobStore
from fireflydeck.jobs.tasks import TaskClient
from fireflydeck.kernel import EventLog, Metrics

__all__ = ["HeldJob", "JobContext", "JobOptions", "ResultMemory", "Transition"]

Transition = Callable[[JobRecord], Result[JobRecord, Failure]]

_MIB = 1024 * 1024


@frozen(kw_only=True)
class JobOptions:
    """Intervals and limits of a runner; times in milliseconds.

    Parameters
    ----------
    scan_interval_ms
        Time between two scans of the open jobs.
    flush_interval_ms
        Time between two batched writes.
    renewal_interval_ms, holder_lease_ms
        Renewal interval and duration of the runner's lease on its jobs.
    poll_interval_ms
        Time between two polls of a task's state.
    task_lease_ms
        Lease of a task on its backend server; longer than a take-over takes, so that a running
        task survives a crash of its holder.
    lease_margin_ms
        Added to a task's lease before the task is assumed to have stopped.
    checkpoint_interval_ms
        Minimum time between two writes of one job's checkpoints.
    retry_delay_ms
        Delay before a job's next attempt.
    waiting_per_organisation
        Maximum number of jobs of one queue and organisation that wait for a slot concurrently.
    hand_over_timeout_ms
        Maximum wait for hand-overs in a graceful stop.
    result_bytes
        Limit for results that are kept in memory until they are stored, in bytes.
    """

    scan_interval_ms: int = 3_000
    flush_interval_ms: int = 500
    renewal_interval_ms: int = 2_000
    holder_lease_ms: int = 8_000
    poll_interval_ms: int = 1_000
    task_lease_ms: int = 30_000
    lease_margin_ms: int = 1_000
    checkpoint_interval_ms: int = 5_000
    retry_delay_ms: int = 1_000
    waiting_per_organisation: int = 32
    hand_over_timeout_ms: int = 10_000
    result_bytes: int = 16 * _MIB


class ResultMemory:
    """Memory budget for results that are not stored yet.

    Examples
    --------
    >>> memory = ResultMemory(10)
    >>> memory.reserve(8), memory.reserve(8)
    (True, False)
    >>> memory.free(8)
    >>> memory.reserve(20)
    True
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Number of reserved bytes."""
        return self._used_bytes

    def reserve(self, size: int) -> bool:
        """Reserve memory; a result above the limit is accepted if nothing else is reserved."""
        if self._used_bytes and self._used_bytes + size > self._limit_bytes:
            return False
        self._used_bytes += size
        return True

    def free(self, size: int) -> None:
        """Release reserved memory."""
        self._used_bytes -= size


@frozen(kw_only=True)
class JobContext:
    """Services, options and identity shared by the components of a runner.

    Parameters
    ----------
    member
        Member name of the process.
    holder
        Unique name of this runner: member name and incarnation.
    """

    member: str
    holder: str
    store: JobStore
    tasks: TaskClient
    slots: SlotSource
    configuration: ConfigurationReader
    clock: Clock
    log: EventLog
    metrics: Metrics
    options: JobOptions
    results: ResultMemory


class HeldJob:
    """A job whose running attempt this runner monitors.

    Parameters
    ----------
    stored
        The job's record and row versions as last read or written.
    grant
        Slot of the task; `None` if another member started it.

    Attributes
    ----------
    checkpoint
        The newest checkpoint that the backend server reported.
    checkpoint_written_ms
        Monotonic time of the last write of a checkpoint.
    transition
        Pending change after whose write this runner no longer holds the job.
    revisions
        Revisions under which the pending change may have been written.
    stale
        Whether another process may have changed the row since it was last read.
    lost
        Whether another runner holds the job or the job is final.
    hand_over_requested
        Whether the job should be handed over to another runner.
    """

    def __init__(self, stored: StoredJob, grant: SlotGrant | None, now_ms: int) -> None:
        self.stored = stored
        self.checkpoint = stored.record.checkpoint
        self.checkpoint_written_ms = now_ms
        self.transition: Transition | None = None
        self.revisions: set[str] = set()
        self.stale = False
        self.lost = False
        self.hand_over_requested = False
        self._grant = grant
        self._released = anyio.Event()

    @property
    def record(self) -> JobRecord:
        """The record as last read or written."""
        return self.stored.record

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.record.job_id

    @property
    def task_id(self) -> str:
        """Id of the task on the backend server."""
        return task_id(self.record)

    @property
    def address(self) -> str:
        """``ip:port`` of the backend server."""
        return self.record.attempts[-1].address

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.record.attempts[-1].vm

    @property
    def is_released(self) -> bool:
        """Whether this runner no longer holds the job."""
        return self._released.is_set()

    def mark_released(self, *, lost: bool = False) -> None:
        """Mark the job as no longer held: the pending change is written, or the job was lost."""
        self.lost = self.lost or lost
        self._released.set()

    async def wait_released(self) -> None:
        """Wait until the job is no longer held."""
        await self._released.wait()

    def release_slot(self, slots: SlotSource, outcome: SlotOutcome) -> None:
        """Release the slot if it has not been released yet."""
        grant, self._grant = self._grant, None
        if grant is not None:
            slots.release(grant, outcome)
