"""Idempotency keys: a request that must not run twice claims its key before it is sent.

A claim is a conditional insert of a row that contains the ID of the claim. If the store's answer is
lost, the insert is repeated. If it then fails with a conflict, the ID in the row says whether the
row belongs to this claim.
"""

import base64
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field, frozen
from expression import Error, Ok, Result

from fireflydeck.core import Answer, Clock, Failure, Header, Ran, Reason, Request
from fireflydeck.dispatcher.group_commit import GroupCommit
from fireflydeck.kernel import Metrics, Registry, Service
from fireflydeck.tables import Check, Delete, ObjectStore, Put, Row, TableService, Transaction

__all__ = ["IDEMPOTENCY_TABLE", "Claim", "IdempotencyKeys", "request_digest"]

IDEMPOTENCY_TABLE = "idempotency"

_MAX_INLINE_BYTES = 4096
_CLAIM_ID_BYTES = 8
_RETRY_INTERVAL_MS = 200
_WRITE_TIMEOUT_MS = 60_000
_STARTED = "started"
_DONE = "done"


def _new_claim_id() -> str:
    return secrets.token_hex(_CLAIM_ID_BYTES)


@define(eq=False)
class Claim:
    """A request's claim on its idempotency key.

    Parameters
    ----------
    claim_id
        Identifier of the claim, stored in the row.
    owns_row
        Whether the row is known to belong to this claim.
    may_own_row
        Whether the row may belong to this claim.
    """

    request: Request
    claim_id: str = field(factory=_new_claim_id)
    owns_row: bool = False
    may_own_row: bool = False

    @property
    def key(self) -> str:
        """Key of the row."""
        digest = hashlib.sha256(self.request.idempotency_key.encode()).hexdigest()
        return f"{self.request.organisation}/{digest}"


@frozen
class _PendingWrite:
    """A write that is retried until it succeeds or until its deadline."""

    write: Callable[[], Awaitable[Result[None, Failure]]]
    deadline_ms: int


def request_digest(request: Request) -> str:
    """Return a digest of the parts that must be equal in all requests with the same key."""
    digest = hashlib.sha256()
    for part in (request.queue, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class IdempotencyKeys(Service):
    """Claims keys, stores answers for replay and withdraws claims of requests that did not run.

    Parameters
    ----------
    tables
        The table service.
    objects
        The object store, for answer bodies of more than some kilobytes.
    clock
        Source of time.
    metrics
        Metrics of the process.
    dispatcher
        Name of this member, stored in the rows.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        metrics: Metrics,
        dispatcher: str,
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._inserts = GroupCommit(tables, clock, self._count_commit)
        self._tasks: TaskGroup | None = None
        self._pending_writes = 0
        self._write_finished = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the service."""
        return "idempotency"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the group commit."""
        self._tasks = tasks
        self._inserts.start(tasks)

    async def stop(self) -> None:
        """Wait until all pending writes have succeeded or reached their deadline."""
        while self._pending_writes:
            self._write_finished = anyio.Event()
            await self._write_finished.wait()

    def state(self) -> dict[str, int]:
        """Return the number of pending writes."""
        return {"writing": self._pending_writes}

    async def claim(self, claim: Claim) -> Result[Answer | None, Failure]:
        """Try once to claim the key.

        Returns
        -------
        Result
            `None` if the claim owns the row and the request may be sent; the stored answer if a
            request with this key has finished. Failures: `KEY_MISMATCH`, `KEY_IN_USE` with
            `Ran.UNKNOWN`, and `STORE_UNAVAILABLE` with `Ran.NO`, after which the same claim may be
            tried again, or with `Ran.UNKNOWN` if the stored answer cannot be read.
        """
        claim.may_own_row = True
        inserted = await self._inserts.insert(IDEMPOTENCY_TABLE, claim.key, self._row_of(claim))
        if inserted.is_ok():
            claim.owns_row = True
            return Ok(None)
        if inserted.error.reason is not Reason.CONFLICT:
            return Error(_store_unavailable(inserted.error))
        read = await self._tables.get(IDEMPOTENCY_TABLE, claim.key)
        if read.is_error():
            return Error(_store_unavailable(read.error))
        if read.ok is None:
            return Error(_store_unavailable(inserted.error))
        return await self._resolve_existing_row(claim, read.ok)

    def finish(self, claim: Claim, answer: Answer) -> None:
        """Store the answer in the background."""
        self._write_in_background(lambda: self._store_answer(claim, answer))

    def withdraw(self, claim: Claim) -> None:
        """Delete the claim of a request that did not run, in the background."""
        self._write_in_background(lambda: self._delete_row(claim))

    async def _resolve_existing_row(self, claim: Claim, row: Row) -> Result[Answer | None, Failure]:
        if row.value["claim_id"] == claim.claim_id:
            claim.owns_row = True
            return Ok(None)
        claim.may_own_row = False
        if row.value["request_digest"] != request_digest(claim.request):
            return Error(_failure(Reason.KEY_MISMATCH, "the key was used for another request"))
        if row.value["state"] != _DONE:
            failure = _failure(Reason.KEY_IN_USE, "the first request of this key is not finished")
            return Error(evolve(failure, ran=Ran.UNKNOWN))
        return await self._replay(claim.request, row)

    async def _replay(self, request: Request, row: Row) -> Result[Answer | None, Failure]:
        value = row.value
        body = base64.b64decode(value.get("body", ""))
        if value["object"]:
            read = await self._objects.get(value["object"])
            if read.is_error() or read.ok is None:
                failure = _failure(Reason.STORE_UNAVAILABLE, "the stored answer cannot be read")
                return Error(evolve(failure, ran=Ran.UNKNOWN))
            body = read.ok
        self._metrics.count("idempotency_replays_total")
        return Ok(
            Answer(
                request_id=request.request_id,
                status=value["status"],
                headers=tuple(Header(name, text) for name, text in value["headers"]),
                body=body,
                vm=value["vm"],
            )
        )

    async def _store_answer(self, claim: Claim, answer: Answer) -> Result[None, Failure]:
        object_key = ""
        if len(answer.body) > _MAX_INLINE_BYTES:
            object_key = f"idempotency/{claim.key}"
            stored = await self._objects.put(object_key, answer.body)
            if stored.is_error():
                return stored
        body = b"" if object_key else answer.body
        value = {
            **self._row_of(claim),
            "state": _DONE,
            "status": answer.status,
            "object": object_key,
            "headers": [[header.name, header.value] for header in answer.headers],
            "body": base64.b64encode(body).decode(),
            "vm": answer.vm,
        }
        return await self._change_own_row(claim, Put(IDEMPOTENCY_TABLE, claim.key, value))

    async def _delete_row(self, claim: Claim) -> Result[None, Failure]:
        return await self._change_own_row(claim, Delete(IDEMPOTENCY_TABLE, claim.key))

    async def _change_own_row(self, claim: Claim, change: Put | Delete) -> Result[None, Failure]:
        """Change the row if it belongs to the claim; leave the row of another claim unchanged."""
        read = await self._tables.get(IDEMPOTENCY_TABLE, claim.key)
        if read.is_error():
            return Error(read.error)
        row = read.ok
        if row is None or row.value["claim_id"] != claim.claim_id:
            return Ok(None)
        check = Check(IDEMPOTENCY_TABLE, claim.key, row.version)
        if isinstance(change, Put):
            transaction = Transaction(checks=(check,), puts=(change,))
        else:
            transaction = Transaction(checks=(check,), deletes=(change,))
        return await self._tables.commit(transaction)

    def _write_in_background(self, write: Callable[[], Awaitable[Result[None, Failure]]]) -> None:
        assert self._tasks is not None
        self._pending_writes += 1
        pending = _PendingWrite(write, self._clock.now_ms() + _WRITE_TIMEOUT_MS)
        self._tasks.start_soon(self._retry_write, pending)

    async def _retry_write(self, pending: _PendingWrite) -> None:
        result = await pending.write()
        while result.is_error() and self._clock.now_ms() < pending.deadline_ms:
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)
            result = await pending.write()
        if result.is_error():
            self._metrics.count("idempotency_writes_given_up_total")
        self._pending_writes -= 1
        self._write_finished.set()

    def _row_of(self, claim: Claim) -> dict[str, Any]:
        return {
            "request_id": claim.request.request_id,
            "claim_id": claim.claim_id,
            "request_digest": request_digest(claim.request),
            "dispatcher": self._dispatcher,
            "state": _STARTED,
            "status": 0,
            "object": "",
            "wall_ms": self._clock.wall_ms(),
        }

    def _count_commit(self, outcome: str) -> None:
        self._metrics.count("idempotency_commits_total", outcome=outcome)


def _failure(reason: Reason, detail: str) -> Failure:
    return Failure(reason, step="dispatch.claim", detail=detail)


def _store_unavailable(cause: Failure) -> Failure:
    """Return the failure of a claim whose outcome is unknown; the request was not sent."""
    return Failure(Reason.STORE_UNAVAILABLE, step="dispatch.claim", peer="store", detail=cause.step)
