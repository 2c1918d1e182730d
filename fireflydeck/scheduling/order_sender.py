"""Sends starts and stops to backend servers, and takes over the answers."""

from collections.abc import Callable

from attrs import define

from fireflydeck.core import Clock, Failure, Ran
from fireflydeck.core.backend_orders import StartOrder, StartOutcome
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.observation.registrations import Registrations
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.scheduling.advice import AdviceBook
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.session import HOLD_MS
from fireflydeck.workload.life import Attempt, AttemptPhase, Task

__all__ = ["MAX_RETRY_PAUSE_MS", "RETRY_PAUSE_MS", "OrderSender"]

RETRY_PAUSE_MS = 100
MAX_RETRY_PAUSE_MS = 1600
_ORDER_TIMEOUT_MS = 900
_MAX_DOCUMENT_AGE_MS = 2500
"""Oldest knowledge of operators' documents and registrations with which a run is started."""
_CROWDED_PAUSE_MS = 150
"""No start at a server for this long after it rejected one for want of room."""
_BUSY_PAUSE_MS = 400


@define(eq=False, kw_only=True)
class OrderSender:
    """Checks at the moment of the send what an order depends on.

    Parameters
    ----------
    drop
        Frees what an attempt uses.
    on_fenced, on_other_instance
        Called for answers that tell of a higher term, or of another life of the server.
    check
        Finds out what runs at a server, after an order without an answer or a stop.
    """

    term: int
    lease: LeaseKeeper
    operators: OperatorDocuments
    registrations: Registrations
    clock: Clock
    log: EventLog
    metrics: Metrics
    advice: AdviceBook
    drop: Callable[[Attempt], None]
    on_fenced: Callable[[Server], None]
    on_other_instance: Callable[[Server], None]
    check: Callable[[Server], None]

    def knows_operators(self) -> bool:
        """Whether operators' documents and registrations are known as they are now."""
        ages = (self.operators.age_ms, self.registrations.age_ms)
        return all(age is not None and age <= _MAX_DOCUMENT_AGE_MS for age in ages)

    def _ticket(self, server: Server, task: Task) -> str | None:
        """Return the ticket of a start, empty if it needs none; `None` if it lacks one."""
        configuration = self.operators.configuration
        queue = configuration.queue(task.job.spec.queue) if configuration else None
        if queue is None or queue.advisor is None:
            return ""
        return self.advice.ticket(task, server) or None

    async def send_start(self, server: Server, attempt: Attempt) -> None:
        """Send the start of an attempt, if it is still allowed at this moment."""
        now_ms = self.clock.now_ms()
        task = attempt.task
        ticket = self._ticket(server, task)
        if ticket is None or not self._may_start(server, task, now_ms):
            self.drop(attempt)
            return
        until_ms = server.clock_at(now_ms) + HOLD_MS
        server.lease_until_ms = max(server.lease_until_ms, until_ms)
        order = StartOrder(
            task=task.name,
            run=attempt.run,
            payload=task.job.spec.payload,
            lease_until_ms=until_ms,
            fencing_token=self.term,
            checkpoint=task.checkpoint if task.step.checkpointing else "",
            ticket=ticket,
        )
        result = await server.orders.start(order, timeout_ms=_ORDER_TIMEOUT_MS)
        took_ms = self.clock.now_ms() - now_ms
        self.metrics.observe_ms("start_order_ms", took_ms)
        outcome = result.ok.value if result.is_ok() else "no answer"
        self.log.emit(
            Event.START_SENT,
            task=task.name,
            run=attempt.run,
            server=server.id,
            outcome=outcome,
            took_ms=took_ms,
            free_cpu=server.free.cpu,
            operators_age_ms=self.operators.age_ms,
            waited_ms=now_ms - (task.waiting_since_ms or task.job.accepted_at_ms),
        )
        if result.is_ok():
            self._on_start_outcome(server, attempt, result.ok)
        else:
            self._on_start_failure(server, attempt, result.error)

    def _may_start(self, server: Server, task: Task, now_ms: int) -> bool:
        """Check at the moment of the send what a start depends on."""
        return (
            self.lease.is_valid()
            and task.job.is_open
            and not task.done
            and self.knows_operators()
            and server.takes_work(now_ms)
            and server.registration.data_centre not in self.operators.evacuated_data_centres
        )

    def _on_start_outcome(self, server: Server, attempt: Attempt, outcome: StartOutcome) -> None:
        now_ms = self.clock.now_ms()
        if outcome == StartOutcome.ACCEPTED:
            if attempt.phase in (AttemptPhase.STARTING, AttemptPhase.UNCERTAIN):
                attempt.enter(AttemptPhase.RUNNING, now_ms)
            return
        if attempt.phase != AttemptPhase.STARTING:
            return
        self.metrics.count("starts_rejected_total", reason=outcome.value)
        attempt.task.not_before_ms = now_ms + RETRY_PAUSE_MS
        if outcome == StartOutcome.NO_ROOM:
            server.crowded_until_ms = now_ms + _CROWDED_PAUSE_MS
            attempt.task.not_before_ms = 0
        elif outcome == StartOutcome.BUSY:
            server.crowded_until_ms = now_ms + _BUSY_PAUSE_MS
        elif outcome == StartOutcome.INVALID:
            attempt.task.not_before_ms = now_ms + MAX_RETRY_PAUSE_MS
        elif outcome == StartOutcome.NO_TICKET:
            self.advice.drop(attempt.task, server)
        elif outcome == StartOutcome.FENCED:
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
        attempt.enter(AttemptPhase.UNCERTAIN, now_ms)
        self.check(server)

    async def send_stop(self, server: Server, attempt: Attempt) -> None:
        """Send the stop of an attempt; a run that has not begun then never will."""
        was_uncertain = attempt.phase == AttemptPhase.UNCERTAIN
        if await self._stop(server, attempt.task.name, attempt.run, attempt.phase.value):
            attempt.enter(AttemptPhase.STOPPING, self.clock.now_ms())
        if was_uncertain:
            self.check(server)

    async def stop_unknown(self, server: Server, task: str, run: int) -> None:
        """Stop a run of a task that is over or not known."""
        await self._stop(server, task, run, "unknown")

    async def _stop(self, server: Server, task: str, run: int, phase: str) -> bool:
        """Send a stop; returns whether it was taken."""
        result = await server.orders.stop(
            task=task,
            run=run,
            fencing_token=self.term,
            timeout_ms=_ORDER_TIMEOUT_MS,
        )
        taken = result.is_ok() and result.ok
        self.log.emit(
            Event.STOP_SENT, task=task, run=run, server=server.id, taken=taken, phase=phase
        )
        return taken

    async def send_pace(self, server: Server, attempt: Attempt, percent: int) -> None:
        """Send the pace of an attempt; without an answer it counts as not taken."""
        if not self.lease.is_valid():
            return
        result = await server.orders.pace(
            task=attempt.task.name,
            run=attempt.run,
            percent=percent,
            fencing_token=self.term,
            timeout_ms=_ORDER_TIMEOUT_MS,
        )
        taken = result.is_ok() and result.ok
        self.log.emit(
            Event.PACE_SENT,
            task=attempt.task.name,
            run=attempt.run,
            server=server.id,
            percent=percent,
            taken=taken,
        )
        if taken:
            attempt.pace = percent
