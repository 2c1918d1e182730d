"""HTTP routes for long-running jobs, served by the gateway."""

import hashlib
import uuid
from collections.abc import Callable

from attrs import frozen
from expression import Error, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.core import Clock, Failure, Reason
from fireflydeck.jobs.cancellation import cancel_job
from fireflydeck.jobs.interfaces import JobNotifier
from fireflydeck.jobs.record import JobRecord
from fireflydeck.jobs.request_headers import JobHeaders, parse_job_headers
from fireflydeck.jobs.store import JobStore

__all__ = ["Authenticate", "JobRouteDependencies", "Problem", "job_routes"]

Authenticate = Callable[[Request, str], Result[str, Failure]]
"""Returns the organisation that owns the API key of a request to a queue."""

Problem = Callable[[Failure], Response]
"""Returns the HTTP response that describes a failure."""

_ACCEPTED = 202
_BODILESS_STATUSES = frozenset({204, 205, 304})
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599


@frozen(kw_only=True)
class JobRouteDependencies:
    """Dependencies of the job routes.

    Parameters
    ----------
    max_body_bytes
        Maximum size of a job's body in bytes.
    """

    store: JobStore
    authenticate: Authenticate
    problem: Problem
    notifier: JobNotifier
    clock: Clock
    max_body_bytes: int


def job_routes(dependencies: JobRouteDependencies) -> list[Route]:
    """Return the routes under ``/jobs``."""
    routes = _JobRoutes(dependencies)
    return [
        Route("/jobs/{queue}", routes.create, methods=["POST"]),
        Route("/jobs/{job_id}", routes.show, methods=["GET"]),
        Route("/jobs/{job_id}", routes.cancel, methods=["DELETE"]),
        Route("/jobs/{job_id}/result", routes.result, methods=["GET"]),
    ]


class _JobRoutes:
    def __init__(self, dependencies: JobRouteDependencies) -> None:
        self._dependencies = dependencies

    async def create(self, request: Request) -> Response:
        """Create a job; the response is sent only after its row is committed."""
        created = await self._create(request, request.path_params["queue"])
        if created.is_error():
            return self._dependencies.problem(created.error)
        job_id = created.ok.job_id
        location = f"/jobs/{job_id}"
        content = {"job_id": job_id, "location": location}
        return JSONResponse(content, status_code=_ACCEPTED, headers={"location": location})

    async def show(self, request: Request) -> Response:
        """Return a job's state."""
        found = await self._find(request)
        if found.is_error():
            return self._dependencies.problem(found.error)
        return JSONResponse(_describe(found.ok))

    async def result(self, request: Request) -> Response:
        """Return a finished job's result."""
        found = await self._find(request)
        if found.is_error():
            return self._dependencies.problem(found.error)
        record = found.ok
        if not record.is_final or not record.result_key:
            detail = f"job is {record.state}" + (f": {record.reason}" if record.reason else "")
            return self._dependencies.problem(
                Failure(Reason.CONFLICT, "jobs.result", detail=detail)
            )
        if not _FIRST_FINAL_STATUS <= record.status <= _LAST_STATUS:
            detail = f"status {record.status}"
            return self._dependencies.problem(
                Failure(Reason.ANSWER_INVALID, "jobs.result", detail=detail)
            )
        content = await self._dependencies.store.result(record)
        if content.is_error():
            return self._dependencies.problem(_hide_store_rate_limit(content.error))
        body = b"" if record.status in _BODILESS_STATUSES else content.ok
        headers = {"x-vm": record.attempts[-1].vm}
        media_type = "application/octet-stream"
        return Response(body, status_code=record.status, headers=headers, media_type=media_type)

    async def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        found = await self._find(request)
        if found.is_error():
            return self._dependencies.problem(found.error)
        record = found.ok
        cancelled = await cancel_job(
            self._dependencies.store, self._dependencies.clock, record.queue, record.job_id
        )
        if cancelled.is_error():
            return self._dependencies.problem(_hide_store_rate_limit(cancelled.error))
        if cancelled.ok.cancel_requested:
            await self._dependencies.notifier.job_cancelled(cancelled.ok)
        return JSONResponse(_describe(cancelled.ok))

    async def _create(self, request: Request, queue: str) -> Result[JobRecord, Failure]:
        organisation = self._dependencies.authenticate(request, queue)
        if organisation.is_error():
            return Error(organisation.error)
        headers = parse_job_headers(request.headers)
        if headers.is_error():
            return Error(headers.error)
        content = await _read_body(request, self._dependencies.max_body_bytes)
        if content.is_error():
            return Error(content.error)
        record = self._new_record(queue, organisation.ok, headers.ok)
        created = await self._dependencies.store.create(
            record,
            content.ok,
            idempotency_key=headers.ok.idempotency_key,
            request_digest=_digest(record, content.ok),
        )
        if created.is_error():
            return Error(_hide_store_rate_limit(created.error))
        if not created.ok.existed:
            await self._dependencies.notifier.job_queued(created.ok.record)
        return Ok(created.ok.record)

    def _new_record(self, queue: str, organisation: str, headers: JobHeaders) -> JobRecord:
        return JobRecord(
            job_id=uuid.uuid4().hex,
            queue=queue,
            organisation=organisation,
            urgency=headers.urgency,
            idempotent=headers.idempotent,
            cores=headers.cores,
            memory_mb=headers.memory_mb,
            accelerators=headers.accelerators,
            created_ms=self._dependencies.clock.wall_ms(),
        )

    async def _find(self, request: Request) -> Result[JobRecord, Failure]:
        """Return the job given in the path if it belongs to the caller's organisation."""
        found = await self._dependencies.store.find(request.path_params["job_id"])
        if found.is_error():
            return Error(_hide_store_rate_limit(found.error))
        unknown = Failure(Reason.UNKNOWN_JOB, "jobs.find", detail="no such job")
        if found.ok is None:
            return Error(unknown)
        organisation = self._dependencies.authenticate(request, found.ok.queue)
        if organisation.is_error():
            return Error(organisation.error)
        return Ok(found.ok) if organisation.ok == found.ok.organisation else Error(unknown)


async def _read_body(request: Request, limit_bytes: int) -> Result[bytes, Failure]:
    content = bytearray()
    async for chunk in request.stream():
        content += chunk
        if len(content) > limit_bytes:
            detail = f"more than {limit_bytes} bytes"
            return Error(Failure(Reason.BODY_TOO_LARGE, "jobs.read-body", detail=detail))
    return Ok(bytes(content))


def _digest(record: JobRecord, content: bytes) -> str:
    size = (record.cores, record.memory_mb, record.accelerators)
    head = repr((record.queue, record.urgency.value, record.idempotent, size))
    return hashlib.sha256(head.encode() + b"\0" + content).hexdigest()


def _hide_store_rate_limit(failure: Failure) -> Failure:
    """Report the store's rate limit as unavailability; it is not a limit of the caller."""
    if failure.reason is not Reason.TOO_MANY_REQUESTS:
        return failure
    return Failure(
        Reason.STORE_UNAVAILABLE,
        step=failure.step,
        peer=failure.peer,
        detail=failure.detail,
        ran=failure.ran,
        retry_after_ms=failure.retry_after_ms,
    )


def _describe(record: JobRecord) -> dict[str, object]:
    return {
        "job_id": record.job_id,
        "queue": record.queue,
        "state": record.state.value,
        "attempts": [
            {
                "number": attempt.number,
                "vm": attempt.vm,
                "started_ms": attempt.started_ms,
                "outcome": attempt.outcome.value,
            }
            for attempt in record.attempts
        ],
        "status": record.status,
        "reason": record.reason,
        "cancel_requested": record.cancel_requested,
    }
