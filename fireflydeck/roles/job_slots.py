"""Scheduler slots for jobs, and notifications about jobs to the owner of their queue."""

from collections.abc import Callable

from anyio.abc import TaskGroup
from expression import Result

from fireflydeck import dispatcher, jobs
from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Clock, Failure, Queue, SlotRequest
from fireflydeck.dispatcher import BackendClient, Scheduler
from fireflydeck.jobs import JobNotifier, JobRecord, SlotSource
from fireflydeck.kernel import Registry, Service
from fireflydeck.peers import OwnerRanking, PeerClient
from fireflydeck.peers.messages import JobCancelled, JobQueued, Message

__all__ = ["JobSlots", "OwnerNotifier", "QueueOwnership"]

_SCHEDULER_OUTCOMES = {
    jobs.SlotOutcome.FINISHED: dispatcher.SlotOutcome.FINISHED,
    jobs.SlotOutcome.FAILED: dispatcher.SlotOutcome.FAILED,
    jobs.SlotOutcome.LOST: dispatcher.SlotOutcome.UNREACHABLE,
    jobs.SlotOutcome.NOT_STARTED: dispatcher.SlotOutcome.REFUSED,
}
_POLL_INTERVAL_MS = 2_000

_MIN_ABSENT_POLLS = 2
"""Number of consecutive answers without the task after which it counts as ended.

When the first one arrives, the request to start the task may still be in transit to its VM.
"""


class JobSlots(SlotSource, Service):
    """Provides jobs with slots of the scheduler.

    A task that is handed over continues to run on its VM, and the member that takes it over
    acquires no slot for it. Its slot therefore remains occupied here until the VM no longer reports
    the task as running. If this process stops first, the task remains counted by its grant in the
    store, which is returned when the task has ended.

    Parameters
    ----------
    scheduler
        Grants slots.
    client
        Queries the backend servers for their running tasks.
    is_stopping
        Returns whether this process is stopping.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        client: BackendClient,
        clock: Clock,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._clock = clock
        self._is_stopping = is_stopping
        self._grants: dict[str, dispatcher.SlotGrant] = {}
        self._handed_over_tasks = 0
        self._tasks: TaskGroup | None = None

    @property
    def name(self) -> str:
        """Name of the service."""
        return "job-slots"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Store the task group in which tasks that were handed over are monitored."""
        self._tasks = tasks

    def state(self) -> dict[str, int]:
        """Return the number of occupied slots and of tasks handed over that still run."""
        return {"held": len(self._grants), "handed_over": self._handed_over_tasks}

    async def acquire(self, request: SlotRequest) -> Result[jobs.SlotGrant, Failure]:
        """Wait for a slot."""
        result = await self._scheduler.acquire(request)
        return result.map(self._store_grant)

    def release(self, grant: jobs.SlotGrant, outcome: jobs.SlotOutcome) -> None:
        """Release a slot, or monitor its task until it ends if the task was handed over."""
        scheduler_grant = self._grants.pop(grant.request_id)
        if outcome is not jobs.SlotOutcome.HANDED_OVER:
            self._scheduler.release(scheduler_grant, _SCHEDULER_OUTCOMES[outcome])
        elif not self._is_stopping():
            assert self._tasks is not None
            self._tasks.start_soon(self._release_when_ended, scheduler_grant)

    async def _release_when_ended(self, grant: dispatcher.SlotGrant) -> None:
        self._handed_over_tasks += 1
        prefix = f"{grant.request_id}."
        absent_polls = 0
        while absent_polls < _MIN_ABSENT_POLLS:
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            running = await self._client.running_tasks(grant.vm)
            if running.is_ok():
                is_running = any(task_id.startswith(prefix) for task_id in running.ok)
                absent_polls = 0 if is_running else absent_polls + 1
        self._handed_over_tasks -= 1
        self._scheduler.release(grant, dispatcher.SlotOutcome.UNUSED)

    def _store_grant(self, grant: dispatcher.SlotGrant) -> jobs.SlotGrant:
        self._grants[grant.request_id] = grant
        return jobs.SlotGrant(request_id=grant.request_id, vm=grant.vm, granted_ms=grant.granted_ms)


class QueueOwnership:
    """Finds the dispatcher that owns a queue in the current configuration.

    Parameters
    ----------
    view
        Configuration in force.
    """

    def __init__(self, view: ConfigurationView) -> None:
        self._view = view
        self._ranking = OwnerRanking()

    def owner_of(self, queue: str) -> str:
        """Return the name of the first-ranked owner of the queue's pool; empty if there is none."""
        entity = self._view.current.get(Queue, queue)
        owners = self._ranking.owners(entity.pool, self._view.current) if entity else []
        return owners[0].name if owners else ""


class OwnerNotifier(JobNotifier):
    """Notifies the owner of a queue about its jobs.

    A notification is sent to the first-ranked owner that is reachable and not stopping.

    Parameters
    ----------
    peers
        Connections to the dispatchers.
    view
        Configuration in force.
    """

    def __init__(self, peers: PeerClient, view: ConfigurationView) -> None:
        self._peers = peers
        self._view = view
        self._ranking = OwnerRanking()

    async def job_queued(self, record: JobRecord) -> None:
        """Announce a committed job."""
        await self._notify(record, JobQueued(job_id=record.job_id, queue=record.queue))

    async def job_cancelled(self, record: JobRecord) -> None:
        """Announce a cancellation."""
        await self._notify(record, JobCancelled(job_id=record.job_id))

    async def _notify(self, record: JobRecord, message: Message) -> None:
        queue = self._view.current.get(Queue, record.queue)
        owners = self._ranking.owners(queue.pool, self._view.current) if queue else []
        for owner in owners:
            if self._peers.is_alive(owner) and not self._peers.is_stopping(owner):
                await self._peers.send(owner, message)
                return
