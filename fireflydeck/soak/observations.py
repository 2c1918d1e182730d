"""What callers saw during a run."""

from attrs import define, field

__all__ = ["JobRecord"]


@define
class JobRecord:
    """One job, as its caller saw it; times in milliseconds.

    Attributes
    ----------
    tasks
        Number of its tasks.
    uncertain_tries
        Submissions without an answer, or whose outcome was told to be unknown.
    refused_tries
        Submissions that were refused as not stored.
    accepted_ms
        When a submission was accepted first.
    key
        With which it was submitted.
    accepted_try_ms
        When the submission was sent that was accepted first.
    is_cancelled
        Whether its caller asked for its cancellation.
    ended_ms
        When it was shown as completed, cancelled or failed first.
    unknown_ms
        Times at which a process said that there is no such job, after its acceptance.
    last_state
        The state that was shown last.
    rejections
        Statuses that say that a valid request is not.
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
