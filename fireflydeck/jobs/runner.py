"""Service that runs long-running jobs and takes over the jobs of runners whose leases lapsed."""

import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import field, frozen
from expression import Result

from fireflydeck.core import Clock, Failure, JobState, Ran
from fireflydeck.jobs.held_job import HeldJob, JobContext, JobOptions, ResultMemory
from fireflydeck.jobs.holder_watch import HolderWatch
from fireflydeck.jobs.interfaces import ConfigurationReader, SlotGrant, SlotOutcome, SlotSource
from fireflydeck.jobs.record import AttemptOutcome
from fireflydeck.jobs.rows import HOLDER_TABLE, HolderLease, OpenJob, StoredJob, open_entry
from fireflydeck.jobs.starter import JobStarter
from fireflydeck.jobs.store import JobStore
from fireflydeck.jobs.task_monitor import TaskMonitor
from fireflydeck.jobs.tasks import TaskClient
from fireflydeck.jobs.transitions import take_over
from fireflydeck.jobs.writer import BatchWriter
from fireflydeck.kernel import Event, EventLog, Metrics, Registry, Service
from fireflydeck.tables import Check

__all__ = ["JobRunner", "JobRunnerDependencies"]

_DEAD_HOLDER_AGE_MS = 600_000
_STOP_POLL_MS = 100


@frozen(kw_only=True)
class JobRunnerDependencies:
    """Dependencies of a job runner.

    Parameters
    ----------
    owns
        Returns whether this process owns a queue and runs its jobs.
    """

    member: str
    store: JobStore
    tasks: TaskClient
    slots: SlotSource
    configuration: ConfigurationReader
    owns: Callable[[str], bool]
    clock: Clock
    log: EventLog
    metrics: Metrics
    options: JobOptions = field(factory=JobOptions)


class JobRunner(Service):
    """Runs the jobs of the owned queues; keeps a held job even if its queue gets another owner.

    If two runners own the same queue for a while, some of their tries are wasted; the
    compare-and-swap on the job's rows decides which of them starts an attempt.

    Parameters
    ----------
    dependencies
        Services, options and identity of the runner.
    """

    def __init__(self, dependencies: JobRunnerDependencies) -> None:
        self._owns = dependencies.owns
        self._options = dependencies.options
        self._clock = dependencies.clock
        self._context = JobContext(
            member=dependencies.member,
            holder=f"{dependencies.member}/{uuid.uuid4().hex[:12]}",
            store=dependencies.store,
            tasks=dependencies.tasks,
            slots=dependencies.slots,
            configuration=dependencies.configuration,
            clock=dependencies.clock,
            log=dependencies.log,
            metrics=dependencies.metrics,
            options=dependencies.options,
            results=ResultMemory(dependencies.options.result_bytes),
        )
        self._held: dict[str, HeldJob] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._in_progress: set[str] = set()
        self._retry_at_ms: dict[str, int] = {}
        self._writer = BatchWriter(self._context, self._held)
        self._starter = JobStarter(self._context, self._writer)
        self._watch = HolderWatch(dependencies.options.holder_lease_ms)
        self._stopping = False
        self._stopped = False
        self._task_group: TaskGroup | None = None

    @property
    def name(self) -> str:
        """Name of the service."""
        return "jobs"

    @property
    def holder(self) -> str:
        """Name of this runner in the table rows: member name and incarnation."""
        return self._context.holder

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the scan loop and the write loop."""
        self._task_group = tasks
        tasks.start_soon(self._write_loop)
        tasks.start_soon(self._scan_loop)

    async def stop(self) -> None:
        """Stop gracefully: start no attempts, store finished results, hand over running tasks."""
        self._stopping = True
        for waiting in self._waiting.values():
            waiting.scope.cancel()
        for held in self._held.values():
            held.hand_over_requested = True
        deadline_ms = self._clock.now_ms() + self._options.hand_over_timeout_ms
        while self._held or self._in_progress:
            if self._clock.now_ms() >= deadline_ms and not self._has_results():
                break
            await self._clock.sleep_ms(_STOP_POLL_MS)
        self._stopped = True
        await self._remove_own_lease()

    def state(self) -> dict[str, Any]:
        """Return the held jobs, the jobs that wait for a slot, and the state of lease and store."""
        held = self._held.values()
        return {
            "holder": self.holder,
            "lease_is_valid": self._writer.lease_is_valid,
            "store_reachable": self._writer.store_reachable,
            "result_bytes_in_memory": self._context.results.used_bytes,
            "held": [
                {"task_id": job.task_id, "vm": job.vm, "queue": job.record.queue} for job in held
            ],
            "waiting": sorted(self._waiting),
        }

    async def notify_queued(self, job_id: str, queue: str) -> None:
        """Pick up a newly committed job without waiting for the next scan."""
        if not self._owns(queue) or self._stopping or self._is_known(job_id):
            return
        loaded = await self._context.store.load(queue, job_id)
        if loaded.is_ok() and loaded.ok is not None and loaded.ok.fence:
            stored = loaded.ok
            self._pick_up(OpenJob(entry=open_entry(stored.record), fence=stored.fence))

    def notify_cancelled(self, job_id: str) -> None:
        """Cancel the wait for a job's slot, or have a held job's row read at the next flush."""
        if job_id in self._waiting:
            self._waiting[job_id].scope.cancel()
        if job_id in self._held:
            self._held[job_id].stale = True

    async def _write_loop(self) -> None:
        while not self._stopped:
            await self._run_step("jobs.write", self._writer.flush)
            await self._clock.sleep_ms(self._options.flush_interval_ms)

    async def _scan_loop(self) -> None:
        while not self._stopping:
            await self._run_step("jobs.scan", self.scan)
            await self._clock.sleep_ms(self._options.scan_interval_ms)

    async def _run_step(self, step: str, action: Callable[[], Awaitable[None]]) -> None:
        try:
            await action()
        except Exception as error:
            self._context.log.emit(Event.JOB_STEP_FAILED, step=step, error=repr(error))
            self._context.metrics.count("job_step_failures_total", step=step)

    async def scan(self) -> None:
        """Process the open jobs of the owned queues once.

        A single read covers all queues, because most queues have no open job most of the time.
        """
        holders = await self._context.store.holders()
        if holders.is_error():
            return
        self._watch.observe(holders.ok, self._clock.now_ms())
        await self._remove_dead_holders(holders.ok)
        self._cancel_waits_in_unowned_queues()
        await self._scan_open_jobs()
        self._prune_retry_times()

    def _cancel_waits_in_unowned_queues(self) -> None:
        """Cancel waits for slots in queues that this process no longer owns."""
        for waiting in self._waiting.values():
            if not self._owns(waiting.queue):
                waiting.scope.cancel()

    async def _scan_open_jobs(self) -> None:
        known = set(self._waiting)
        jobs = await self._context.store.open_jobs()
        if jobs.is_error() or self._stopping:
            return
        for job in jobs.ok:
            if self._owns(job.entry.queue):
                self._process_open_job(job)
        for job_id in known - {job.entry.job_id for job in jobs.ok}:
            self.notify_cancelled(job_id)

    def _process_open_job(self, job: OpenJob) -> None:
        entry = job.entry
        held = self._held.get(entry.job_id)
        if held is not None:
            held.stale = held.stale or held.stored.fence != job.fence
        elif self._is_known(entry.job_id):
            return
        elif entry.state is JobState.QUEUED:
            self._pick_up(job)
        else:
            self._take_over_if_allowed(job)

    def _take_over_if_allowed(self, job: OpenJob) -> None:
        entry = job.entry
        checks: tuple[Check, ...] = ()
        if entry.holder not in ("", self.holder):
            version = self._watch.lapsed_version(entry.holder, self._clock.now_ms())
            if version is None:
                return
            checks = (Check(HOLDER_TABLE, entry.holder, version),)
        self._in_progress.add(entry.job_id)
        self._spawn(entry.job_id, lambda: self._take_over(job, checks))

    def _pick_up(self, job: OpenJob) -> None:
        entry = job.entry
        now_ms = self._clock.now_ms()
        if entry.state is not JobState.QUEUED or now_ms < self._retry_at_ms.get(entry.job_id, 0):
            return
        organisations = Counter((item.queue, item.organisation) for item in self._waiting.values())
        if organisations[entry.queue, entry.organisation] >= self._options.waiting_per_organisation:
            return
        waiting = _Waiting(
            queue=entry.queue, organisation=entry.organisation, scope=anyio.CancelScope()
        )
        self._waiting[entry.job_id] = waiting
        self._spawn(entry.job_id, lambda: self._run_queued(job, waiting))

    def _is_known(self, job_id: str) -> bool:
        return job_id in self._held or job_id in self._waiting or job_id in self._in_progress

    def _spawn(self, job_id: str, action: Callable[[], Awaitable[None]]) -> None:
        if self._task_group is not None:
            self._task_group.start_soon(self._run_job, job_id, action)

    async def _run_job(self, job_id: str, action: Callable[[], Awaitable[None]]) -> None:
        try:
            await self._run_step("jobs.run", action)
        finally:
            self._waiting.pop(job_id, None)
            self._in_progress.discard(job_id)
            held = self._held.pop(job_id, None)
            if held is not None:
                held.release_slot(self._context.slots, SlotOutcome.HANDED_OVER)
            self._retry_at_ms[job_id] = self._clock.now_ms() + self._options.retry_delay_ms

    async def _run_queued(self, job: OpenJob, waiting: "_Waiting") -> None:
        grant: Result[SlotGrant, Failure] | None = None
        with waiting.scope:
            loaded = await self._context.store.load(job.entry.queue, job.entry.job_id)
            if loaded.is_error() or not _is_startable(loaded.ok):
                return
            grant = await self._starter.acquire(loaded.ok)
        if grant is None or grant.is_error():
            return
        if waiting.scope.cancel_called:
            self._context.slots.release(grant.ok, SlotOutcome.NOT_STARTED)
            return
        await self._start(loaded.ok, grant.ok)

    async def _start(self, stored: StoredJob, grant: SlotGrant) -> None:
        self._in_progress.add(stored.record.job_id)
        self._waiting.pop(stored.record.job_id, None)
        prepared = await self._starter.prepare(stored, grant)
        if prepared.is_error():
            self._context.slots.release(grant, SlotOutcome.NOT_STARTED)
            return
        held = self._register_held(prepared.ok.held)
        started = await self._starter.start(prepared.ok)
        monitor = TaskMonitor(self._context, self._writer, held, start_confirmed=started.is_ok())
        if started.is_error() and started.error.ran is Ran.NO:
            await monitor.end(AttemptOutcome.NOT_STARTED, started.error.reason)
        else:
            await monitor.run()

    def _register_held(self, held: HeldJob) -> HeldJob:
        held.hand_over_requested = self._stopping
        self._held[held.job_id] = held
        return held

    async def _take_over(self, job: OpenJob, checks: tuple[Check, ...]) -> None:
        entry = job.entry
        loaded = await self._context.store.load(entry.queue, entry.job_id)
        if loaded.is_error() or loaded.ok is None or loaded.ok.fence != job.fence:
            return
        never_sent = self._starter.was_never_sent(loaded.ok.record)
        taken = take_over(loaded.ok.record, self.holder)
        if taken.is_error():
            return
        updated = await self._context.store.update(loaded.ok, taken.ok, checks=checks)
        if updated.is_error():
            return
        held = self._register_held(HeldJob(updated.ok, None, self._clock.now_ms()))
        self._context.log.emit(Event.JOB_TAKEN_OVER, job_id=entry.job_id, previous=entry.holder)
        self._context.metrics.count("job_take_overs_total")
        monitor = TaskMonitor(self._context, self._writer, held, start_confirmed=True)
        if never_sent:
            self._starter.forget(entry.job_id)
            await monitor.end(AttemptOutcome.NOT_STARTED, "never sent")
        else:
            await monitor.run()

    def _has_results(self) -> bool:
        return self._context.results.used_bytes > 0

    def _prune_retry_times(self) -> None:
        now_ms = self._clock.now_ms()
        self._retry_at_ms = {key: at for key, at in self._retry_at_ms.items() if at > now_ms}

    async def _remove_dead_holders(self, leases: tuple[HolderLease, ...]) -> None:
        now_ms = self._clock.now_ms()
        for lease in leases:
            if self._watch.unchanged_ms(lease, now_ms) >= _DEAD_HOLDER_AGE_MS:
                await self._context.store.remove_holder(lease)

    async def _remove_own_lease(self) -> None:
        holders = await self._context.store.holders()
        for lease in holders.default_value(()):
            if lease.holder == self.holder:
                await self._context.store.remove_holder(lease)


@frozen(kw_only=True)
class _Waiting:
    queue: str
    organisation: str
    scope: anyio.CancelScope


def _is_startable(stored: StoredJob | None) -> bool:
    return stored is not None and stored.record.state is JobState.QUEUED
