"""Tracking of the runs on all backend servers, from reservation to acknowledged end."""

from collections.abc import Callable, Iterable

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import EndedRun, HeartbeatReport
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.scheduling.job_tracker import JobTracker
from fireflydeck.scheduling.journal import ProgressJournal
from fireflydeck.scheduling.order_sender import OrderSender
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.start_planner import StartPlanner
from fireflydeck.workload.lifecycle import (
    Attempt,
    AttemptPhase,
    Job,
    JobOutcome,
    Task,
    confirm_attempt,
    create_occurrence_of,
    mark_running,
    record_run_end,
    remove_attempt,
)

__all__ = ["RunTracker"]

_STOP_RETRY_MS = 400


@define(eq=False, kw_only=True)
class RunTracker:
    """Tracker that updates jobs, backend servers and organisations' usage on each event of a run.

    Parameters
    ----------
    run_in_background
        Sends an order in the background; called with the step, the function and its arguments.
    request_planning
        Requests another planning pass.
    """

    servers: dict[str, Server]
    job_tracker: JobTracker
    journal: ProgressJournal
    usage: OrganisationUsage
    operators: OperatorDocuments
    clock: Clock
    log: EventLog
    metrics: Metrics
    run_in_background: Callable[..., None]
    request_planning: Callable[[], None]
    planner: StartPlanner = field(init=False)
    sender: OrderSender = field(init=False)

    def reserve(self, attempt: Attempt) -> None:
        """Reserve the capacity that an attempt uses."""
        self.servers[attempt.server_id].add(attempt)
        self.usage.add(attempt)

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt that does not run and never will, and free its capacity."""
        remove_attempt(attempt, self.clock.now_ms())
        self._release(attempt)

    def _release(self, attempt: Attempt) -> None:
        server = self.servers.get(attempt.server_id)
        if server is not None and (attempt.task.name, attempt.run) in server.attempts:
            server.remove(attempt)
            self.usage.remove(attempt)
            self.planner.invalidate_ready_tasks(attempt.task.job)
        self.request_planning()

    def drop_all(self, server: Server, why: str) -> None:
        """Drop all attempts on a server and log them as lost."""
        self.drop_lost(list(server.attempts.values()), why)

    def drop_lost(self, attempts: Iterable[Attempt], why: str) -> None:
        """Drop attempts and log them as lost."""
        for attempt in attempts:
            self.log.emit(
                Event.RUN_LOST,
                task=attempt.task.name,
                run=attempt.run,
                server=attempt.server_id,
                why=why,
                phase=attempt.phase.value,
            )
            self.drop(attempt)

    def stop_all(self, job: Job) -> None:
        """Stop all runs of a job."""
        for task in job.tasks.values():
            for attempt in list(task.attempts.values()):
                self.request_stop(attempt)

    def fail_job(self, job: Job) -> None:
        """Fail a job that has a task without further attempts, and stop its runs."""
        job.outcome = JobOutcome.FAILED
        self.stop_all(job)
        self.journal.record(job)

    def request_stop(self, attempt: Attempt) -> None:
        """Order the stop of a run.

        `reconcile` repeats the order while the server still reports the run.
        """
        attempt.stop_requested = True
        server = self.servers.get(attempt.server_id)
        if server is not None:
            self.run_in_background("stop", self.sender.send_stop, server, attempt)

    def on_end(self, server: Server, ended: EndedRun) -> None:
        """Record the end of a run; it is acknowledged once the resulting progress is stored."""
        life = server.life
        life.last_end = ended.number
        commit_number = self._record_end(server, ended)
        if life.unstored_ends or commit_number > 0:
            newest = life.unstored_ends[-1][1] if life.unstored_ends else 0
            life.unstored_ends.append((ended.number, max(commit_number, newest)))
        else:
            life.stored_end = ended.number

    def _record_end(self, server: Server, ended: EndedRun) -> int:
        """Record an end; return the number of the commit that stores the state after it.

        An end that changes nothing waits too for the state that it meets: without it a later holder
        would need this end. The number is 0 if that state is stored already.
        """
        task = self._task(ended.task)
        if task is None:
            return 0
        attempt = task.attempts.get(ended.run)
        max_attempts = self._max_attempts(task.job)
        self.log.emit(
            Event.RUN_ENDED,
            task=ended.task,
            run=ended.run,
            server=server.id,
            end=ended.end.value,
            end_number=ended.number,
            known=attempt is not None,
            max_attempts=max_attempts,
        )
        self.metrics.count("runs_ended_total", end=ended.end.value)
        changed = record_run_end(task, ended, max_attempts=max_attempts, now_ms=self.clock.now_ms())
        self.planner.record_end(server, task, attempt, ended)
        if attempt is not None:
            self._release(attempt)
        self.planner.invalidate_ready_tasks(task.job)
        if task.done or task.job.outcome is not None:
            self._stop_extra(task)
        return self.journal.record(task.job) if changed else self.journal.pending_commit(task.job)

    def _stop_extra(self, task: Task) -> None:
        if task.job.outcome is not None:
            self.stop_all(task.job)
            return
        for attempt in list(task.attempts.values()):
            self.request_stop(attempt)

    def reconcile(self, server: Server, report: HeartbeatReport, sent_ms: int) -> None:
        """Compare the attempts known on a server with the runs that it reports.

        Attempts that are missing from the report count as lost only if no further ends follow.

        Parameters
        ----------
        sent_ms
            Time at which the heartbeat was sent; attempts changed later may be missing from its
            report.
        """
        now_ms = self.clock.now_ms()
        listed = {(row.task, row.run): row for row in report.running}
        for key, row in listed.items():
            attempt = server.attempts.get(key)
            if attempt is None:
                self._adopt(server, row.task, row.run, now_ms)
                continue
            attempt.life_token = server.life.fencing_token
            attempt.reported_available = row.percent >= 100
            if row.checkpoint:
                attempt.task.checkpoint = row.checkpoint
            mark_running(attempt, now_ms)
            if attempt.stop_requested and now_ms - attempt.changed_ms > _STOP_RETRY_MS:
                attempt.changed_ms = now_ms
                self.request_stop(attempt)
        if report.has_more_ends:
            return
        for key, attempt in list(server.attempts.items()):
            if key not in listed and attempt.changed_ms < sent_ms:
                self._on_unlisted(attempt)

    def _on_unlisted(self, attempt: Attempt) -> None:
        """Handle an attempt that the server reports neither as running nor as ended."""
        if attempt.phase == AttemptPhase.UNCERTAIN:
            attempt.changed_ms = self.clock.now_ms()
            self.request_stop(attempt)
        elif attempt.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING):
            self.drop_lost([attempt], "not listed")

    def _adopt(self, server: Server, name: str, run: int, now_ms: int) -> None:
        """Adopt a run that this process has no attempt for, or stop it."""
        task = self._task(name)
        if task is None:
            self.log.emit(Event.RUN_UNKNOWN, task=name, run=run, server=server.id)
            self.run_in_background("stop", self.sender.stop_unknown_run, server, name, run)
            return
        others = bool(task.attempts)
        attempt = confirm_attempt(task, run, server.id, now_ms)
        attempt.server_id = server.id
        attempt.life_token = server.life.fencing_token
        if task.step.fill:
            attempt.pace = 0
        self.reserve(attempt)
        self.planner.invalidate_ready_tasks(task.job)
        self.log.emit(Event.RUN_ADOPTED, task=name, run=run, server=server.id, others=others)
        if others or task.done or not task.job.is_open:
            self.request_stop(attempt)

    def _task(self, name: str) -> Task | None:
        job = self.job_tracker.job(name.partition(".")[0])
        if job is None:
            return None
        if name not in job.tasks:
            # A holder whose wall clock was ahead may have started an occurrence already.
            create_occurrence_of(job, name)
        return job.tasks.get(name)

    def _max_attempts(self, job: Job) -> int | None:
        """Return the number of failed runs at which the job fails, or `None` if it is not known."""
        configuration = self.operators.configuration
        queue = configuration.queue(job.spec.queue) if configuration else None
        return queue.max_attempts if queue else None
