"""Record of one run on a backend server."""

from attrs import define

from fireflydeck.core.backend_orders import RunEnd

__all__ = ["RunRecord"]


@define
class RunRecord:
    """One run of a task as its backend server observed it; times in milliseconds.

    Attributes
    ----------
    ended_ms
        Time of the end; `None` while the run is active.
    noted_ms
        Time at which an order acknowledged the end.
    lapsed_before_noted
        Whether the server's lease expired between the end and its acknowledgement.
    """

    task: str
    run: int
    server: str
    payload: str
    started_ms: int
    ended_ms: int | None = None
    end: RunEnd | None = None
    noted_ms: int | None = None
    lapsed_before_noted: bool = False

    @property
    def job_id(self) -> str:
        """Id of the job that the task belongs to."""
        return self.task.partition(".")[0]
