"""Construction of the dispatcher process."""

from collections.abc import Mapping
from typing import Any

import httpx

from fireflydeck.core import MemberRole
from fireflydeck.dispatcher import (
    BackendClient,
    BackendClientOptions,
    Dispatcher,
    FleetAllotments,
    IdempotencyKeys,
    Scheduler,
)
from fireflydeck.jobs import JobRunner, JobRunnerDependencies, JobStore, TaskClient
from fireflydeck.peers import PeerListener, PeerSession, SubmissionServer
from fireflydeck.peers.messages import JobCancelled, JobQueued, Message
from fireflydeck.roles.job_slots import JobSlots, QueueOwnership
from fireflydeck.roles.process import MemberView, Process, make_process
from fireflydeck.roles.recording import RecordingDispatcher

__all__ = ["run_dispatcher"]

_TASK_TIMEOUT_S = 5.0
_MAX_TASK_CONNECTIONS = 64


async def run_dispatcher(settings: Mapping[str, Any]) -> None:
    """Run a dispatcher until SIGTERM.

    Parameters
    ----------
    settings
        Validated settings of the role.
    """
    process = make_process(MemberRole.DISPATCHER, settings)
    kernel = process.kernel
    view = MemberView(process.follower, process.member_name)
    allotments = FleetAllotments(
        view, process.platform.tables, kernel.clock, kernel.metrics, process.member_name
    )
    scheduler = Scheduler(view, allotments, kernel.clock, kernel.metrics, settings["data_centre"])
    client = BackendClient(
        BackendClientOptions(
            dispatcher=process.member_name, max_answer_bytes=settings["max_answer_bytes"]
        ),
        kernel.clock,
        kernel.metrics,
    )
    keys = IdempotencyKeys(
        process.platform.tables,
        process.platform.objects,
        kernel.clock,
        kernel.metrics,
        process.member_name,
    )
    dispatcher = Dispatcher(
        view, scheduler, client, keys, clock=kernel.clock, metrics=kernel.metrics
    )
    recording = RecordingDispatcher(dispatcher, process.make_history(), view)
    SubmissionServer(recording).register(process.listener)
    task_client, start_client = _make_http_client(_MAX_TASK_CONNECTIONS), _make_http_client(0)
    tasks = TaskClient(task_client, start_client, process.member_name)
    slots = JobSlots(scheduler, client, kernel.clock, lambda: kernel.is_stopping)
    runner = _make_job_runner(process, view, slots, tasks)
    _register_job_notices(process.listener, runner)
    for service in (allotments, keys, scheduler, slots, runner, dispatcher):
        kernel.add(service)
    await process.run()
    await client.close()
    await task_client.aclose()
    await start_client.aclose()


def _make_http_client(max_idle_connections: int) -> httpx.AsyncClient:
    limits = httpx.Limits(
        max_connections=_MAX_TASK_CONNECTIONS, max_keepalive_connections=max_idle_connections
    )
    return httpx.AsyncClient(limits=limits, timeout=_TASK_TIMEOUT_S, trust_env=False)


def _make_job_runner(
    process: Process, view: MemberView, slots: JobSlots, tasks: TaskClient
) -> JobRunner:
    kernel = process.kernel
    ownership = QueueOwnership(view)
    return JobRunner(
        JobRunnerDependencies(
            member=process.member_name,
            store=JobStore(process.platform.tables, process.platform.objects, kernel.clock),
            tasks=tasks,
            slots=slots,
            configuration=view,
            owns=lambda queue: ownership.owner_of(queue) == process.member_name,
            clock=kernel.clock,
            log=kernel.log,
            metrics=kernel.metrics,
        )
    )


def _register_job_notices(listener: PeerListener, runner: JobRunner) -> None:
    async def queued(_: PeerSession, message: Message) -> None:
        assert isinstance(message, JobQueued)
        await runner.notify_queued(message.job_id, message.queue)

    async def cancelled(_: PeerSession, message: Message) -> None:
        assert isinstance(message, JobCancelled)
        runner.notify_cancelled(message.job_id)

    listener.handle(JobQueued, queued)
    listener.handle(JobCancelled, cancelled)
