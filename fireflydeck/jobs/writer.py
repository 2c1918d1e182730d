"""Batched writes of a runner: lease renewals, checkpoints and outcomes of attempts."""

from collections.abc import Iterable, Mapping

import anyio
from attrs import evolve, frozen

from fireflydeck.core import JobState, Reason
from fireflydeck.jobs.held_job import HeldJob, JobContext, Transition
from fireflydeck.jobs.record import JobRecord
from fireflydeck.jobs.rows import StoredJob
from fireflydeck.jobs.store import JobWrite, with_new_revision
from fireflydeck.jobs.transitions import record_checkpoint
from fireflydeck.kernel import Event

__all__ = ["BatchWriter"]

_MAX_BATCH_JOBS = 100
_MAX_CONCURRENT_RELOADS = 16


@frozen
class _PendingWrite:
    held: HeldJob
    write: JobWrite


class BatchWriter:
    """Writes the changes of all held jobs in batches, one transaction per batch.

    Parameters
    ----------
    context
        Shared services and options of the runner.
    held
        The jobs that the runner holds, by job id.
    """

    def __init__(self, context: JobContext, held: Mapping[str, HeldJob]) -> None:
        self._context = context
        self._held = held
        self._renewed_ms: int | None = None
        self._store_reachable = True

    @property
    def lease_is_valid(self) -> bool:
        """Whether no other runner can have taken over a job of this runner.

        The lease runs from the start of the last successful renewal.
        """
        if self._renewed_ms is None:
            return False
        lease_ms = self._context.options.holder_lease_ms
        return self._context.clock.now_ms() < self._renewed_ms + lease_ms

    @property
    def store_reachable(self) -> bool:
        """Whether the store answered the last write."""
        return self._store_reachable

    async def write_and_release(self, held: HeldJob, transition: Transition) -> None:
        """Write the last change to a held job; wait until it is written or the job is lost."""
        held.transition = transition
        await held.wait_released()

    async def flush(self) -> None:
        """Write all pending changes and due checkpoints, and renew the lease if it is due."""
        await self._reload(held for held in self._held.values() if held.stale)
        pending = self._due_writes()
        for start in range(0, len(pending), _MAX_BATCH_JOBS):
            await self._commit(pending[start : start + _MAX_BATCH_JOBS])
        if self._renewal_is_due():
            await self._commit([])

    async def reload(self, held: HeldJob) -> None:
        """Read the job's row and check whether this runner still holds the job."""
        record = held.record
        loaded = await self._context.store.load(record.queue, record.job_id)
        if loaded.is_error():
            return
        held.stale = False
        if loaded.ok is not None and loaded.ok.record.revision in held.revisions:
            held.mark_released()
        elif loaded.ok is None or not self._is_still_held(loaded.ok.record, record):
            self._context.log.emit(Event.JOB_LET_GO, job_id=record.job_id)
            self._context.metrics.count("jobs_let_go_total")
            held.mark_released(lost=True)
        else:
            held.stored = evolve(loaded.ok, version=None)

    def _is_still_held(self, found: JobRecord, known: JobRecord) -> bool:
        same_lease = found.lease_sequence == known.lease_sequence
        is_holder = found.holder == self._context.holder
        return found.state is JobState.RUNNING and is_holder and same_lease

    def _renewal_is_due(self) -> bool:
        if self._renewed_ms is None:
            return True
        age_ms = self._context.clock.now_ms() - self._renewed_ms
        return age_ms >= self._context.options.renewal_interval_ms

    def _due_writes(self) -> list[_PendingWrite]:
        writes = (self._due_write(held) for held in self._held.values())
        pending = [item for item in writes if item is not None]
        return sorted(pending, key=lambda item: item.held.transition is None)

    def _due_write(self, held: HeldJob) -> _PendingWrite | None:
        if held.is_released:
            return None
        if held.transition is not None:
            changed = held.transition(held.record)
        elif self._checkpoint_is_due(held):
            changed = record_checkpoint(held.record, held.checkpoint)
        else:
            return None
        if changed.is_error():
            held.stale = True
            return None
        record = with_new_revision(changed.ok)
        if held.transition is not None:
            held.revisions.add(record.revision)
        return _PendingWrite(held, JobWrite(stored=held.stored, record=record))

    def _checkpoint_is_due(self, held: HeldJob) -> bool:
        age_ms = self._context.clock.now_ms() - held.checkpoint_written_ms
        is_old = age_ms >= self._context.options.checkpoint_interval_ms
        return is_old and held.checkpoint != held.record.checkpoint

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        started_ms = self._context.clock.now_ms()
        writes = [item.write for item in batch]
        committed = await self._context.store.write_batch(writes, self._context.holder)
        if committed.is_ok():
            self._renewed_ms = started_ms
            self._set_store_reachable(True)
            for item in batch:
                self._mark_written(item, started_ms)
        elif committed.error.reason is Reason.CONFLICT:
            self._set_store_reachable(True)
            await self._reload(item.held for item in batch)
        else:
            self._set_store_reachable(False)

    def _mark_written(self, item: _PendingWrite, now_ms: int) -> None:
        held, record = item.held, item.write.record
        held.checkpoint_written_ms = now_ms
        if record.revision in held.revisions:
            held.mark_released()
        else:
            held.stored = StoredJob(record=record, fence=held.stored.fence, version=None)

    def _set_store_reachable(self, reachable: bool) -> None:
        if reachable != self._store_reachable:
            event = Event.JOB_STORE_AVAILABLE if reachable else Event.JOB_STORE_UNAVAILABLE
            self._context.log.emit(event, held=len(self._held))
        self._store_reachable = reachable

    async def _reload(self, jobs: Iterable[HeldJob]) -> None:
        limiter = anyio.Semaphore(_MAX_CONCURRENT_RELOADS)

        async def reload_one(held: HeldJob) -> None:
            async with limiter:
                await self.reload(held)

        async with anyio.create_task_group() as tasks:
            for held in list(jobs):
                tasks.start_soon(reload_one, held)
