"""Assembly of the planner of starts from its parts."""

from collections.abc import Callable

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import JobQueue
from fireflydeck.kernel import EventLog, Metrics
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.scheduling.order_sender import OrderSender
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.queued_jobs import QueuedJobs
from fireflydeck.scheduling.reservations import Reservations
from fireflydeck.scheduling.run_tracker import RunTracker
from fireflydeck.scheduling.share_tracker import ShareTracker
from fireflydeck.scheduling.speculative_copies import SpeculativeCopies
from fireflydeck.scheduling.start_planner import StartPlanner
from fireflydeck.scheduling.task_placement import TaskPlacer
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Job

__all__ = ["build_start_planner"]


def build_start_planner(
    *,
    first_token: int,
    operators: OperatorDocuments,
    clock: Clock,
    log: EventLog,
    metrics: Metrics,
    sender: OrderSender,
    usage: OrganisationUsage,
    ticket_cache: TicketCache,
    estimates: WorkEstimates,
    copies: SpeculativeCopies,
    run_tracker: RunTracker,
    may_start: Callable[[JobQueue], bool],
    fail_job: Callable[[Job], None],
    reservations: int,
) -> StartPlanner:
    """Return the planner of one tenure; `copies` gets its placer.

    Parameters
    ----------
    first_token
        Lowest fencing token of the tenure.
    may_start
        Returns whether tasks of a queue may be started in its pool.
    fail_job
        Fails a job that has a task without further attempts.
    reservations
        Number of waiting tasks and gangs of a pool for which capacity is reserved; 0 for none.
    """
    placer = TaskPlacer(
        first_token=first_token,
        clock=clock,
        usage=usage,
        ticket_cache=ticket_cache,
        reserve=run_tracker.reserve,
        drop=run_tracker.drop,
    )
    copies.placer = placer
    copies.may_start = may_start
    planned_reservations = Reservations(
        max_per_pool=reservations,
        clock=clock,
        log=log,
        metrics=metrics,
        estimates=estimates,
        usage=usage,
        ticket_cache=ticket_cache,
    )
    return StartPlanner(
        operators=operators,
        clock=clock,
        sender=sender,
        jobs=QueuedJobs(
            clock=clock,
            estimates=estimates,
            shares=ShareTracker(estimates=estimates, log=log, metrics=metrics),
            fail_job=fail_job,
        ),
        estimates=estimates,
        placer=placer,
        copies=copies,
        may_start=may_start,
        reservations=planned_reservations if reservations > 0 else None,
    )
