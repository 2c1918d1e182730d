"""A fleet that is scheduled by a planner alone, without a store, orders or background tasks."""

from collections.abc import Callable
from types import SimpleNamespace

from attrs import define, field

from fireflydeck.core.backend_orders import EndedRun, RunEnd
from fireflydeck.core.fleet_configuration import (
    FleetConfiguration,
    JobOrganisation,
    JobQueue,
    ServerPool,
)
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.kernel import Metrics
from fireflydeck.scheduling.hidden_usage import HiddenUsage
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.queued_jobs import QueuedJobs
from fireflydeck.scheduling.reservations import Reservations
from fireflydeck.scheduling.run_durations import RunDurations
from fireflydeck.scheduling.server_life import RunCoverage, ServerLife
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.share_tracker import ShareTracker
from fireflydeck.scheduling.speculative_copies import SpeculativeCopies
from fireflydeck.scheduling.start_planner import StartPlanner
from fireflydeck.scheduling.task_placement import Start, TaskPlacer
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.fleet_fakes import FakeAdvisor
from fireflydeck.testing.job_builders import build_queue
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.workload.lifecycle import (
    Attempt,
    Job,
    create_due_occurrences,
    mark_running,
    record_run_end,
    remove_attempt,
)
from fireflydeck.workload.specification import JobSpec

__all__ = ["PlannedFleet"]

_MAX_ATTEMPTS = 3


class _SteppedClock(FakeClock):
    def step_ms(self, duration_ms: int) -> None:
        self._now_ms += duration_ms


@define(eq=False, kw_only=True)
class PlannedFleet:
    """Servers and jobs of one pool, with runs that end after their true durations.

    Parameters
    ----------
    duration_ms
        True duration of each task; by default its estimate.
    """

    reservations: int = 0
    queues: tuple[JobQueue, ...] = field(factory=lambda: (build_queue(),))
    organisations: tuple[JobOrganisation, ...] = ()
    duration_ms: Callable[[Attempt], float] = lambda attempt: attempt.task.step.estimated_ms
    clock: _SteppedClock = field(factory=_SteppedClock, init=False)
    servers: dict[str, Server] = field(factory=dict, init=False)
    jobs: dict[str, Job] = field(factory=dict, init=False)
    log: RecordingLog = field(factory=RecordingLog, init=False)
    metrics: Metrics = field(factory=Metrics, init=False)
    usage: OrganisationUsage = field(factory=OrganisationUsage, init=False)
    estimates: WorkEstimates = field(factory=WorkEstimates, init=False)
    hidden_usage: HiddenUsage = field(factory=HiddenUsage, init=False)
    started_ms: dict[str, int] = field(factory=dict, init=False)
    planner: StartPlanner = field(init=False)
    _ends: dict[tuple[str, int], float] = field(factory=dict, init=False)

    @planner.default
    def _make_planner(self) -> StartPlanner:
        operators = SimpleNamespace(
            configuration=FleetConfiguration(
                version=1,
                queues=self.queues,
                pools=(ServerPool(name="paint"),),
                organisations=self.organisations,
            ),
            evacuated_data_centres=frozenset(),
        )
        tickets = TicketCache(FakeAdvisor(), self.clock, self.log, lambda *_: None, lambda *_: None)
        reservations = Reservations(
            max_per_pool=self.reservations,
            clock=self.clock,
            log=self.log,
            metrics=self.metrics,
            estimates=self.estimates,
            usage=self.usage,
            ticket_cache=tickets,
        )
        placer = TaskPlacer(
            first_token=1,
            clock=self.clock,
            usage=self.usage,
            ticket_cache=tickets,
            reserve=self._add_attempt,
            drop=self.drop,
        )
        copies = SpeculativeCopies(
            clock=self.clock,
            log=self.log,
            metrics=self.metrics,
            durations=RunDurations(self.estimates),
        )
        copies.placer = placer
        copies.may_start = lambda _: True
        return StartPlanner(
            operators=operators,
            clock=self.clock,
            sender=SimpleNamespace(has_fresh_documents=lambda: True),
            jobs=QueuedJobs(
                clock=self.clock,
                estimates=self.estimates,
                shares=ShareTracker(estimates=self.estimates, log=self.log, metrics=self.metrics),
                fail_job=lambda _: None,
            ),
            estimates=self.estimates,
            placer=placer,
            copies=copies,
            may_start=lambda _: True,
            reservations=reservations if self.reservations else None,
        )

    def add_servers(self, count: int, capacity: Resources, **fields: object) -> None:
        """Add servers that accept starts, named ``s1``, ``s2``, ..."""
        for number in range(len(self.servers) + 1, len(self.servers) + count + 1):
            default = {
                "pool": "paint",
                "address": "127.0.0.1:1",
                "data_centre": "zvolen",
                "state": BackendServerState.READY,
                "labels": frozenset(),
                "rack": f"r{number % 5}",
            }
            registration = Registration(
                server_id=f"s{number}", capacity=capacity, **{**default, **fields}
            )
            life = ServerLife(fencing_token=1, known_since_ms=0, coverage=RunCoverage.COMPLETE)
            server = Server(registration, None, life, is_in_roster=True, is_reachable=True)
            self.servers[server.id] = server

    def submit(self, spec: JobSpec) -> Job:
        """Add a job that is accepted now."""
        job = Job(spec, stored_version=1, accepted_at_ms=self.clock.now_ms())
        create_due_occurrences(job, wall_ms=0)
        self.jobs[job.id] = job
        self.planner.add_job(job)
        return job

    def plan(self) -> list[Attempt]:
        """Run a planning pass, start what it selects, and return the attempts."""
        starts = self.planner.plan(self.servers, self.hidden_usage)
        self.start(starts)
        return [attempt for _, attempt in starts]

    def start(self, starts: list[Start]) -> None:
        """Let the selected runs begin."""
        now_ms = self.clock.now_ms()
        for _, attempt in starts:
            mark_running(attempt, now_ms)
            self.started_ms.setdefault(attempt.task.name, now_ms)
            self._ends[attempt.task.name, attempt.run] = now_ms + self.duration_ms(attempt)

    def step_ms(self, duration_ms: int) -> list[Attempt]:
        """Let time pass, end the runs that are over, and run a planning pass."""
        self.end_runs(duration_ms)
        return self.plan()

    def end_runs(self, duration_ms: int) -> None:
        """Let time pass and end the runs that are over."""
        self.clock.step_ms(duration_ms)
        now_ms = self.clock.now_ms()
        for server in self.servers.values():
            for key, attempt in list(server.attempts.items()):
                if self._ends[key] <= now_ms:
                    self._end(server, attempt)

    def advance_ms(self, duration_ms: int, step_ms: int = 20) -> None:
        """Let time pass in steps with a planning pass after each."""
        for _ in range(duration_ms // step_ms):
            self.step_ms(step_ms)

    def lose(self, server_id: str) -> None:
        """Remove a server and its runs."""
        server = self.servers[server_id]
        for attempt in list(server.attempts.values()):
            self.drop(attempt)
        del self.servers[server_id]

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt and free its capacity."""
        remove_attempt(attempt, self.clock.now_ms())
        self._release(attempt)

    def _add_attempt(self, attempt: Attempt) -> None:
        self.servers[attempt.server_id].add(attempt)
        self.usage.add(attempt)

    def _end(self, server: Server, attempt: Attempt) -> None:
        task = attempt.task
        ended = EndedRun(task=task.name, run=attempt.run, end=RunEnd.DONE, number=1, checkpoint="")
        record_run_end(task, ended, max_attempts=_MAX_ATTEMPTS, now_ms=self.clock.now_ms())
        self.planner.record_end(server, task, attempt, ended)
        self._release(attempt)
        if not task.job.is_open:
            self.planner.remove_job(task.job)
            self.jobs.pop(task.job.id, None)

    def _release(self, attempt: Attempt) -> None:
        self.servers[attempt.server_id].remove(attempt)
        self.usage.remove(attempt)
        self.planner.invalidate_ready_tasks(attempt.task.job)
