"""Builders of the parts of an entry process, for tests."""

from fireflydeck.entry.caller_interface import CallerInterface
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.job_requests import JobRequests
from fireflydeck.testing.fleet_fakes import FakeAnnouncer


def build_interface(
    *,
    store,
    operators,
    lease,
    state_source,
    forwarder,
    clock,
    request_log,
    silence=None,
    refusals=None,
):
    """Return the callers' interface of a process."""
    job_requests = JobRequests(
        operators=operators,
        lease=lease,
        state_source=state_source,
        intake=Intake(
            store, clock, FakeAnnouncer(), silence, state_source=state_source, refusals=refusals
        ),
        clock=clock,
        request_log=request_log,
    )
    return CallerInterface(
        operators=operators,
        job_requests=job_requests,
        forwarder=forwarder,
        clock=clock,
        request_log=request_log,
    )
