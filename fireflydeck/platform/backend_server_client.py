"""Orders to a backend server of the platform."""

from collections.abc import Mapping
from time import monotonic
from typing import Any

from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.core.backend_orders import (
    BackendServerOrders,
    EndedRun,
    HoldReport,
    RunEnd,
    RunningTask,
    StartOrder,
    StartOutcome,
)
from fireflydeck.core.call_timeout import CallTimeout
from fireflydeck.platform.fields import FIELD_ERRORS, integer, string, whole
from fireflydeck.platform.http_peer import HttpAnswer, HttpPeer

__all__ = [
    "BackendServerClient",
    "decode_report",
]

_CONNECTIONS = 24
_LEAST_TIMEOUT_MS = 150
_MOST_TIMEOUT_MS = 900
_MS_PER_S = 1000

_OK = 200
_CONFLICT = 409
_OTHER_INSTANCE = 421
_FENCED = "fence"

_START_STATUSES = {
    _OK: StartOutcome.ACCEPTED,
    400: StartOutcome.INVALID,
    _OTHER_INSTANCE: StartOutcome.OTHER_INSTANCE,
    429: StartOutcome.BUSY,
    503: StartOutcome.BUSY,
}
_START_CONFLICTS = {
    _FENCED: StartOutcome.FENCED,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class BackendServerClient(BackendServerOrders):
    """Client of one life of a backend server.

    Orders wait no longer for an answer than the server's latency of late suggests.

    Parameters
    ----------
    server_id
        Its id; an answer of another instance at the same address is `OTHER_INSTANCE`.
    """

    def __init__(self, server_id: str, address: str) -> None:
        self._server_id = server_id
        self._peer = HttpPeer(address, reason=Reason.BACKEND_UNREACHABLE, connections=_CONNECTIONS)
        self._timeout = CallTimeout(_LEAST_TIMEOUT_MS, _MOST_TIMEOUT_MS)
        self._headers = {"X-Expected-Instance": server_id}

    @property
    def server_id(self) -> str:
        """Id of the backend server."""
        return self._server_id

    async def close(self) -> None:
        """Close all connections."""
        await self._peer.close()

    async def start(self, order: StartOrder, *, timeout_ms: int) -> Result[StartOutcome, Failure]:
        """Order the start of a run."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline_ms": order.lease_until_ms,
            "fencing_token": order.fencing_token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._call("/-/run-start", "start", body, timeout_ms)
        return answer.bind(self._start_outcome)

    async def stop(
        self, *, task: str, run: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Order the stop of a run; true if the order was taken."""
        body = {"task": task, "run": run, "fencing_token": fencing_token}
        answer = await self._call("/-/run-stop", "stop", body, timeout_ms)
        return answer.map(lambda received: received.status == _OK)

    async def pace(
        self, *, task: str, run: int, percent: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Let a run work at a share of its speed; true if the order was taken."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": fencing_token}
        answer = await self._call("/-/pace", "pace", body, timeout_ms)
        return answer.map(lambda received: received.status == _OK)

    async def hold(
        self, *, fencing_token: int, acknowledged_end: int, lease_until_ms: int, wait_ms: int
    ) -> Result[HoldReport, Failure]:
        """Extend the lease of all that runs and return both lists.

        Failures: `NOT_OWNER` for a fencing token that is too low, `BACKEND_LOST` if another
        instance answers, `BACKEND_REFUSED` for any other refusal.
        """
        body = {"fencing_token": fencing_token, "last_seen": acknowledged_end, "wait_ms": wait_ms}
        if lease_until_ms > 0:
            body["deadline_ms"] = lease_until_ms
        answer = await self._call("/-/hold", "hold", body, _MOST_TIMEOUT_MS, wait_ms=wait_ms)
        return answer.bind(self._hold_report)

    async def _call(
        self, path: str, step: str, body: dict[str, Any], timeout_ms: int, *, wait_ms: int = 0
    ) -> Result[HttpAnswer, Failure]:
        """Send an order whose answer may be held back for `wait_ms`."""
        sent_s = monotonic()
        usual_ms = min(timeout_ms, self._timeout.timeout_ms)
        answer = await self._peer.exchange(
            "POST",
            path,
            step=f"backend.{step}",
            timeout_ms=wait_ms + usual_ms,
            body=body,
            headers=self._headers,
        )
        if answer.is_error():
            self._timeout.note_timeout()
        elif wait_ms == 0:
            self._timeout.note_answer((monotonic() - sent_s) * _MS_PER_S)
        return answer

    def _start_outcome(self, answer: HttpAnswer) -> Result[StartOutcome, Failure]:
        if answer.status == _CONFLICT:
            outcome = _START_CONFLICTS.get(answer.body.get("reason", ""))
        else:
            outcome = _START_STATUSES.get(answer.status)
        return Error(self._refusal("start", answer)) if outcome is None else Ok(outcome)

    def _hold_report(self, answer: HttpAnswer) -> Result[HoldReport, Failure]:
        if answer.status != _OK:
            return Error(self._refusal("hold", answer))
        try:
            return Ok(decode_report(answer.body))
        except FIELD_ERRORS as error:
            detail = f"lists of runs can't be read: {error!r}"
            return Error(self._failure(Reason.ANSWER_INVALID, "hold", detail))

    def _refusal(self, step: str, answer: HttpAnswer) -> Failure:
        reason = Reason.BACKEND_REFUSED
        if answer.status == _OTHER_INSTANCE:
            reason = Reason.BACKEND_LOST
        if answer.status == _CONFLICT and answer.body.get("reason") == _FENCED:
            reason = Reason.NOT_OWNER
        return self._failure(reason, step, f"status {answer.status}")

    def _failure(self, reason: Reason, step: str, detail: str) -> Failure:
        return Failure(
            reason, f"backend.{step}", peer=self._peer.address, detail=detail, ran=Ran.UNKNOWN
        )


def decode_report(body: Mapping[str, Any]) -> HoldReport:
    """Decode a server's lists of runs."""
    return HoldReport(
        clock_ms=integer(body["clock_ms"]),
        born_ms=integer(body.get("born", 0)),
        running=tuple(_decode_running(row) for row in body["running"]),
        ended=tuple(_decode_ended(row) for row in body["finished"]),
    )


def _decode_running(row: list[Any]) -> RunningTask:
    gauge = integer(row[4]) if len(row) > 4 and row[4] is not None else None
    return RunningTask(
        task=string(row[0]),
        run=whole(row[1]),
        checkpoint=string(row[2] or ""),
        percent=integer(row[3]),
        gauge=gauge,
    )


def _decode_ended(row: list[Any]) -> EndedRun:
    return EndedRun(
        number=whole(row[0]),
        task=string(row[1]),
        run=whole(row[2]),
        end=RunEnd(row[3]),
        checkpoint=string(row[4] or ""),
    )
