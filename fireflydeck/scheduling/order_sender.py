"""Orders to backend servers: starts, stops and throttling."""

from collections.abc import Callable

from attrs import define

from fireflydeck.core import Clock, Failure, Ran
from fireflydeck.core.backend_orders import StartAnswer, StartOrder, StartOutcome
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.observation.registrations import Registrations
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.scheduling.server_life import ServerLife
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.workload.lifecycle import Attempt, AttemptPhase, Task, mark_running

__all__ = ["MAX_RETRY_PAUSE_MS", "RETRY_PAUSE_MS", "OrderSender"]

RETRY_PAUSE_MS = 100
"""Pause of a task whose start had no effect, except for lack of room; doubled per failed run."""
MAX_RETRY_PAUSE_MS = 1600
"""Longest pause after a failed run, and the pause after a start that was rejected as invalid."""
_ORDER_TIMEOUT_MS = 900
_MAX_DOCUMENT_AGE_MS = 2500
"""Maximum age of operators' documents and registrations with which a run is started."""
_NO_ROOM_BACKOFF_MS = 150
"""Time without starts on a server after it rejected one because it has no room."""
_BUSY_BACKOFF_MS = 400


@define(eq=False, kw_only=True)
class OrderSender:
    """Sender of orders that checks their conditions again just before sending.

    Parameters
    ----------
    drop
        Forgets an attempt and frees its capacity.
    on_fenced, on_other_instance
        Called after an answer from a server that has seen a higher token than any of this tenure,
        or from another instance.
    request_heartbeat
        Sends a heartbeat immediately, to learn the runs on a server. Called after a start without
        an answer, and after the stop of a run whose start got no answer.
    """

    lease: LeaseKeeper
    operators: OperatorDocuments
    registrations: Registrations
    clock: Clock
    log: EventLog
    metrics: Metrics
    ticket_cache: TicketCache
    drop: Callable[[Attempt], None]
    on_fenced: Callable[[Server], None]
    on_other_instance: Callable[[Server], None]
    request_heartbeat: Callable[[Server], None]

    def has_fresh_documents(self) -> bool:
        """Return whether operators' documents and registrations were read recently enough."""
        ages = (self.operators.age_ms, self.registrations.age_ms)
        return all(age is not None and age <= _MAX_DOCUMENT_AGE_MS for age in ages)

    def _ticket(self, server: Server, task: Task) -> str | None:
        """Return the ticket for a start: empty if it needs none, `None` if it is missing."""
        configuration = self.operators.configuration
        queue = configuration.queue(task.job.spec.queue) if configuration else None
        if queue is None or queue.advisor is None:
            return ""
        return self.ticket_cache.ticket(task, server) or None

    async def send_start(self, server: Server, attempt: Attempt) -> None:
        """Send the start of an attempt, or drop the attempt if it is no longer allowed."""
        now_ms = self.clock.now_ms()
        task = attempt.task
        ticket = self._ticket(server, task)
        if attempt.stop_requested or ticket is None or not self._may_start(server, task, now_ms):
            self.drop(attempt)
            return
        life = server.life
        order = StartOrder(
            task=task.name,
            run=attempt.run,
            payload=task.job.spec.payload,
            lease_until_ms=life.grant_lease(now_ms),
            fencing_token=life.fencing_token,
            checkpoint=task.checkpoint if task.step.checkpointing else "",
            ticket=ticket,
        )
        result = await server.orders.start(order, timeout_ms=_ORDER_TIMEOUT_MS)
        took_ms = self.clock.now_ms() - now_ms
        self.metrics.observe_ms("start_order_ms", took_ms)
        outcome = result.ok.outcome.value if result.is_ok() else "no answer"
        self.log.emit(
            Event.START_SENT,
            task=task.name,
            run=attempt.run,
            server=server.id,
            outcome=outcome,
            took_ms=took_ms,
            free_cpu=server.free.cpu,
            configuration=self.operators.version,
            operators_age_ms=self.operators.age_ms,
            waited_ms=now_ms - (task.waiting_since_ms or task.job.accepted_at_ms),
        )
        if result.is_ok():
            self._record_life(attempt, life, result.ok, sent_ms=now_ms)
            self._on_start_outcome(server, attempt, result.ok.outcome, life)
        else:
            self._on_start_failure(server, attempt, result.error)

    def _may_start(self, server: Server, task: Task, now_ms: int) -> bool:
        """Return whether a start is allowed at this moment."""
        return (
            self.lease.is_valid()
            and task.job.is_open
            and not task.done
            and self.has_fresh_documents()
            and server.accepts_starts(now_ms)
            and server.registration.data_centre not in self.operators.evacuated_data_centres
        )

    def _record_life(
        self, attempt: Attempt, life: ServerLife, answer: StartAnswer, *, sent_ms: int
    ) -> None:
        """Record that the run belongs to a life if the clock in the answer is that life's."""
        if answer.outcome != StartOutcome.ACCEPTED or answer.clock_ms is None:
            return
        if life.is_clock(answer.clock_ms, sent_ms=sent_ms, now_ms=self.clock.now_ms()):
            attempt.life_token = life.fencing_token

    def _on_start_outcome(
        self, server: Server, attempt: Attempt, outcome: StartOutcome, life: ServerLife
    ) -> None:
        """Apply the answer to a start that was meant for a life of the server."""
        now_ms = self.clock.now_ms()
        if outcome == StartOutcome.ACCEPTED:
            mark_running(attempt, now_ms)
            return
        if attempt.phase != AttemptPhase.STARTING:
            return
        self.metrics.count("starts_rejected_total", reason=outcome.value)
        attempt.task.not_before_ms = now_ms + RETRY_PAUSE_MS
        if outcome == StartOutcome.NO_ROOM:
            server.backoff_until_ms = now_ms + _NO_ROOM_BACKOFF_MS
            attempt.task.not_before_ms = 0
        elif outcome == StartOutcome.BUSY:
            server.backoff_until_ms = now_ms + _BUSY_BACKOFF_MS
        elif outcome == StartOutcome.INVALID:
            attempt.task.not_before_ms = now_ms + MAX_RETRY_PAUSE_MS
        elif outcome == StartOutcome.NO_TICKET:
            self.ticket_cache.discard_ticket(attempt.task, server)
        elif outcome == StartOutcome.FENCED and life is server.life:
            self.on_fenced(server)
        self.drop(attempt)
        if outcome == StartOutcome.OTHER_INSTANCE:
            self.on_other_instance(server)

    def _on_start_failure(self, server: Server, attempt: Attempt, failure: Failure) -> None:
        if attempt.phase != AttemptPhase.STARTING:
            return
        now_ms = self.clock.now_ms()
        if failure.ran == Ran.NO:
            attempt.task.not_before_ms = now_ms + RETRY_PAUSE_MS
            self.drop(attempt)
            return
        attempt.set_phase(AttemptPhase.UNCERTAIN, now_ms)
        self.request_heartbeat(server)

    async def send_stop(self, server: Server, attempt: Attempt) -> None:
        """Send the stop of an attempt; a run that has not begun yet is prevented from starting."""
        was_uncertain = attempt.phase == AttemptPhase.UNCERTAIN
        if await self._stop(server, attempt.task.name, attempt.run, attempt.phase.value):
            attempt.set_phase(AttemptPhase.STOPPING, self.clock.now_ms())
        if was_uncertain:
            self.request_heartbeat(server)

    async def stop_unknown_run(self, server: Server, task: str, run: int) -> None:
        """Stop a run whose task has ended or is not known."""
        await self._stop(server, task, run, "unknown")

    async def _stop(self, server: Server, task: str, run: int, phase: str) -> bool:
        """Send a stop and return whether the server accepted it."""
        result = await server.orders.stop(
            task=task,
            run=run,
            fencing_token=server.life.fencing_token,
            timeout_ms=_ORDER_TIMEOUT_MS,
        )
        is_accepted = result.is_ok() and result.ok
        self.log.emit(
            Event.STOP_SENT, task=task, run=run, server=server.id, taken=is_accepted, phase=phase
        )
        return is_accepted

    async def send_pace(self, server: Server, attempt: Attempt, percent: int) -> None:
        """Throttle a run; without an answer the order counts as not accepted.

        Parameters
        ----------
        percent
            Share of full speed, in percent.
        """
        if not self.lease.is_valid():
            return
        result = await server.orders.pace(
            task=attempt.task.name,
            run=attempt.run,
            percent=percent,
            fencing_token=server.life.fencing_token,
            timeout_ms=_ORDER_TIMEOUT_MS,
        )
        is_accepted = result.is_ok() and result.ok
        self.log.emit(
            Event.PACE_SENT,
            task=attempt.task.name,
            run=attempt.run,
            server=server.id,
            percent=percent,
            taken=is_accepted,
        )
        if is_accepted:
            attempt.pace = percent
