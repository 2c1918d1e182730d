"""Client of the backend servers' protocol for long-running tasks."""

import base64
import binascii
import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any
from urllib.parse import quote

import httpx
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.core.converter import ConversionError, from_plain

__all__ = ["StartGuard", "TaskClient", "TaskStart", "TaskState", "TaskStatus"]

StartGuard = Callable[[], Failure | None]
"""Check that runs immediately before the first byte of a start; a failure prevents the request."""

_FIRST_BYTE_EVENTS = frozenset(
    {"http11.send_request_headers.started", "http2.send_request_headers.started"}
)
_MAX_STATUS_BYTES = 64 * 1024 * 1024


class TaskState(StrEnum):
    """State of a task on a backend server."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@frozen(kw_only=True)
class TaskStart:
    """Parameters of a task's start on a backend server.

    Parameters
    ----------
    lease_ms
        Time in milliseconds after which the backend server stops the task unless the lease is
        renewed.
    """

    task_id: str
    organisation: str
    attempt: int
    checkpoint: str
    lease_ms: int
    content: bytes


@frozen(kw_only=True)
class TaskStatus:
    """A backend server's answer to a status request for a task.

    Parameters
    ----------
    body
        Base64 text of the result; empty while there is none.
    """

    state: TaskState
    checkpoint: str = ""
    status: int = 0
    body: str = ""

    def content(self) -> bytes:
        """Return the decoded result."""
        return base64.b64decode(self.body, validate=True)


class _StartRefusedError(Exception):
    """Raised inside the transport to prevent a request from being sent."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure)
        self.failure = failure


class _FirstByteTrace:
    """Runs the guard before the first byte and records that bytes may have been sent."""

    def __init__(self, guard: StartGuard) -> None:
        self._guard = guard
        self.sent = False

    async def __call__(self, event: str, info: dict[str, Any]) -> None:
        if event not in _FIRST_BYTE_EVENTS:
            return
        failure = self._guard()
        if failure is not None:
            raise _StartRefusedError(failure)
        self.sent = True


class TaskClient:
    """Starts, monitors and stops long-running tasks on backend servers.

    Parameters
    ----------
    client
        HTTP client for all requests other than starts.
    start_client
        HTTP client for starts, which keeps no idle connections: if the server closed an idle
        connection, the outcome of a start on it would be unknown.
    member
        Name of this member, sent to the backend servers.
    """

    def __init__(
        self, client: httpx.AsyncClient, start_client: httpx.AsyncClient, member: str
    ) -> None:
        self._client = client
        self._start_client = start_client
        self._member = member

    async def start(
        self, address: str, start: TaskStart, guard: StartGuard
    ) -> Result[None, Failure]:
        """Start a task under a lease.

        The failure's `ran` is `NO` only if no byte was sent or the server itself refused the start.
        """
        headers = self._headers(start.task_id, start.lease_ms) | {
            "x-organisation": start.organisation,
            "x-checkpoint": start.checkpoint,
            "x-attempt": str(start.attempt),
        }
        trace = _FirstByteTrace(guard)
        try:
            response = await self._start_client.put(
                _url(address, start.task_id),
                headers=headers,
                content=start.content,
                extensions={"trace": trace},
            )
        except _StartRefusedError as error:
            return Error(error.failure)
        except httpx.HTTPError as error:
            ran = Ran.UNKNOWN if trace.sent else Ran.NO
            return Error(_unreachable("jobs.start", address, error, ran))
        if response.status_code in (httpx.codes.CREATED, httpx.codes.CONFLICT):
            return Ok(None)
        return Error(_start_failure(response, address))

    async def renew(self, address: str, task_id: str, lease_ms: int) -> Result[bool, Failure]:
        """Renew the lease; return false if the server reports that the task is not running.

        The failure's `ran` is `NO` if the renewal certainly did not reach the server.
        """
        trace = _FirstByteTrace(_no_guard)
        try:
            response = await self._client.post(
                _url(address, task_id) + "/lease",
                headers=self._headers(task_id, lease_ms),
                extensions={"trace": trace},
            )
        except httpx.HTTPError as error:
            ran = Ran.UNKNOWN if trace.sent else Ran.NO
            return Error(_unreachable("jobs.renew", address, error, ran))
        if response.status_code == httpx.codes.NOT_FOUND:
            return Ok(False)
        if response.status_code != httpx.codes.OK:
            return Error(_unexpected_status("jobs.renew", address, response))
        return Ok(True)

    async def status(self, address: str, task_id: str) -> Result[TaskStatus | None, Failure]:
        """Return the task's state, or `None` if the server does not know it."""
        try:
            async with self._client.stream("GET", _url(address, task_id)) as response:
                if response.status_code == httpx.codes.NOT_FOUND:
                    return Ok(None)
                if response.status_code != httpx.codes.OK:
                    return Error(_unexpected_status("jobs.status", address, response))
                content = await _read_bounded(response)
        except httpx.HTTPError as error:
            return Error(_unreachable("jobs.status", address, error, Ran.UNKNOWN))
        if content is None:
            detail = f"more than {_MAX_STATUS_BYTES} bytes"
            return Error(Failure(Reason.ANSWER_TOO_LARGE, "jobs.status", address, detail))
        return _parse_status(content, address)

    async def stop(self, address: str, task_id: str) -> Result[None, Failure]:
        """Cancel the task; succeed also if the server does not know it."""
        try:
            response = await self._client.delete(_url(address, task_id))
        except httpx.HTTPError as error:
            return Error(_unreachable("jobs.stop", address, error, Ran.UNKNOWN))
        if response.status_code not in (httpx.codes.OK, httpx.codes.NOT_FOUND):
            return Error(_unexpected_status("jobs.stop", address, response))
        return Ok(None)

    def _headers(self, request_id: str, lease_ms: int) -> dict[str, str]:
        return {
            "x-request-id": request_id,
            "x-dispatcher": self._member,
            "x-lease-ms": str(lease_ms),
        }


def _no_guard() -> Failure | None:
    return None


def _url(address: str, task_id: str) -> str:
    return f"http://{address}/-/tasks/{quote(task_id, safe='')}"


async def _read_bounded(response: httpx.Response) -> bytes | None:
    content = bytearray()
    async for chunk in response.aiter_bytes():
        content += chunk
        if len(content) > _MAX_STATUS_BYTES:
            return None
    return bytes(content)


def _parse_status(content: bytes, address: str) -> Result[TaskStatus | None, Failure]:
    try:
        status = from_plain(json.loads(content), TaskStatus)
        status.content()
    except (ConversionError, ValueError, binascii.Error) as error:
        detail = f"{error!r:.200}"
        return Error(Failure(Reason.ANSWER_INVALID, "jobs.status", address, detail))
    return Ok(status)


def _unreachable(step: str, address: str, error: Exception, ran: Ran) -> Failure:
    return Failure(Reason.BACKEND_UNREACHABLE, step, address, repr(error), ran)


def _unexpected_status(step: str, address: str, response: httpx.Response) -> Failure:
    detail = f"status {response.status_code}"
    return Failure(Reason.ANSWER_INVALID, step, address, detail, Ran.UNKNOWN)


def _start_failure(response: httpx.Response, address: str) -> Failure:
    not_started = response.headers.get("x-not-started") == "true"
    if response.status_code == httpx.codes.SERVICE_UNAVAILABLE and not_started:
        return Failure(Reason.BACKEND_REFUSED, "jobs.start", address, "no free slot or draining")
    return _unexpected_status("jobs.start", address, response)
