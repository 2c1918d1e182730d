"""Cache of the placement advisor's tickets, for steps of queues whose starts need one."""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from fireflydeck.core import Clock
from fireflydeck.core.advisor import PlacementAdvisor
from fireflydeck.core.fleet_configuration import AdvisorTimes
from fireflydeck.kernel import Event, EventLog
from fireflydeck.scheduling.servers import Server
from fireflydeck.workload.lifecycle import Task

__all__ = ["TicketCache"]

_MAX_SERVERS_PER_CALL = 30
"""Each backend server in a call adds to its duration."""
_MAX_OPEN_CALLS = 8
"""Limit of simultaneous calls; the advisor rejects more than 32 from the whole fleet."""
_CALL_TIMEOUT_MARGIN_MS = 1500
_EXPIRY_MARGIN_MS = 300
"""A ticket is no longer used when less than this is left of its validity."""
_RETRY_DELAY_MS = 200


@frozen
class _Ticket:
    """A ticket for one backend server; a restarted server needs a new one."""

    text: str
    server_born_ms: int
    expires_ms: int


@define(eq=False)
class _StepAdvice:
    """Answers of the advisor for one step.

    Parameters
    ----------
    queried
        Start time of each backend server at the last answer about it, by id.
    tickets
        Tickets by id of the backend server.
    retry_at_ms
        Time before which no call is made, after a failed one.
    """

    queried: dict[str, int] = field(factory=dict)
    tickets: dict[str, _Ticket] = field(factory=dict)
    has_open_call: bool = False
    retry_at_ms: int = 0


def _step_name(task: Task) -> str:
    """Return the name by which the advisor knows the step of a task."""
    return f"{task.key.job_id}.{task.key.occurrence}.{task.key.step}"


@define(eq=False)
class TicketCache:
    """Cache of the advisor's tickets, which it requests in the background.

    Parameters
    ----------
    run_in_background
        Runs a function in the background; called with the step, the function and its arguments.
    request_planning
        Called after a successful answer.
    """

    _advisor: PlacementAdvisor
    _clock: Clock
    _log: EventLog
    _run_in_background: Callable[..., None]
    _request_planning: Callable[[], None]
    _steps: dict[str, _StepAdvice] = field(factory=dict, init=False)
    _open_calls: int = field(default=0, init=False)

    def servers_with_ticket(
        self, task: Task, pool: list[Server], times: AdvisorTimes
    ) -> list[Server]:
        """Return the servers with a valid ticket, and request tickets for the others."""
        self._request_missing(_step_name(task), pool, times)
        return [server for server in pool if self.ticket(task, server)]

    def ticket(self, task: Task, server: Server) -> str:
        """Return a valid ticket for a start, or an empty string if there is none."""
        advice = self._steps.get(_step_name(task))
        return self._valid_text(advice, server) if advice else ""

    def _valid_text(self, advice: _StepAdvice, server: Server) -> str:
        ticket = advice.tickets.get(server.id)
        if ticket is None or ticket.server_born_ms != server.life.born_ms:
            return ""
        return ticket.text if self._clock.now_ms() < ticket.expires_ms else ""

    def discard_ticket(self, task: Task, server: Server) -> None:
        """Remove a ticket that was rejected, so that a new one is requested."""
        advice = self._steps.get(_step_name(task))
        if advice is not None:
            advice.tickets.pop(server.id, None)
            advice.queried.pop(server.id, None)

    def forget_job(self, job_id: str) -> None:
        """Remove the tickets for all steps of a job."""
        prefix = f"{job_id}."
        self._steps = {
            name: advice for name, advice in self._steps.items() if not name.startswith(prefix)
        }

    def _request_missing(self, step: str, pool: Sequence[Server], times: AdvisorTimes) -> None:
        """Start a call for the servers without an answer or with an expired ticket."""
        advice = self._steps.setdefault(step, _StepAdvice())
        now_ms = self._clock.now_ms()
        if (
            advice.has_open_call
            or self._open_calls >= _MAX_OPEN_CALLS
            or now_ms < advice.retry_at_ms
        ):
            return
        missing = [server for server in pool if self._needs_request(advice, server)]
        if missing:
            advice.has_open_call = True
            self._open_calls += 1
            self._run_in_background(
                "advise", self._fetch_tickets, step, advice, missing[:_MAX_SERVERS_PER_CALL], times
            )

    def _needs_request(self, advice: _StepAdvice, server: Server) -> bool:
        """Return whether a call for a server is needed.

        Which servers the advisor allows for a step doesn't change, so a server without a ticket is
        not requested again.
        """
        if advice.queried.get(server.id) != server.life.born_ms:
            return True
        return server.id in advice.tickets and not self._valid_text(advice, server)

    async def _fetch_tickets(
        self, step: str, advice: _StepAdvice, servers: Sequence[Server], times: AdvisorTimes
    ) -> None:
        sent_ms = self._clock.now_ms()
        work_ms = times.decision_ms + times.per_server_ms * len(servers)
        # The advisor handles one call of a process at a time, so this call may wait for the others.
        try:
            result = await self._advisor.advise(
                step,
                [server.id for server in servers],
                timeout_ms=work_ms * _MAX_OPEN_CALLS + _CALL_TIMEOUT_MARGIN_MS,
            )
        finally:
            advice.has_open_call = False
            self._open_calls -= 1
        took_ms = self._clock.now_ms() - sent_ms
        if result.is_error():
            advice.retry_at_ms = self._clock.now_ms() + _RETRY_DELAY_MS
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
        expires_ms = sent_ms + took_ms + max(0, valid_ms - _EXPIRY_MARGIN_MS)
        for server in servers:
            advice.queried[server.id] = server.life.born_ms
            text = result.ok.tickets.get(server.id)
            if text is not None:
                advice.tickets[server.id] = _Ticket(text, server.life.born_ms, expires_ms)
        self._log.emit(
            Event.ADVICE_RECEIVED,
            step_of_job=step,
            asked=len(servers),
            good=len(result.ok.tickets),
            took_ms=took_ms,
            detail="",
        )
        self._request_planning()
