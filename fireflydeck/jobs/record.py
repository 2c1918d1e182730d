"""Stored record of a long-running job: attempts, checkpoint, holder and outcome."""

from enum import StrEnum

from attrs import field, frozen

from fireflydeck.core import JobState, Urgency

__all__ = ["FINAL_STATES", "Attempt", "AttemptOutcome", "Body", "JobRecord", "task_id"]

FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN})


class AttemptOutcome(StrEnum):
    """Outcome of an attempt; `OPEN` until it has ended.

    `NOT_STARTED` is set only if the task certainly did not run: no byte of the start was sent, or
    the backend server refused it. `LOST` means that the VM or the task has disappeared, `LAPSED`
    that the task's lease expired, `MOVED` that the task was stopped at a checkpoint because its
    data centre was taken out of service.
    """

    OPEN = "open"
    NOT_STARTED = "not-started"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    LAPSED = "lapsed"
    MOVED = "moved"
    CANCELLED = "cancelled"


@frozen(kw_only=True)
class Attempt:
    """One attempt to run a job on a VM.

    Parameters
    ----------
    number
        Increases by one per attempt; with the job id it identifies the task on the backend server.
    address
        ``ip:port`` of the backend server at the time of the start.
    dispatcher
        Name of the member that started the attempt.
    started_ms
        Wall time at which the attempt was recorded, before its start.
    progressed
        Whether the attempt wrote a checkpoint.
    """

    number: int
    vm: str
    address: str
    dispatcher: str
    started_ms: int
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    progressed: bool = False


@frozen(kw_only=True)
class Body:
    """Location of a job's body: inline as base64, or in the object store.

    Parameters
    ----------
    inline
        Base64 text; empty if the body is an object.
    object_key
        Key in the object store; empty if the body is inline.
    """

    inline: str = ""
    object_key: str = ""


@frozen(kw_only=True)
class JobRecord:
    """State of one job; immutable, changed by the functions of `fireflydeck.jobs.transitions`.

    Parameters
    ----------
    cores, memory_mb, accelerators
        Declared resource demand; 0 if not declared.
    failures
        Number of attempts that count towards `transitions.MAX_FAILURES`.
    holder
        The runner (member and incarnation) responsible for the running task; empty for none.
    lease_sequence
        Increases when an attempt starts and when another runner takes the job over.
    result_key
        Key of the result in the object store; empty while there is none.
    status
        HTTP status of the result; 0 while there is none.
    reason
        One human-readable line that explains a final state other than `DONE`.
    revision
        Unique id of the last write; after a lost answer it shows whether that write took effect.
    """

    job_id: str
    queue: str
    organisation: str
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    body: Body = field(factory=Body)
    state: JobState = JobState.QUEUED
    attempts: tuple[Attempt, ...] = field(default=(), converter=tuple)
    failures: int = 0
    checkpoint: str = ""
    holder: str = ""
    lease_sequence: int = 0
    result_key: str = ""
    status: int = 0
    reason: str = ""
    cancel_requested: bool = False
    created_ms: int = 0
    revision: str = ""

    @property
    def is_final(self) -> bool:
        """Whether the job is in a final state."""
        return self.state in FINAL_STATES

    @property
    def last_attempt(self) -> Attempt | None:
        """The newest attempt, or `None` before the first."""
        return self.attempts[-1] if self.attempts else None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have reached a backend server."""
        return any(item.outcome is not AttemptOutcome.NOT_STARTED for item in self.attempts)


def task_id(record: JobRecord) -> str:
    """Return the id of the newest attempt's task on its backend server.

    Raises
    ------
    ValueError
        If there is no attempt.
    """
    attempt = record.last_attempt
    if attempt is None:
        raise ValueError(f"job {record.job_id} has no attempt")
    return f"{record.job_id}.{attempt.number}"
