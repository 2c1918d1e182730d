"""Records of what callers observed during a run."""

from attrs import define, field

__all__ = ["JobRecord"]


@define
class JobRecord:
    """Job as observed by its caller; times in milliseconds.

    Attributes
    ----------
    tasks
        Number of its tasks.
    uncertain_tries
        Number of submissions without an answer or with an answer that leaves the outcome open.
    refused_tries
        Number of submissions that were refused and not stored.
    accepted_ms
        Time of the first answer that accepted a submission.
    key
        API key of the submissions.
    accepted_try_ms
        Time at which the first accepted submission was sent.
    is_speculative
        Whether two runs of each task may be active at once.
    is_cancelled
        Whether its caller requested its cancellation.
    ended_ms
        Time at which it was first reported as completed, cancelled or failed.
    unknown_ms
        Times after its acceptance at which a process answered that the job does not exist.
    last_state
        Last reported state.
    rejections
        HTTP statuses that rejected a valid request as invalid.
    """

    job_id: str
    payload: str
    tasks: int
    uncertain_tries: int = 0
    refused_tries: int = 0
    accepted_ms: int | None = None
    is_cancelled: bool = False
    ended_ms: int | None = None
    unknown_ms: list[int] = field(factory=list)
    last_state: str = ""
    rejections: list[int] = field(factory=list)
    key: str = ""
    accepted_try_ms: int | None = None
    is_speculative: bool = False
