"""Durable job state, with conditional writes that tolerate lost answers of the table service."""

import base64
import uuid
from collections.abc import Iterable

from attrs import evolve, frozen
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.converter import from_plain, to_plain
from fireflydeck.jobs.record import Body, JobRecord
from fireflydeck.jobs.rows import (
    HOLDER_TABLE,
    JOB_TABLE,
    KEY_TABLE,
    OPEN_TABLE,
    HolderLease,
    JobKey,
    OpenEntry,
    OpenJob,
    StoredJob,
    key_row,
    open_entry,
    open_row,
)
from fireflydeck.tables import (
    ABSENT,
    Check,
    Delete,
    ObjectStore,
    Put,
    TableService,
    Transaction,
)

__all__ = ["CreatedJob", "JobStore", "JobWrite", "with_new_revision"]

_MAX_INLINE_BODY_BYTES = 1024
_MAX_COMMIT_ATTEMPTS = 3
_RETRY_DELAY_MS = 200
_PAGE_ROWS = 1000


@frozen(kw_only=True)
class CreatedJob:
    """Result of creating a job.

    Parameters
    ----------
    existed
        Whether an earlier request with the same idempotency key had created the job.
    """

    record: JobRecord
    existed: bool


@frozen(kw_only=True)
class JobWrite:
    """A conditional write of one record, as part of a batch."""

    stored: StoredJob
    record: JobRecord


class JobStore:
    """Stores jobs in the table service and their bodies and results in the object store.

    Parameters
    ----------
    tables, objects
        Table service and object store of the platform.
    clock
        Clock for the delay between retries.
    """

    def __init__(self, tables: TableService, objects: ObjectStore, clock: Clock) -> None:
        self._tables = tables
        self._objects = objects
        self._clock = clock

    async def create(
        self,
        record: JobRecord,
        content: bytes,
        *,
        idempotency_key: str = "",
        request_digest: str = "",
    ) -> Result[CreatedJob, Failure]:
        """Create a job, or find the one that was created before with the same idempotency key.

        Returns
        -------
        Result
            The failure's `ran` is `NO` only if the job certainly does not exist; reason
            `KEY_MISMATCH` if the key was used with another request.
        """
        body = await self._store_body(record.job_id, content)
        if body.is_error():
            return Error(evolve(body.error, ran=Ran.NO))
        record = with_new_revision(evolve(record, body=body.ok))
        keys = (record.organisation, idempotency_key, request_digest)
        committed = await self._commit(_creation_transaction(record, *keys))
        if committed.is_ok():
            return Ok(CreatedJob(record=record, existed=False))
        if committed.error.reason is not Reason.CONFLICT:
            return Error(committed.error)
        return await self._find_created(record, idempotency_key, request_digest)

    async def find(self, job_id: str) -> Result[JobRecord | None, Failure]:
        """Return a job's record, or `None` if there is no such job."""
        row = await self._tables.get(JOB_TABLE, job_id)
        return row.map(lambda found: from_plain(found.value, JobRecord) if found else None)

    async def load(self, queue: str, job_id: str) -> Result[StoredJob | None, Failure]:
        """Return a job with the row versions on which its next write is conditional.

        The fence is read before the record, so a change between the two reads makes the next write
        fail.
        """
        fence = await self._tables.get(OPEN_TABLE, open_row(queue, job_id))
        if fence.is_error():
            return Error(fence.error)
        row = await self._tables.get(JOB_TABLE, job_id)
        if row.is_error():
            return Error(row.error)
        if row.ok is None:
            return Ok(None)
        stored = StoredJob(
            record=from_plain(row.ok.value, JobRecord),
            fence=fence.ok.version if fence.ok else ABSENT,
            version=row.ok.version,
        )
        return Ok(stored)

    async def update(
        self, stored: StoredJob, record: JobRecord, *, checks: tuple[Check, ...] = ()
    ) -> Result[StoredJob, Failure]:
        """Replace a record with a compare-and-swap.

        Parameters
        ----------
        checks
            Additional conditions of the write.

        Returns
        -------
        Result
            The new state as the holder uses it; reason `CONFLICT` if another write came first. The
            failure's `ran` is `UNKNOWN` if the write may have taken effect.
        """
        record = with_new_revision(record)
        write = _write_transaction(JobWrite(stored=stored, record=record))
        transaction = evolve(write, checks=write.checks + checks)
        committed = await self._commit(transaction)
        if committed.is_error() and committed.error.reason is not Reason.CONFLICT:
            return Error(committed.error)
        loaded = await self.load(record.queue, record.job_id)
        if loaded.is_error():
            return Error(evolve(loaded.error, ran=Ran.UNKNOWN))
        if loaded.ok is None or loaded.ok.record.revision != record.revision:
            return Error(Failure(Reason.CONFLICT, "jobs.update", "store", record.job_id))
        return Ok(evolve(loaded.ok, version=None))

    async def write_batch(self, writes: Iterable[JobWrite], holder: str) -> Result[None, Failure]:
        """Write many records and renew the holder's lease in one transaction.

        One failed check fails the whole batch. Each record must carry a new revision
        (`with_new_revision`).
        """
        transactions = [_write_transaction(write) for write in writes]
        renewal = Put(HOLDER_TABLE, holder, {"renewed_ms": self._clock.wall_ms()})
        transaction = Transaction(
            checks=tuple(check for item in transactions for check in item.checks),
            puts=(*(put for item in transactions for put in item.puts), renewal),
            deletes=tuple(delete for item in transactions for delete in item.deletes),
        )
        return await self._tables.commit(transaction)

    async def open_jobs(self, queue: str = "") -> Result[tuple[OpenJob, ...], Failure]:
        """Return the unfinished jobs of a queue, or of all queues."""
        prefix = f"{queue}/" if queue else ""
        jobs: list[OpenJob] = []
        after = ""
        while True:
            page = await self._tables.scan(OPEN_TABLE, prefix=prefix, after=after, limit=_PAGE_ROWS)
            if page.is_error():
                return Error(page.error)
            for row in page.ok:
                jobs.append(OpenJob(entry=from_plain(row.value, OpenEntry), fence=row.version))
            if len(page.ok) < _PAGE_ROWS:
                return Ok(tuple(jobs))
            after = page.ok[-1].key

    async def holders(self) -> Result[tuple[HolderLease, ...], Failure]:
        """Return the lease rows of all runners."""
        rows = await self._tables.scan(HOLDER_TABLE)
        return rows.map(
            lambda found: tuple(HolderLease(holder=row.key, version=row.version) for row in found)
        )

    async def remove_holder(self, lease: HolderLease) -> Result[None, Failure]:
        """Remove the lease row of a stopped runner, unless it was renewed meanwhile."""
        check = Check(HOLDER_TABLE, lease.holder, lease.version)
        delete = Delete(HOLDER_TABLE, lease.holder)
        return await self._tables.commit(Transaction(checks=(check,), deletes=(delete,)))

    async def content(self, record: JobRecord) -> Result[bytes, Failure]:
        """Return a job's body."""
        if not record.body.object_key:
            return Ok(base64.b64decode(record.body.inline))
        return await self._read_object(record.body.object_key)

    async def result(self, record: JobRecord) -> Result[bytes, Failure]:
        """Return a finished job's result."""
        return await self._read_object(record.result_key)

    async def put_result(self, result_key: str, content: bytes) -> Result[None, Failure]:
        """Store a result."""
        return await self._objects.put(result_key, content)

    async def _read_object(self, key: str) -> Result[bytes, Failure]:
        found = await self._objects.get(key)
        if found.is_ok() and found.ok is None:
            return Error(Failure(Reason.INTERNAL, "jobs.read-object", "store", f"{key} is missing"))
        return found

    async def _store_body(self, job_id: str, content: bytes) -> Result[Body, Failure]:
        if len(content) <= _MAX_INLINE_BODY_BYTES:
            return Ok(Body(inline=base64.b64encode(content).decode()))
        key = f"job-bodies/{job_id}"
        put = await self._objects.put(key, content)
        return put.map(lambda _: Body(object_key=key))

    async def _commit(self, transaction: Transaction) -> Result[None, Failure]:
        """Commit; repeat the same conditional transaction if its outcome is unknown.

        If an earlier try took effect, the repetition conflicts; the caller then reads the row.
        """
        may_have_committed = False
        for attempt in range(_MAX_COMMIT_ATTEMPTS):
            if attempt:
                await self._clock.sleep_ms(_RETRY_DELAY_MS)
            committed = await self._tables.commit(transaction)
            if committed.is_ok() or committed.error.reason is Reason.CONFLICT:
                return committed
            may_have_committed = may_have_committed or committed.error.ran is Ran.UNKNOWN
            if not may_have_committed:
                return committed
        return Error(evolve(committed.error, ran=Ran.UNKNOWN))

    async def _find_created(
        self, record: JobRecord, idempotency_key: str, request_digest: str
    ) -> Result[CreatedJob, Failure]:
        job_id = record.job_id
        if idempotency_key:
            row = await self._tables.get(KEY_TABLE, key_row(record.organisation, idempotency_key))
            if row.is_error():
                return Error(evolve(row.error, ran=Ran.UNKNOWN))
            if row.ok is not None:
                key = from_plain(row.ok.value, JobKey)
                if key.request_digest != request_digest:
                    return Error(Failure(Reason.KEY_MISMATCH, "jobs.create"))
                job_id = key.job_id
        found = await self.find(job_id)
        if found.is_error():
            return Error(evolve(found.error, ran=Ran.UNKNOWN))
        if found.ok is None:
            return Error(Failure(Reason.CONFLICT, "jobs.create", "store", f"{job_id} is missing"))
        return Ok(CreatedJob(record=found.ok, existed=job_id != record.job_id))


def with_new_revision(record: JobRecord) -> JobRecord:
    """Return the record with a new unique revision."""
    return evolve(record, revision=uuid.uuid4().hex)


def _creation_transaction(
    record: JobRecord, organisation: str, idempotency_key: str, request_digest: str
) -> Transaction:
    index_key = open_row(record.queue, record.job_id)
    checks = [Check(JOB_TABLE, record.job_id, ABSENT)]
    puts = [
        Put(JOB_TABLE, record.job_id, to_plain(record)),
        Put(OPEN_TABLE, index_key, to_plain(open_entry(record))),
    ]
    if idempotency_key:
        key = JobKey(job_id=record.job_id, request_digest=request_digest)
        row = key_row(organisation, idempotency_key)
        checks.append(Check(KEY_TABLE, row, ABSENT))
        puts.append(Put(KEY_TABLE, row, to_plain(key)))
    return Transaction(checks=tuple(checks), puts=tuple(puts))


def _write_transaction(write: JobWrite) -> Transaction:
    stored, record = write.stored, write.record
    index_key = open_row(record.queue, record.job_id)
    checks = [Check(OPEN_TABLE, index_key, stored.fence)]
    if stored.version is not None:
        checks.append(Check(JOB_TABLE, record.job_id, stored.version))
    puts = [Put(JOB_TABLE, record.job_id, to_plain(record))]
    if record.is_final:
        deletes = (Delete(OPEN_TABLE, index_key),)
        return Transaction(checks=tuple(checks), puts=tuple(puts), deletes=deletes)
    if open_entry(record) != open_entry(stored.record):
        puts.append(Put(OPEN_TABLE, index_key, to_plain(open_entry(record))))
    return Transaction(checks=tuple(checks), puts=tuple(puts))
