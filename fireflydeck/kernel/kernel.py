"""Start and graceful stop of the services of a process."""

import signal

import anyio
from anyio.abc import TaskStatus

from fireflydeck.core import Clock, SystemClock
from fireflydeck.kernel.events import Event, EventLog
from fireflydeck.kernel.metrics import Metrics
from fireflydeck.kernel.service import Registry, Service

__all__ = ["Kernel"]


class Kernel:
    """Runner of the services of one process.

    Parameters
    ----------
    name
        Name of the process, unique in the fleet.
    role
        Role of the process, for logs.
    clock
        Source of time; the system clock by default.
    """

    def __init__(self, name: str, role: str, clock: Clock | None = None) -> None:
        self._name = name
        self._role = role
        self._clock = clock or SystemClock()
        self._log = EventLog(role=role, member=name)
        self._metrics = Metrics()
        self._registry = Registry()
        self._stop_requested = anyio.Event()

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self._name

    @property
    def role(self) -> str:
        """Return the role of the process."""
        return self._role

    @property
    def clock(self) -> Clock:
        """Return the source of time."""
        return self._clock

    @property
    def log(self) -> EventLog:
        """Return the log of the process."""
        return self._log

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the process."""
        return self._metrics

    @property
    def registry(self) -> Registry:
        """Return the registry of the process's services."""
        return self._registry

    @property
    def is_stopping(self) -> bool:
        """Return whether the graceful stop has been requested."""
        return self._stop_requested.is_set()

    def add(self, service: Service) -> None:
        """Register a service; services start in the order of registration.

        Raises
        ------
        ValueError
            If a service of that name is already registered.
        """
        self._registry.add(service)

    def request_stop(self) -> None:
        """Request the graceful stop."""
        self._stop_requested.set()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run the services until a stop is requested, then stop them in reverse order.

        SIGTERM and SIGINT request a stop only in `run_with_signals`.
        """
        async with anyio.create_task_group() as tasks:
            started: list[Service] = []
            for service in self._registry.services:
                await service.start(self._registry, tasks)
                started.append(service)
            self._log.emit(Event.PROCESS_STARTED, services=len(started))
            task_status.started()
            await self._stop_requested.wait()
            self._log.emit(Event.PROCESS_STOPPING)
            for service in reversed(started):
                await service.stop()
            tasks.cancel_scope.cancel()
        self._log.emit(Event.PROCESS_STOPPED)

    async def run_with_signals(self) -> None:
        """Run the services, and stop them gracefully on SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            await self.run()
            tasks.cancel_scope.cancel()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request_stop()
