"""Long work: durable job rows, runners that take over from one another, and the caller's routes."""

from fireflydeck.jobs.held_job import JobOptions
from fireflydeck.jobs.interfaces import (
    ConfigurationReader,
    JobNotifier,
    SlotGrant,
    SlotOutcome,
    SlotRequest,
    SlotSource,
)
from fireflydeck.jobs.record import Attempt, AttemptOutcome, Body, JobRecord
from fireflydeck.jobs.routes import JobRouteParts, job_routes
from fireflydeck.jobs.runner import JobRunner, JobRunnerParts
from fireflydeck.jobs.store import CreatedJob, JobStore
from fireflydeck.jobs.tasks import TaskClient

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "Body",
    "ConfigurationReader",
    "CreatedJob",
    "JobNotifier",
    "JobOptions",
    "JobRecord",
    "JobRouteParts",
    "JobRunner",
    "JobRunnerParts",
    "JobStore",
    "SlotGrant",
    "SlotOutcome",
    "SlotRequest",
    "SlotSource",
    "TaskClient",
    "job_routes",
]
