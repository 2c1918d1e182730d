"""Monitor of one running task: lease renewal, progress and collection of the result."""

from attrs import frozen

from fireflydeck.core import DataCentre, Failure, Ran, Reason, Vm
from fireflydeck.jobs.held_job import HeldJob, JobContext, Transition
from fireflydeck.jobs.interfaces import SlotOutcome
from fireflydeck.jobs.record import AttemptOutcome
from fireflydeck.jobs.tasks import TaskState, TaskStatus
from fireflydeck.jobs.transitions import end_attempt, finish, hand_over, record_checkpoint
from fireflydeck.jobs.writer import BatchWriter
from fireflydeck.kernel import Event

__all__ = ["TaskMonitor"]

_RENEWALS_PER_LEASE = 4

_SLOT_OUTCOME_BY_ATTEMPT = {
    AttemptOutcome.NOT_STARTED: SlotOutcome.NOT_STARTED,
    AttemptOutcome.FAILED: SlotOutcome.FAILED,
    AttemptOutcome.LOST: SlotOutcome.LOST,
    AttemptOutcome.LAPSED: SlotOutcome.LOST,
    AttemptOutcome.MOVED: SlotOutcome.FINISHED,
    AttemptOutcome.CANCELLED: SlotOutcome.FINISHED,
}


@frozen
class _TaskResult:
    """Result of a finished task; ``transition`` applies the outcome to the record."""

    content: bytes
    result_key: str
    transition: Transition


class TaskMonitor:
    """Monitors the task of one held job until this runner no longer holds the job.

    Parameters
    ----------
    start_confirmed
        Whether the backend server certainly received the start. Otherwise a task that it reports as
        unknown may still appear until the lease has expired.
    """

    def __init__(
        self, context: JobContext, writer: BatchWriter, held: HeldJob, *, start_confirmed: bool
    ) -> None:
        self._context = context
        self._writer = writer
        self._held = held
        self._start_confirmed = start_confirmed
        self._lease_sent_ms = context.clock.now_ms()
        self._last_step_ms = context.clock.now_ms()
        self._evacuation_checkpoint: str | None = None

    async def run(self) -> None:
        """Monitor the task; return when this runner no longer holds the job."""
        held = self._held
        while not held.lost:
            await self._step()
            if held.transition is not None:
                break
            await self._context.clock.sleep_ms(self._context.options.poll_interval_ms)
        held.release_slot(self._context.slots, SlotOutcome.HANDED_OVER)

    async def end(self, outcome: AttemptOutcome, detail: str = "") -> None:
        """Release the slot and record that the attempt ended without a result."""
        held = self._held
        held.release_slot(self._context.slots, _SLOT_OUTCOME_BY_ATTEMPT[outcome])
        fields = {"job_id": held.job_id, "task_id": held.task_id, "vm": held.vm}
        self._context.log.emit(Event.JOB_ATTEMPT_ENDED, **fields, outcome=outcome, detail=detail)
        self._context.metrics.count("job_attempts_ended_total", outcome=outcome)
        checkpoint = held.checkpoint
        await self._writer.write_and_release(
            held,
            lambda record: record_checkpoint(record, checkpoint).bind(
                lambda updated: end_attempt(updated, outcome, detail=detail)
            ),
        )

    async def _step(self) -> None:
        await self._recheck_after_pause()
        if self._held.lost:
            return
        if self._held.record.cancel_requested:
            await self._cancel()
        elif self._held.hand_over_requested:
            await self._hand_over()
        else:
            await self._poll()

    async def _recheck_after_pause(self) -> None:
        """Read the row again after a pause in which another runner may have taken over the job."""
        now_ms = self._context.clock.now_ms()
        paused = now_ms - self._last_step_ms >= self._context.options.holder_lease_ms
        self._last_step_ms = now_ms
        if paused:
            await self._writer.reload(self._held)

    async def _poll(self) -> None:
        held = self._held
        status = await self._context.tasks.status(held.address, held.task_id)
        if status.is_error():
            await self._handle_status_error(status.error)
        elif status.ok is None:
            await self._handle_unknown_task()
        else:
            self._start_confirmed = True
            await self._handle_status(status.ok)

    async def _handle_status(self, status: TaskStatus) -> None:
        if status.checkpoint:
            self._held.checkpoint = status.checkpoint
        if status.state is TaskState.RUNNING:
            await self._renew_if_due()
            await self._evacuate_at_checkpoint(status.checkpoint)
        elif status.state is TaskState.STOPPED:
            await self.end(AttemptOutcome.LAPSED, "the backend server stopped the task")
        else:
            await self._collect_result(status)

    async def _handle_status_error(self, failure: Failure) -> None:
        if failure.reason is Reason.ANSWER_TOO_LARGE:
            await self.end(AttemptOutcome.FAILED, failure.detail)
        elif self._lease_has_lapsed():
            await self.end(AttemptOutcome.LOST, f"no answer from {failure.peer} for the lease time")

    async def _handle_unknown_task(self) -> None:
        if self._start_confirmed or self._lease_has_lapsed():
            await self.end(AttemptOutcome.LOST, "the backend server does not know the task")

    def _lease_has_lapsed(self) -> bool:
        options = self._context.options
        lapsed_ms = self._lease_sent_ms + options.task_lease_ms + options.lease_margin_ms
        return self._context.clock.now_ms() >= lapsed_ms

    async def _renew_if_due(self) -> None:
        held, options = self._held, self._context.options
        now_ms = self._context.clock.now_ms()
        if now_ms - self._lease_sent_ms < options.task_lease_ms // _RENEWALS_PER_LEASE:
            return
        renewed = await self._context.tasks.renew(held.address, held.task_id, options.task_lease_ms)
        if renewed.is_ok() or renewed.error.ran is Ran.UNKNOWN:
            self._lease_sent_ms = self._context.clock.now_ms()

    async def _evacuate_at_checkpoint(self, checkpoint: str) -> None:
        """Stop an idempotent task at its next checkpoint if its data centre is out of service."""
        if not self._held.record.idempotent or not self._data_centre_is_out():
            self._evacuation_checkpoint = None
            return
        if self._evacuation_checkpoint is None:
            self._evacuation_checkpoint = checkpoint
        if checkpoint == self._evacuation_checkpoint:
            return
        await self._writer.reload(self._held)
        if self._held.lost:
            return
        stopped = await self._context.tasks.stop(self._held.address, self._held.task_id)
        if stopped.is_ok():
            await self.end(AttemptOutcome.MOVED, "the data centre was taken out of service")

    def _data_centre_is_out(self) -> bool:
        configuration = self._context.configuration.current
        vm = configuration.get(Vm, self._held.vm)
        data_centre = configuration.get(DataCentre, vm.data_centre) if vm else None
        return data_centre is not None and not data_centre.in_service

    async def _cancel(self) -> None:
        stopped = await self._context.tasks.stop(self._held.address, self._held.task_id)
        if stopped.is_ok() or self._lease_has_lapsed():
            await self.end(AttemptOutcome.CANCELLED, "cancelled on request")

    async def _hand_over(self) -> None:
        held = self._held
        held.release_slot(self._context.slots, SlotOutcome.HANDED_OVER)
        checkpoint = held.checkpoint
        await self._writer.write_and_release(
            held, lambda record: record_checkpoint(record, checkpoint).bind(hand_over)
        )

    async def _collect_result(self, status: TaskStatus) -> None:
        """Store the result, then the end of the job.

        The result stays in memory while the store is unavailable. Without memory for it, the result
        stays on the backend server until the next poll.
        """
        content = status.content()
        if not self._context.results.reserve(len(content)):
            return
        try:
            await self._store_result(self._build_result(status, content))
        finally:
            self._context.results.free(len(content))

    def _build_result(self, status: TaskStatus, content: bytes) -> _TaskResult:
        result_key = f"job-results/{self._held.task_id}"
        code = status.status
        if status.state is TaskState.DONE:
            self._held.release_slot(self._context.slots, SlotOutcome.FINISHED)
            return _TaskResult(
                content,
                result_key,
                lambda record: finish(record, status=code, result_key=result_key),
            )
        self._held.release_slot(self._context.slots, SlotOutcome.FAILED)
        checkpoint, detail = self._held.checkpoint, f"the task failed with status {code}"
        return _TaskResult(
            content,
            result_key,
            lambda record: record_checkpoint(record, checkpoint).bind(
                lambda updated: end_attempt(
                    updated,
                    AttemptOutcome.FAILED,
                    detail=detail,
                    status=code,
                    result_key=result_key,
                )
            ),
        )

    async def _store_result(self, result: _TaskResult) -> None:
        held = self._held
        while not held.lost:
            stored = await self._context.store.put_result(result.result_key, result.content)
            if stored.is_ok():
                self._context.log.emit(Event.JOB_TASK_FINISHED, job_id=held.job_id, vm=held.vm)
                await self._writer.write_and_release(held, result.transition)
                return
            await self._context.clock.sleep_ms(self._context.options.poll_interval_ms)
