"""Tracking of the runs on all backend servers, from reservation to acknowledged end."""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import EndedRun, HeartbeatReport, RunEnd
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.scheduling.job_tracker import JobTracker
from fireflydeck.scheduling.journal import ProgressJournal
from fireflydeck.scheduling.order_sender import OrderSender
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.server_life import ServerLife
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.speculative_copies import SpeculativeCopies
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
    may_have_copy,
    record_run_end,
    remove_attempt,
)

__all__ = ["RunTracker"]

_STOP_RETRY_MS = 400


@frozen
class _HeldEnd:
    """End `done` that is not recorded yet, and the life of the server that reported it."""

    server: Server
    life: ServerLife
    ended: EndedRun


@define(eq=False, kw_only=True)
class RunTracker:
    """Tracker that updates jobs, backend servers and organisations' usage on each event of a run.

    Parameters
    ----------
    run_in_background
        Sends an order in the background; called with the step, the function and its arguments.
    request_planning
        Requests another planning pass.
    may_hide_start
        Returns whether a start that an earlier holder sent for a job may yet take effect.
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
    may_hide_start: Callable[[Job], bool]
    copies: SpeculativeCopies
    planner: StartPlanner = field(init=False)
    sender: OrderSender = field(init=False)
    _held_ends: list[_HeldEnd] = field(factory=list, init=False)

    def reserve(self, attempt: Attempt) -> None:
        """Reserve the capacity that an attempt uses."""
        self.servers[attempt.server_id].add(attempt)
        self.usage.add(attempt)
        self.copies.on_reserved(attempt)

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt that does not run and never will, and free its capacity."""
        remove_attempt(attempt, self.clock.now_ms())
        self._release(attempt)

    def _release(self, attempt: Attempt) -> None:
        server = self.servers.get(attempt.server_id)
        if server is not None and (attempt.task.name, attempt.run) in server.attempts:
            server.remove(attempt)
            self.usage.remove(attempt)
            self.copies.on_released(attempt)
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
        if self._must_hold(ended):
            self._hold_end(server, ended)
            return
        commit_number = self._record_end(server, ended)
        if life.unstored_ends or commit_number > 0:
            life.unstored_ends.append((ended.number, commit_number))
        else:
            life.stored_end = ended.number

    def _must_hold(self, ended: EndedRun) -> bool:
        """Return whether another run of a task could start after its end `done` was recorded.

        A start that was sent may take effect until it is answered or its stop is accepted.
        """
        task = self._task(ended.task)
        if task is None or ended.end != RunEnd.DONE or not may_have_copy(task.step):
            return False
        if task.done or not task.job.is_open:
            return False
        return self.may_hide_start(task.job) or any(
            attempt.phase in (AttemptPhase.STARTING, AttemptPhase.UNCERTAIN)
            for run, attempt in task.attempts.items()
            if run != ended.run
        )

    def _hold_end(self, server: Server, ended: EndedRun) -> None:
        """Stop the other runs of a task, whose end `done` is recorded once none can start."""
        server.life.unstored_ends.append((ended.number, None))
        self._held_ends.append(_HeldEnd(server, server.life, ended))
        self.log.emit(Event.END_HELD, task=ended.task, run=ended.run, server=server.id)
        task = self._task(ended.task)
        if task is None:
            return
        task.is_end_held = True
        self.planner.invalidate_ready_tasks(task.job)
        attempt = task.attempts.get(ended.run)
        if attempt is not None:
            self.copies.on_ended(attempt, ended.end)
            self.drop(attempt)
        for other in task.attempts.values():
            self.request_stop(other)

    def record_held_ends(self) -> None:
        """Record the ends that were held back and need not be any more."""
        for held in [held for held in self._held_ends if not self._must_hold(held.ended)]:
            self._held_ends.remove(held)
            commit_number = self._record_end(held.server, held.ended)
            held.life.release_end(held.ended.number, commit_number)
            held.server.session_wake.set()

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
        if attempt is not None:
            self.copies.on_ended(attempt, ended.end)
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
            is_second = attempt.is_copy and len(attempt.task.attempts) > 1
            if row.checkpoint and not is_second:
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
        others = len(task.attempts)
        max_others = 1 if may_have_copy(task.step) else 0
        attempt = confirm_attempt(task, run, server.id, now_ms)
        attempt.server_id = server.id
        attempt.life_token = server.life.fencing_token
        if task.step.fill:
            attempt.pace = 0
        self.reserve(attempt)
        self.planner.invalidate_ready_tasks(task.job)
        self.log.emit(Event.RUN_ADOPTED, task=name, run=run, server=server.id, others=others > 0)
        if others > max_others or task.done or not task.job.is_open:
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
