"""Recording of the decisions that gateways and dispatchers make about requests."""

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


def _make_subjects(request: Request, pool: str, vm: str = "") -> tuple[Subject, ...]:
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
            *_make_subjects(request, pool, answer.vm),
            rule="answered",
            outcome=f"answered with status {answer.status} by {answer.vm}",
            step=step,
            peer=answer.vm,
            inputs=(Input("urgency", request.urgency), Input("queue", request.queue)),
        )
        return
    failure: Failure = result.error
    history.record(
        *_make_subjects(request, pool),
        rule=failure.reason,
        outcome=f"refused, ran: {failure.ran}; {failure.detail}",
        step=failure.step,
        peer=failure.peer,
        inputs=(Input("urgency", request.urgency), Input("queue", request.queue)),
    )


class RecordingDispatcher(RequestDispatcher):
    """Dispatcher that records the outcome of each request.

    Parameters
    ----------
    dispatcher
        Dispatcher that runs the requests.
    history
        Stores the decision records.
    view
        Configuration in force, which has the pool of each queue.
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
        """Cancel the request."""
        self._dispatcher.cancel(request_id)


class RecordingRouter(Router):
    """Router that records the outcome of each request.

    Parameters
    ----------
    history
        Stores the decision records.
    **router_arguments
        Arguments of `Router`.
    """

    def __init__(self, *, history: History, **router_arguments: Any) -> None:
        super().__init__(**router_arguments)
        self._history = history

    async def submit(
        self, pool: str, request: Request, check_admission: Callable[[], Failure | None]
    ) -> Result[Answer, Failure]:
        """Route the request and record its outcome."""
        result = await super().submit(pool, request, check_admission)
        _record(self._history, request, pool, "gateway.route", result)
        return result


async def explain_as_rows(
    explainer: Explainer, subject: str, name: str
) -> Result[list[dict[str, Any]], Failure]:
    """Return the decisions about a subject as rows for the operator interface.

    Parameters
    ----------
    subject
        Kind of the subject; a value of `SubjectKind`.
    name
        Request ID, or name of the entity.
    """
    found = await explainer.explain(subject, name)
    return found.map(lambda decisions: [_make_row(to_plain(decision)) for decision in decisions])


def _make_row(plain: dict[str, Any]) -> dict[str, Any]:
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
