"""Client of a backend server of the platform."""

from collections.abc import Mapping
from time import monotonic
from typing import Any

from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.core.backend_orders import (
    ActiveRun,
    BackendServerOrders,
    EndedRun,
    HeartbeatReport,
    RunEnd,
    StartAnswer,
    StartOrder,
    StartOutcome,
)
from fireflydeck.core.call_timeout import CallTimeout
from fireflydeck.platform.fields import FIELD_ERRORS, exact_int, string, truncated_int
from fireflydeck.platform.json_http_client import HttpAnswer, JsonHttpClient

__all__ = [
    "BackendServerClient",
    "decode_report",
]

_MAX_CONNECTIONS = 24
_MAX_LISTED_ENDS = 500
"""Number of ended runs that a backend server lists in one answer; further ones follow."""
_MIN_TIMEOUT_MS = 150
_MAX_TIMEOUT_MS = 900
_MS_PER_S = 1000

_OK = 200
_CONFLICT = 409
_OTHER_INSTANCE = 421
_FENCE_REASON = "fence"

_START_OUTCOMES_BY_STATUS = {
    _OK: StartOutcome.ACCEPTED,
    400: StartOutcome.INVALID,
    _OTHER_INSTANCE: StartOutcome.OTHER_INSTANCE,
    429: StartOutcome.BUSY,
    503: StartOutcome.BUSY,
}
_START_OUTCOMES_BY_REASON = {
    _FENCE_REASON: StartOutcome.FENCED,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class BackendServerClient(BackendServerOrders):
    """Client of one instance of a backend server.

    The timeout of an order follows the backend server's recent latency.

    Parameters
    ----------
    server_id
        Id of the backend server, which is sent with each order. Another instance at the same
        address rejects the order.
    address
        ``ip:port`` of the backend server.
    """

    def __init__(self, server_id: str, address: str) -> None:
        self._server_id = server_id
        self._http = JsonHttpClient(
            address, failure_reason=Reason.BACKEND_UNREACHABLE, max_connections=_MAX_CONNECTIONS
        )
        self._timeout = CallTimeout(_MIN_TIMEOUT_MS, _MAX_TIMEOUT_MS)
        self._headers = {"X-Expected-Instance": server_id}

    @property
    def server_id(self) -> str:
        """Return the id of the backend server."""
        return self._server_id

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def start(self, order: StartOrder, *, timeout_ms: int) -> Result[StartAnswer, Failure]:
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
        return answer.bind(self._decode_start_answer)

    async def stop(
        self, *, task: str, run: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Order the stop of a run and return whether the order was accepted."""
        body = {"task": task, "run": run, "fencing_token": fencing_token}
        answer = await self._call("/-/run-stop", "stop", body, timeout_ms)
        return answer.map(lambda received: received.status == _OK)

    async def pace(
        self, *, task: str, run: int, percent: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Throttle a run to a percentage of its speed and return whether the order was accepted."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": fencing_token}
        answer = await self._call("/-/pace", "pace", body, timeout_ms)
        return answer.map(lambda received: received.status == _OK)

    async def send_heartbeat(
        self, *, fencing_token: int, acknowledged_end: int, lease_until_ms: int, wait_ms: int
    ) -> Result[HeartbeatReport, Failure]:
        """Send a heartbeat that extends the lease of all runs, and return the runs it reports.

        Parameters
        ----------
        acknowledged_end
            Number of the newest end of a run that is stored; the backend server discards ends up
            to it.
        lease_until_ms
            New end of the lease on the backend server's clock; 0 to leave the lease as it is.
        wait_ms
            Longest time that the backend server may wait for the end of a run before it answers.

        Returns
        -------
        Result[HeartbeatReport, Failure]
            The running and the ended runs, or a failure: `NOT_OWNER` if the fencing token is too
            low, `BACKEND_LOST` if another instance answers, `BACKEND_REFUSED` for any other
            refusal, `ANSWER_INVALID` for an unreadable answer, `BACKEND_UNREACHABLE` if no answer
            arrived.
        """
        body = {"fencing_token": fencing_token, "last_seen": acknowledged_end, "wait_ms": wait_ms}
        if lease_until_ms > 0:
            body["deadline_ms"] = lease_until_ms
        answer = await self._call("/-/hold", "hold", body, _MAX_TIMEOUT_MS, wait_ms=wait_ms)
        return answer.bind(self._decode_heartbeat_answer)

    async def _call(
        self, path: str, step: str, body: dict[str, Any], timeout_ms: int, *, wait_ms: int = 0
    ) -> Result[HttpAnswer, Failure]:
        """Send an order; the backend server may delay its answer by up to `wait_ms`."""
        sent_s = monotonic()
        answer_timeout_ms = min(timeout_ms, self._timeout.timeout_ms)
        answer = await self._http.exchange(
            "POST",
            path,
            step=f"backend.{step}",
            timeout_ms=wait_ms + answer_timeout_ms,
            body=body,
            headers=self._headers,
        )
        if answer.is_error():
            self._timeout.record_timeout()
        elif wait_ms == 0:
            self._timeout.record_answer((monotonic() - sent_s) * _MS_PER_S)
        return answer

    def _decode_start_answer(self, answer: HttpAnswer) -> Result[StartAnswer, Failure]:
        if answer.status == _CONFLICT:
            outcome = _START_OUTCOMES_BY_REASON.get(answer.text("reason"))
        else:
            outcome = _START_OUTCOMES_BY_STATUS.get(answer.status)
        if outcome is None:
            return Error(self._refusal("start", answer))
        return Ok(StartAnswer(outcome, _clock_ms(answer)))

    def _decode_heartbeat_answer(self, answer: HttpAnswer) -> Result[HeartbeatReport, Failure]:
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
        if answer.status == _CONFLICT and answer.text("reason") == _FENCE_REASON:
            reason = Reason.NOT_OWNER
        return self._failure(reason, step, f"status {answer.status}")

    def _failure(self, reason: Reason, step: str, detail: str) -> Failure:
        return Failure(
            reason, f"backend.{step}", peer=self._http.address, detail=detail, ran=Ran.UNKNOWN
        )


def _clock_ms(answer: HttpAnswer) -> int | None:
    """Return the clock in an answer, or `None` if it has none that can be read."""
    try:
        return truncated_int(answer.body["clock_ms"])
    except FIELD_ERRORS:
        return None


def decode_report(body: Mapping[str, Any]) -> HeartbeatReport:
    """Decode a backend server's lists of running and ended runs.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError, IndexError
        If a field is missing or invalid.
    """
    return HeartbeatReport(
        clock_ms=truncated_int(body["clock_ms"]),
        born_ms=truncated_int(body.get("born", 0)),
        running=tuple(_decode_running(row) for row in body["running"]),
        ended=tuple(_decode_ended(row) for row in body["finished"]),
        has_more_ends=len(body["finished"]) >= _MAX_LISTED_ENDS,
    )


def _decode_running(row: list[Any]) -> ActiveRun:
    gauge = truncated_int(row[4]) if len(row) > 4 and row[4] is not None else None
    return ActiveRun(
        task=string(row[0]),
        run=exact_int(row[1]),
        checkpoint=string(row[2] or ""),
        percent=truncated_int(row[3]),
        gauge=gauge,
    )


def _decode_ended(row: list[Any]) -> EndedRun:
    return EndedRun(
        number=exact_int(row[0]),
        task=string(row[1]),
        run=exact_int(row[2]),
        end=RunEnd(row[3]),
        checkpoint=string(row[4] or ""),
    )
