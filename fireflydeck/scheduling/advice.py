"""Tickets of the placement advisor for the steps of queues that need them."""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from fireflydeck.core import Clock
from fireflydeck.core.advisor import PlacementAdvisor
from fireflydeck.core.fleet_configuration import AdvisorTimes
from fireflydeck.kernel import Event, EventLog
from fireflydeck.scheduling.servers import Server
from fireflydeck.workload.life import Task

__all__ = ["AdviceBook"]

_MOST_SERVERS = 30
"""Backend servers named in one call; each makes it longer."""
_MOST_CALLS = 8
"""Calls that wait at a time; the advisor refuses more than 32 of the whole fleet."""
_CALL_SLACK_MS = 1500
_EXPIRY_MARGIN_MS = 300
"""A ticket is not used in the last part of its time."""
_RETRY_MS = 200


@frozen
class _Ticket:
    text: str
    born_ms: int
    until_ms: int


@define(eq=False)
class _StepAdvice:
    """What is known for one step: who was asked about, and the tickets."""

    asked: dict[str, int] = field(factory=dict)
    tickets: dict[str, _Ticket] = field(factory=dict)
    is_asking: bool = False
    not_before_ms: int = 0


def _step_name(task: Task) -> str:
    """Return the name of a task's step as the advisor knows it."""
    return f"{task.key.job_id}.{task.key.occurrence}.{task.key.step}"


@define(eq=False)
class AdviceBook:
    """Asks the advisor in the background, and keeps its tickets.

    Parameters
    ----------
    _send
        Runs a function in the background: step, function, arguments.
    _wake
        Called after an answer.
    """

    _advisor: PlacementAdvisor
    _clock: Clock
    _log: EventLog
    _send: Callable[..., None]
    _wake: Callable[[], None]
    _steps: dict[str, _StepAdvice] = field(factory=dict, init=False)
    _calls: int = field(default=0, init=False)

    def allowed(self, task: Task, pool: list[Server], times: AdvisorTimes) -> list[Server]:
        """Return the servers for which there is a ticket, and ask about the others."""
        self._request(_step_name(task), pool, times)
        return [server for server in pool if self.ticket(task, server)]

    def ticket(self, task: Task, server: Server) -> str:
        """Return a valid ticket for a start, or an empty text."""
        known = self._steps.get(_step_name(task))
        return self._valid_text(known, server) if known else ""

    def _valid_text(self, known: _StepAdvice, server: Server) -> str:
        ticket = known.tickets.get(server.id)
        if ticket is None or ticket.born_ms != server.born_ms:
            return ""
        return ticket.text if self._clock.now_ms() < ticket.until_ms else ""

    def drop(self, task: Task, server: Server) -> None:
        """Forget a ticket that was rejected."""
        known = self._steps.get(_step_name(task))
        if known is not None:
            known.tickets.pop(server.id, None)
            known.asked.pop(server.id, None)

    def forget_job(self, job_id: str) -> None:
        """Forget the steps of a job."""
        prefix = f"{job_id}."
        self._steps = {
            name: known for name, known in self._steps.items() if not name.startswith(prefix)
        }

    def _request(self, step: str, pool: Sequence[Server], times: AdvisorTimes) -> None:
        """Ask about backend servers that are not known, or whose tickets ran out."""
        known = self._steps.setdefault(step, _StepAdvice())
        now_ms = self._clock.now_ms()
        if known.is_asking or self._calls >= _MOST_CALLS or now_ms < known.not_before_ms:
            return
        unknown = [server for server in pool if self._is_unknown(known, server)]
        if unknown:
            known.is_asking = True
            self._calls += 1
            self._send("advise", self._ask, step, known, unknown[:_MOST_SERVERS], times)

    def _is_unknown(self, known: _StepAdvice, server: Server) -> bool:
        """Whether to ask about a server; which ones are good for a step does not change."""
        if known.asked.get(server.id) != server.born_ms:
            return True
        return server.id in known.tickets and not self._valid_text(known, server)

    async def _ask(
        self, step: str, known: _StepAdvice, servers: Sequence[Server], times: AdvisorTimes
    ) -> None:
        sent_ms = self._clock.now_ms()
        work_ms = times.decision_ms + times.per_server_ms * len(servers)
        try:
            result = await self._advisor.advise(
                step,
                [server.id for server in servers],
                timeout_ms=work_ms * _MOST_CALLS + _CALL_SLACK_MS,
            )
        finally:
            known.is_asking = False
            self._calls -= 1
        took_ms = self._clock.now_ms() - sent_ms
        if result.is_error():
            known.not_before_ms = self._clock.now_ms() + _RETRY_MS
            self._log.emit(
                Event.ADVICE_RECEIVED,
                step_of_job=step,
                asked=len(servers),
                good=0,
                took_ms=took_ms,
                detail=result.error.detail,
            )
            return
        valid_ms = result.ok.validity_ms or times.validity_ms
        until_ms = sent_ms + took_ms + max(0, valid_ms - _EXPIRY_MARGIN_MS)
        for server in servers:
            known.asked[server.id] = server.born_ms
            text = result.ok.tickets.get(server.id)
            if text is not None:
                known.tickets[server.id] = _Ticket(text, server.born_ms, until_ms)
        self._log.emit(
            Event.ADVICE_RECEIVED,
            step_of_job=step,
            asked=len(servers),
            good=len(result.ok.tickets),
            took_ms=took_ms,
            detail="",
        )
        self._wake()
