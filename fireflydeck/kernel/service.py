"""Services of a process and the registry that finds them by name."""

from abc import ABC, abstractmethod
from typing import Any, TypeVar

from anyio.abc import TaskGroup

__all__ = ["Registry", "Service"]

S = TypeVar("S")


class Service(ABC):
    """Part of a process with its own start and stop.

    Services start in the order of their registration and stop in reverse order.
    """

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name under which other services find this one."""

    async def start(self, registry: "Registry", tasks: TaskGroup) -> None:
        """Start the service.

        Parameters
        ----------
        registry
            All services of the process.
        tasks
            Task group for background work; it is cancelled after all services have stopped.
        """
        return

    async def stop(self) -> None:
        """Stop gracefully: accept no new work and return when the accepted work is finished."""
        return

    def state(self) -> Any:
        """Return the state to dump, as plain data without secrets."""
        return None


class Registry:
    """Services of one process by name."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}

    @property
    def services(self) -> list[Service]:
        """Return the services in the order of their registration."""
        return list(self._services.values())

    def add(self, service: Service) -> None:
        """Register a service.

        Raises
        ------
        ValueError
            If a service of that name is already registered.
        """
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is already registered")
        self._services[service.name] = service

    def get(self, name: str, cls: type[S]) -> S:
        """Return the service with the given name.

        Raises
        ------
        LookupError
            If there is no such service, or it is not an instance of `cls`.
        """
        service = self._services.get(name)
        if not isinstance(service, cls):
            raise LookupError(f"no service {name!r} of type {cls.__name__}")
        return service
