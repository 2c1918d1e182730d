"""Scheduling of the fleet during one tenure of the lease holder."""

from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.core.advisor import PlacementAdvisor
from fireflydeck.core.backend_orders import BackendServerOrders
from fireflydeck.core.placement import Registration
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.core.rows import RowStore
from fireflydeck.core.vm_orders import VmOrders
from fireflydeck.kernel import (
    Event,
    EventLog,
    Metrics,
    keep_running,
    log_store_failure,
    run_and_log_error,
)
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.observation.registrations import Registrations
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.fencing import FencingTokens
from fireflydeck.scheduling.fleet_knowledge import FleetKnowledge
from fireflydeck.scheduling.job_tracker import JobTracker
from fireflydeck.scheduling.journal import ProgressJournal
from fireflydeck.scheduling.order_sender import OrderSender
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.pacing import Pacer
from fireflydeck.scheduling.planner_assembly import build_start_planner
from fireflydeck.scheduling.retention import Retention
from fireflydeck.scheduling.roster import Roster, placeholder
from fireflydeck.scheduling.roster_rows import NO_WORK, PossibleWork, RosterEntry
from fireflydeck.scheduling.row_shortener import JobRowShortener
from fireflydeck.scheduling.run_durations import RunDurations
from fireflydeck.scheduling.run_tracker import RunTracker
from fireflydeck.scheduling.server_life import ServerLife
from fireflydeck.scheduling.server_reports import ServerReports
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.session import SessionSet
from fireflydeck.scheduling.speculative_copies import SpeculativeCopies
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.scheduling.vm_fleet import VmFleet, VmOperationTimes
from fireflydeck.scheduling.vm_operation_record import VmOperationRecord
from fireflydeck.scheduling.vm_operations import VmOperationRunner
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Attempt, Job, job_state, may_have_copy

__all__ = ["OrdersFactory", "TenureScheduler"]

OrdersFactory = Callable[[Registration], BackendServerOrders]

_LEASE_CHECK_INTERVAL_MS = 100
_PLAN_DELAY_MS = 4
_LOAD_RETRY_MS = 100


class TenureScheduler:
    """Scheduler of the fleet's jobs and VM operations while this process holds the lease.

    Parameters
    ----------
    make_orders
        Creates the client of a backend server.
    vm_orders
        The platform's VM interface.
    advisor
        The platform's placement advisor.
    vm_operation_times
        Times of the platform for VM operations, in milliseconds.
    status_ms
        Time for which callers may query the outcome of a job, in milliseconds.
    reservations
        Number of waiting tasks and gangs of a pool for which capacity is reserved; 0 for none.
    speculative_copies
        Whether slow tasks of speculative steps get copies.
    """

    def __init__(
        self,
        *,
        tenure: Tenure,
        store: RowStore,
        lease: LeaseKeeper,
        operators: OperatorDocuments,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        make_orders: OrdersFactory,
        vm_orders: VmOrders,
        advisor: PlacementAdvisor,
        vm_operation_times: VmOperationTimes,
        status_ms: int,
        reservations: int = 0,
        speculative_copies: bool = False,
    ) -> None:
        self._tenure = tenure
        self._store = store
        self._lease = lease
        self._operators = operators
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._make_orders = make_orders
        self._servers: dict[str, Server] = {}
        self._tokens = FencingTokens(
            tenure.first_token,
            tenure.term,
            on_exhausted=partial(lease.resign, tenure, "no fencing token is left"),
        )
        self._reports = ServerReports(
            tenure=tenure,
            lease=lease,
            tokens=self._tokens,
            clock=clock,
            log=log,
            retire=self._retire_if_idle,
            request_planning=self.request_planning,
        )
        self._sessions = SessionSet(self._reports, clock, log)
        self._usage = OrganisationUsage()
        self._tasks: TaskGroup | None = None
        self._plan_wake = anyio.Event()
        self._registrations = Registrations(store, clock, log, self._on_registration)
        self._shortener = JobRowShortener(store, clock, log)
        self._job_tracker = JobTracker(
            store,
            clock,
            log,
            on_submitted=self._on_submitted,
            on_cancelled=self._on_cancelled,
            on_applied=self.request_planning,
            shortener=self._shortener,
        )
        self._knowledge = FleetKnowledge(
            tenure=tenure,
            servers=self._servers,
            clock=clock,
            log=log,
            jobs=self._job_tracker.jobs,
        )
        self._roster = Roster(
            term=tenure.term,
            earlier_term=tenure.earlier_term,
            store=store,
            lease=lease,
            operators=operators,
            servers=self._servers,
            jobs=self._job_tracker.jobs,
            log=log,
            on_stored=self.request_planning,
        )
        self._journal = ProgressJournal(
            lease, clock, log, on_commit=self._on_commit, fail_job=self._fail_job
        )
        self._estimates = WorkEstimates()
        self._copies = SpeculativeCopies(
            clock=clock,
            log=log,
            metrics=metrics,
            durations=RunDurations(self._estimates),
            is_enabled=speculative_copies,
        )
        self._run_tracker = RunTracker(
            servers=self._servers,
            job_tracker=self._job_tracker,
            journal=self._journal,
            usage=self._usage,
            operators=operators,
            clock=clock,
            log=log,
            metrics=metrics,
            run_in_background=self._run_in_background,
            request_planning=self.request_planning,
            may_hide_start=self._may_hide_copy,
            copies=self._copies,
        )
        ticket_cache = TicketCache(
            advisor, clock, log, self._run_in_background, self.request_planning
        )
        self._sender = OrderSender(
            lease=lease,
            operators=operators,
            registrations=self._registrations,
            clock=clock,
            log=log,
            metrics=metrics,
            ticket_cache=ticket_cache,
            drop=self._run_tracker.drop,
            on_fenced=self._reports.on_fenced,
            on_other_instance=self._reports.on_other_instance,
            request_heartbeat=self._sessions.request_heartbeat,
        )
        self._reports.run_tracker = self._run_tracker
        self._reports.pacer = Pacer(
            clock, partial(self._run_in_background, "pace", self._sender.send_pace)
        )
        self._planner = build_start_planner(
            first_token=tenure.first_token,
            operators=operators,
            clock=clock,
            log=log,
            metrics=metrics,
            sender=self._sender,
            usage=self._usage,
            ticket_cache=ticket_cache,
            estimates=self._estimates,
            copies=self._copies,
            run_tracker=self._run_tracker,
            may_start=self._roster.may_start,
            fail_job=self._fail_exhausted_job,
            reservations=reservations,
        )
        self._run_tracker.planner = self._planner
        self._run_tracker.sender = self._sender
        self._retention = Retention(
            store=store,
            lease=lease,
            job_tracker=self._job_tracker,
            clock=clock,
            log=log,
            status_ms=status_ms,
        )
        self._vm_operations = self._make_vm_operations(vm_orders, vm_operation_times)

    def _make_vm_operations(
        self, vm_orders: VmOrders, vm_operation_times: VmOperationTimes
    ) -> VmOperationRunner:
        fleet = VmFleet(
            tenure=self._tenure,
            lease=self._lease,
            record=VmOperationRecord(self._store, self._lease, self._clock),
            clock=self._clock,
            log=self._log,
            orders=vm_orders,
            times=vm_operation_times,
            servers=self._servers,
        )
        return VmOperationRunner(
            fleet=fleet,
            store=self._store,
            operators=self._operators,
            clock=self._clock,
            log=self._log,
            demand=self._planner.demand,
            request_stop=self._run_tracker.request_stop,
        )

    @property
    def term(self) -> int:
        """Return the term of the tenure."""
        return self._tenure.term

    @property
    def job_tracker(self) -> JobTracker:
        """Return the tracker of accepted jobs."""
        return self._job_tracker

    @property
    def servers(self) -> dict[str, Server]:
        """Return the known backend servers by id."""
        return self._servers

    def pending(self) -> dict[str, int] | None:
        """Return the number of open jobs without a started task, by queue.

        Returns `None` until the accepted jobs are loaded.
        """
        if not self._job_tracker.is_loaded:
            return None
        counts: dict[str, int] = {}
        for job in self._job_tracker.jobs.values():
            if not job.has_started and job.is_open:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts

    def overload(self) -> dict[str, PoolOverload] | None:
        """Return the overloaded pools by name, or `None` until the accepted jobs are loaded."""
        return self._planner.overload() if self._job_tracker.is_loaded else None

    def job_state(self, job_id: str) -> str | None:
        """Return the state of a job, or `None` if this process does not know the job."""
        outcome = self._job_tracker.outcome(job_id)
        if outcome is not None:
            return outcome.value
        job = self._job_tracker.job(job_id)
        return job_state(job) if job else None

    def request_planning(self) -> None:
        """Request another planning pass soon."""
        self._plan_wake.set()

    async def run(self) -> None:
        """Load the state stored by earlier holders, then schedule until cancelled."""
        await self._load()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._keep_running("registrations", self._registrations.follow)
            self._keep_running("job-book", self._job_tracker.follow)
            await self._job_tracker.wait_loaded()
            await self._registrations.wait_loaded()
            self._sessions.open(tasks, self._servers.values())
            self._keep_running("journal", self._journal.run)
            self._keep_running("roster", self._roster.store_changes)
            self._keep_running("leases", self._check_leases)
            self._keep_running("plan", self._plan)
            self._keep_running("duties", self._vm_operations.run)
            self._keep_running("retention", self._retention.run)
            self._keep_running("row-shortener", self._shortener.run)

    def _keep_running(self, step: str, function: Callable[..., Awaitable[None]]) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(keep_running, self._clock, self._log, step, function)

    def _run_in_background(
        self, step: str, function: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Run a call to a backend server or the platform in the background."""
        if self._tasks is not None:
            self._tasks.start_soon(run_and_log_error, self._log, step, function, *args)

    async def close(self) -> None:
        """Close the connections to all backend servers."""
        for server in self._servers.values():
            await server.orders.close()

    # Start of the tenure

    async def _load(self) -> None:
        while True:
            failure = await self._job_tracker.load() or await self._roster.load(
                self._add_roster_server
            )
            if failure is None:
                return
            log_store_failure(self._log, failure)
            await self._clock.sleep_ms(_LOAD_RETRY_MS)

    def _add_roster_server(self, entry: RosterEntry, work: PossibleWork) -> None:
        self._add_server(placeholder(entry), is_registered=False, earlier_work=work)

    def _add_server(
        self,
        registration: Registration,
        *,
        is_registered: bool = True,
        earlier_work: PossibleWork = NO_WORK,
    ) -> Server:
        """Add a server; one that was forgotten before gets a higher fencing token than it had."""
        life = ServerLife(
            fencing_token=self._tokens.issue(registration.server_id),
            known_since_ms=self._clock.now_ms(),
        )
        server = Server(
            registration,
            self._make_orders(registration),
            life,
            is_registered=is_registered,
            earlier_work=earlier_work,
        )
        self._servers[server.id] = server
        return server

    # Notifications

    def _on_registration(self, server_id: str) -> None:
        registration = self._registrations.servers.get(server_id)
        server = self._servers.get(server_id)
        if registration is None:
            if server is not None and server.is_registered:
                server.is_registered = False
                self._log.emit(Event.SERVER_GONE, server=server_id, running=len(server.attempts))
                self._retire_if_idle(server)
            return
        if server is None:
            server = self._add_server(registration)
            self._sessions.start(server)
            self._roster.request_store()
            self._log.emit(
                Event.SERVER_SEEN,
                server=server_id,
                pool=registration.pool,
                state=registration.state.value,
            )
        elif server.registration.state != registration.state:
            self._log.emit(Event.SERVER_STATE, server=server_id, state=registration.state.value)
        if not server.is_registered or server.registration.pool != registration.pool:
            self._roster.request_store()
        server.registration = registration
        server.is_registered = True
        if self._reports.on_registration(server, registration.born_ms):
            self._sessions.request_heartbeat(server)
        self.request_planning()

    def _retire_if_idle(self, server: Server) -> None:
        """Forget an unregistered server that has no attempts.

        It is kept while it may have unknown runs, and until the ends of its runs are stored. A
        later holder would otherwise start their tasks again.
        """
        if server.is_registered or server.attempts or server.life.unstored_ends:
            return
        if self._knowledge.may_hide_runs(server):
            return
        self._servers.pop(server.id, None)
        self._sessions.end(server)
        self._roster.request_store()

    def _on_submitted(self, job: Job) -> None:
        self._log.emit(
            Event.JOB_KNOWN, job=job.id, queue=job.spec.queue, version=job.stored_version
        )
        self._planner.add_job(job)
        if job.outcome is not None:
            self._journal.record(job)

    def _on_cancelled(self, job: Job) -> None:
        self._log.emit(Event.JOB_CANCELLED, job=job.id)
        self._run_tracker.stop_all(job)
        self._journal.record(job)

    def _fail_job(self, job: Job) -> None:
        self._run_tracker.fail_job(job)

    def _may_hide_copy(self, job: Job) -> bool:
        """Return whether an earlier holder may have sent the start of a copy that is not known."""
        return self._copies.is_enabled and self._knowledge.may_hide_start(job)

    def _fail_exhausted_job(self, job: Job) -> None:
        """Fail a job that has a task without further attempts, unless a run of it may be unknown.

        A task that may have a copy can still end `done` by a run that is not known yet.
        """
        hidden = self._knowledge.hidden_usage()
        if any(map(may_have_copy, job.spec.steps)) and hidden.may_include(job):
            self._planner.invalidate_ready_tasks(job)
            return
        self._run_tracker.fail_job(job)

    def _on_commit(self, commit_number: int) -> None:
        for server in self._servers.values():
            if server.life.unstored_ends:
                server.life.record_stored_ends(commit_number)
                server.session_wake.set()
        self._close_ended_jobs()

    def _close_ended_jobs(self) -> None:
        """Close the jobs whose outcome is stored and that have no runs, known or unknown."""
        hidden = self._knowledge.hidden_usage()
        for job in list(self._job_tracker.jobs.values()):
            if not job.outcome_stored or job.attempt_count > 0:
                continue
            if not hidden.may_include(job):
                self._job_tracker.close_job(job)
                self._planner.remove_job(job)

    async def _check_leases(self) -> None:
        while True:
            await self._clock.sleep_ms(_LEASE_CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for server in list(self._servers.values()):
                if server.attempts and not server.is_reachable:
                    self._drop_expired(server, now_ms)
                self._retire_if_idle(server)
            self._close_ended_jobs()
            self.request_planning()

    def _drop_expired(self, server: Server, now_ms: int) -> None:
        """Drop the attempts on a silent server whose leases have expired."""
        expired = server.expired_attempts(now_ms)
        if not expired:
            return
        self._log.emit(
            Event.SERVER_LEASE_EXPIRED,
            server=server.id,
            born_ms=server.life.born_ms,
            clock_ms=server.life.min_clock_at(now_ms),
            lease_until_ms=server.life.lease_until_ms,
            running=len(server.attempts),
            expired=len(expired),
        )
        self._run_tracker.drop_lost(expired, "lease lapsed")

    # Planning

    async def _plan(self) -> None:
        while True:
            await self._plan_wake.wait()
            await self._clock.sleep_ms(_PLAN_DELAY_MS)
            self._plan_wake = anyio.Event()
            if not self._lease.is_valid():
                continue
            self._run_tracker.record_held_ends()
            self._roster.store_changed_work()
            starts: Iterable[tuple[Server, Attempt]] = self._planner.plan(
                self._servers, self._knowledge.hidden_usage()
            )
            for server, attempt in starts:
                self._run_in_background("start", self._sender.send_start, server, attempt)
