"""Outcomes of submissions."""

from enum import StrEnum

__all__ = ["SubmissionOutcome"]


class SubmissionOutcome(StrEnum):
    """Outcome of a submission.

    `ACCEPTED`: this call stored the job. `KNOWN`: a job with its id was stored already. `REFUSED`:
    the job is not stored, and a refusal is, so that no earlier attempt can store the job.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    REFUSED = "refused"
