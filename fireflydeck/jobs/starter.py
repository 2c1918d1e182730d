"""Start of a queued job: wait for a slot, record the attempt, start the task on the VM."""

from collections.abc import Callable

from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason, Vm
from fireflydeck.jobs.held_job import HeldJob, JobContext
from fireflydeck.jobs.interfaces import SlotGrant, SlotRequest
from fireflydeck.jobs.record import JobRecord
from fireflydeck.jobs.rows import StoredJob
from fireflydeck.jobs.tasks import TaskStart
from fireflydeck.jobs.transitions import excluded_vms, fail, start_attempt
from fireflydeck.jobs.writer import BatchWriter
from fireflydeck.kernel import Event

__all__ = ["JobStarter", "PreparedAttempt"]

_SLOT_WAIT_MS = 3_600_000


class PreparedAttempt:
    """An attempt that is recorded in the store but not started yet.

    Parameters
    ----------
    held
        The job.
    content
        Body of the job.
    grant
        Slot for the task.
    """

    def __init__(self, held: HeldJob, content: bytes, grant: SlotGrant) -> None:
        self.held = held
        self.content = content
        self.grant = grant


class JobStarter:
    """Starts queued jobs.

    Parameters
    ----------
    context
        Shared services and options of the runner.
    writer
        Writer that reports whether the runner's lease is valid.
    """

    def __init__(self, context: JobContext, writer: BatchWriter) -> None:
        self._context = context
        self._writer = writer
        self._unsent_attempts: dict[str, int] = {}

    def was_never_sent(self, record: JobRecord) -> bool:
        """Return whether this runner recorded the open attempt but certainly never sent its start.

        This happens when the outcome of the write that records the attempt is unknown.
        """
        is_own = record.holder == self._context.holder
        return is_own and self._unsent_attempts.get(record.job_id) == record.lease_sequence

    def forget(self, job_id: str) -> None:
        """Drop the entry of an attempt whose start was never sent."""
        self._unsent_attempts.pop(job_id, None)

    async def acquire(self, stored: StoredJob) -> Result[SlotGrant, Failure]:
        """Wait for a slot; a job that fits no VM is marked as failed."""
        record = stored.record
        request = SlotRequest(
            request_id=record.job_id,
            queue=record.queue,
            organisation=record.organisation,
            urgency=record.urgency,
            deadline_ms=self._context.clock.now_ms() + _SLOT_WAIT_MS,
            cores=record.cores,
            memory_mb=record.memory_mb,
            accelerators=record.accelerators,
            excluded_vms=excluded_vms(record),
        )
        grant = await self._context.slots.acquire(request)
        if grant.is_error() and grant.error.reason is Reason.FITS_NOWHERE:
            await self._fail(stored, grant.error)
        return grant

    async def prepare(
        self, stored: StoredJob, grant: SlotGrant
    ) -> Result[PreparedAttempt, Failure]:
        """Record the attempt; if two runners try concurrently, one of them gets a conflict."""
        record = stored.record
        if not self._context.configuration.is_fresh():
            return Error(Failure(Reason.STALE_CONFIGURATION, "jobs.prepare"))
        if not self._writer.lease_is_valid:
            return Error(Failure(Reason.STORE_UNAVAILABLE, "jobs.prepare", "store"))
        content = await self._context.store.content(record)
        if content.is_error():
            return Error(content.error)
        attempted = start_attempt(
            record,
            holder=self._context.holder,
            dispatcher=self._context.member,
            vm=grant.vm,
            wall_ms=self._context.clock.wall_ms(),
        )
        if attempted.is_error():
            return Error(attempted.error)
        updated = await self._context.store.update(stored, attempted.ok)
        if updated.is_error():
            self._remember_unsent_attempt(attempted.ok, updated.error)
            return Error(updated.error)
        self.forget(record.job_id)
        held = HeldJob(updated.ok, grant, self._context.clock.now_ms())
        return Ok(PreparedAttempt(held, content.ok, grant))

    async def start(self, prepared: PreparedAttempt) -> Result[None, Failure]:
        """Send the start request to the backend server.

        The failure's `ran` is `NO` if the task certainly did not start.
        """
        held, record = prepared.held, prepared.held.record
        start = TaskStart(
            task_id=held.task_id,
            organisation=record.organisation,
            attempt=record.attempts[-1].number,
            checkpoint=record.checkpoint,
            lease_ms=self._context.options.task_lease_ms,
            content=prepared.content,
        )
        guard = self._guard_for(held, prepared.grant.vm)
        started = await self._context.tasks.start(held.address, start, guard)
        fields = {"job_id": held.job_id, "task_id": held.task_id, "vm": held.vm}
        outcome = started.error.reason if started.is_error() else "started"
        self._context.log.emit(Event.JOB_ATTEMPT_STARTED, **fields, outcome=outcome)
        return started

    def _guard_for(self, held: HeldJob, vm: Vm) -> Callable[[], Failure | None]:
        """Return the check that runs immediately before the first byte of the start is sent."""

        def guard() -> Failure | None:
            configuration = self._context.configuration
            if not configuration.is_fresh():
                return Failure(Reason.STALE_CONFIGURATION, "jobs.start")
            if held.lost or held.record.cancel_requested or not self._writer.lease_is_valid:
                return Failure(Reason.NOT_OWNER, "jobs.start")
            known = configuration.current.get(Vm, vm.name)
            if known is None or known.address != vm.address or known.pool != vm.pool:
                return Failure(Reason.NO_CAPACITY, "jobs.start", vm.name, "the VM has moved")
            if not configuration.current.accepts_work(known):
                return Failure(Reason.NO_CAPACITY, "jobs.start", vm.name, "out of service")
            return None

        return guard

    def _remember_unsent_attempt(self, attempted: JobRecord, failure: Failure) -> None:
        if failure.ran is Ran.UNKNOWN:
            self._unsent_attempts[attempted.job_id] = attempted.lease_sequence

    async def _fail(self, stored: StoredJob, failure: Failure) -> None:
        detail = f"no VM fits: {failure.detail}" if failure.detail else "no VM fits"
        failed = fail(stored.record, detail)
        if failed.is_ok():
            await self._context.store.update(stored, failed.ok)
