"""Long-running jobs: durable rows, runners with take-over of lost leases, and HTTP routes."""

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
from fireflydeck.jobs.routes import JobRouteDependencies, job_routes
from fireflydeck.jobs.runner import JobRunner, JobRunnerDependencies
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
    "JobRouteDependencies",
    "JobRunner",
    "JobRunnerDependencies",
    "JobStore",
    "SlotGrant",
    "SlotOutcome",
    "SlotRequest",
    "SlotSource",
    "TaskClient",
    "job_routes",
]
