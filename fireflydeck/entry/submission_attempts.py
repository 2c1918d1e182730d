"""Recent attempts of this process to store submissions, and whether their jobs may be stored."""

from attrs import define

from fireflydeck.core import Clock

__all__ = ["SubmissionAttempts"]

_RETENTION_MS = 300_000
"""Longer than callers repeat a submission. That a late write takes effect within 12 s is no bound:
one without an answer may have taken effect at once, and an outage keeps that unknown."""
_MAX_JOBS = 20_000
"""Bounds the memory at about 5 MB; reached at 67 submissions per second in one process."""


@define
class _JobAttempts:
    """Attempts to store one job."""

    last_ms: int
    in_progress: int = 0
    is_uncertain: bool = False
    is_stored: bool = False

    @property
    def may_be_stored(self) -> bool:
        """Return whether an attempt stored the job or may still do so."""
        return self.in_progress > 0 or self.is_uncertain or self.is_stored


class SubmissionAttempts:
    """What this process knows about jobs from its attempts to store them.

    A caller that got no answer sends the same id again. While the store can't be asked, only these
    records show that the new request must not be answered as one that never runs.

    Examples
    --------
    >>> from fireflydeck.core import SystemClock
    >>> attempts = SubmissionAttempts(SystemClock())
    >>> attempts.begin("a1")
    >>> attempts.end("a1", is_stored=None)
    >>> attempts.may_be_stored("a1"), attempts.is_stored("a1"), attempts.may_be_stored("b2")
    (True, False, False)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By job id; the job with the oldest last attempt comes first.
        self._jobs: dict[str, _JobAttempts] = {}

    def is_stored(self, job_id: str) -> bool:
        """Return whether the job is known to be stored."""
        found = self._recent(job_id)
        return found is not None and found.is_stored

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether an attempt of this process stored the job or may still do so."""
        found = self._recent(job_id)
        return found is not None and found.may_be_stored

    def begin(self, job_id: str) -> None:
        """Record that a write of the job begins."""
        self._touch(job_id).in_progress += 1

    def end(self, job_id: str, *, is_stored: bool | None) -> None:
        """Record the end of a write that began.

        Parameters
        ----------
        is_stored
            Whether the job is stored; `None` if the outcome is unknown.
        """
        found = self._touch(job_id)
        found.in_progress = max(0, found.in_progress - 1)
        self._apply(found, is_stored)
        if not found.may_be_stored:
            del self._jobs[job_id]

    def settle(self, job_id: str) -> None:
        """Record that no attempt that has ended can store the job any more."""
        found = self._touch(job_id)
        found.is_uncertain = False
        if not found.may_be_stored:
            del self._jobs[job_id]

    def record_elsewhere(self, job_id: str, *, is_stored: bool | None) -> None:
        """Record that another process stored the job, or, with `None`, may have stored it."""
        self._apply(self._touch(job_id), is_stored)

    def _apply(self, found: _JobAttempts, is_stored: bool | None) -> None:
        if is_stored is None:
            found.is_uncertain = True
        else:
            found.is_stored = found.is_stored or is_stored

    def _recent(self, job_id: str) -> _JobAttempts | None:
        found = self._jobs.get(job_id)
        is_recent = found is not None and found.last_ms >= self._oldest_ms()
        return found if is_recent else None

    def _oldest_ms(self) -> int:
        return self._clock.now_ms() - _RETENTION_MS

    def _touch(self, job_id: str) -> _JobAttempts:
        """Return the job's attempts, which become the newest; forget the old ones of others."""
        found = self._jobs.pop(job_id, None) or _JobAttempts(0)
        found.last_ms = self._clock.now_ms()
        self._jobs[job_id] = found
        while len(self._jobs) > _MAX_JOBS or self._first().last_ms < self._oldest_ms():
            del self._jobs[next(iter(self._jobs))]
        return found

    def _first(self) -> _JobAttempts:
        return next(iter(self._jobs.values()))
