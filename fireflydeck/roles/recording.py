"""Records the decisions of gateways and dispatchers about requests."""

from collections.abc import Callable
from typing import Any

from expression import Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Answer, Failure, Queue, Request
from fireflydeck.core.converter import to_plain
from fireflydeck.gateway import Router
from fireflydeck.history import Explainer, History, Input, Subject, SubjectKind
from fireflydeck.peers import RequestDispatcher

__all__ = ["RecordingDispatcher", "RecordingRouter", "explain_as_rows"]


def _subjects(request: Request, pool: str, vm: str = "") -> tuple[Subject, ...]:
    return (
        Subject(SubjectKind.REQUEST, request.request_id),
        Subject(SubjectKind.ORGANISATION, request.organisation),
        Subject(SubjectKind.POOL, pool),
        Subject(SubjectKind.VM, vm),
    )


def _record(history: History, request: Request, pool: str, step: str, result: Result) -> None:
    if result.is_ok():
        answer: Answer = result.ok
        history.record(
            *_subjects(request, pool, answer.vm),
            rule="answered",
            outcome=f"answered with status {answer.status} by {answer.vm}",
            step=step,
            peer=answer.vm,
            inputs=(Input("urgency", request.urgency), Input("queue", request.queue)),
        )
        return
    failure: Failure = result.error
    history.record(
        *_subjects(request, pool),
        rule=failure.reason,
        outcome=f"refused, ran: {failure.ran}; {failure.detail}",
        step=failure.step,
        peer=failure.peer,
        inputs=(Input("urgency", request.urgency), Input("queue", request.queue)),
    )


class RecordingDispatcher(RequestDispatcher):
    """Records the outcome of each request of a dispatcher.

    Parameters
    ----------
    dispatcher
        Runs the requests.
    history
        Takes the records.
    view
        The configuration, for the pool of a queue.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, history: History, view: ConfigurationView
    ) -> None:
        self._dispatcher = dispatcher
        self._history = history
        self._view = view

    async def submit(self, request: Request) -> Result[Answer, Failure]:
        """Run the request and record its outcome."""
        result = await self._dispatcher.submit(request)
        queue = self._view.current.get(Queue, request.queue)
        pool = queue.pool if queue is not None else ""
        _record(self._history, request, pool, "dispatch", result)
        return result

    def cancel(self, request_id: str) -> None:
        """Give up the request."""
        self._dispatcher.cancel(request_id)


class RecordingRouter(Router):
    """Records the outcome of each routed request of a gateway.

    Parameters
    ----------
    history
        Takes the records.
    """

    def __init__(self, *, history: History, **parts: Any) -> None:
        super().__init__(**parts)
        self._history = history

    async def submit(
        self, pool: str, request: Request, refuse: Callable[[], Failure | None]
    ) -> Result[Answer, Failure]:
        """Route the request and record its outcome."""
        result = await super().submit(pool, request, refuse)
        _record(self._history, request, pool, "gateway.route", result)
        return result


async def explain_as_rows(
    explainer: Explainer, subject: str, name: str
) -> Result[list[dict[str, Any]], Failure]:
    """Return the decisions about a subject as rows for the operators' interface."""
    found = await explainer.explain(subject, name)
    return found.map(lambda decisions: [_row(to_plain(decision)) for decision in decisions])


def _row(plain: dict[str, Any]) -> dict[str, Any]:
    inputs = ", ".join(f"{item['name']}={item['value']}" for item in plain["inputs"])
    return {
        "wall_ms": plain["wall_ms"],
        "member": plain["member"],
        "number": plain["number"],
        "step": plain["step"],
        "rule": plain["rule"],
        "outcome": plain["outcome"],
        "peer": plain["peer"],
        "version": plain["version"],
        "inputs": inputs,
    }
