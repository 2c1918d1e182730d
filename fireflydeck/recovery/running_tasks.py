"""Counts of the tasks that run on backend servers, by dispatcher and organisation."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable

import anyio
import httpx
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Reason, Vm
from fireflydeck.core.converter import ConversionError, from_plain

__all__ = ["HttpRunningTasks", "RunningTasks", "TaskOwner", "TaskSurvey"]

_MAX_PARALLEL_REQUESTS = 32


@frozen
class TaskOwner:
    """The dispatcher and organisation of a task, by which running tasks are counted."""

    dispatcher: str
    organisation: str


@frozen(kw_only=True)
class _Task:
    dispatcher: str
    organisation: str


@frozen(kw_only=True)
class _Status:
    tasks: tuple[_Task, ...]


@frozen
class TaskSurvey:
    """Running tasks of several VMs.

    Parameters
    ----------
    counts
        Number of tasks on the VMs that answered.
    unreachable_vms
        Names of the VMs that gave no valid answer.
    """

    counts: Counter[TaskOwner]
    unreachable_vms: tuple[str, ...] = ()


class RunningTasks(ABC):
    """Counts the tasks that run on backend servers."""

    @abstractmethod
    async def count(self, vm: Vm) -> Result[Counter[TaskOwner], Failure]:
        """Return the number of tasks that run on a VM, by owner."""

    async def survey(self, vms: Iterable[Vm]) -> TaskSurvey:
        """Count the running tasks of all VMs, with a bounded number of parallel requests."""
        total: Counter[TaskOwner] = Counter()
        unreachable: list[str] = []
        limiter = anyio.CapacityLimiter(_MAX_PARALLEL_REQUESTS)

        async def ask(vm: Vm) -> None:
            async with limiter:
                result = await self.count(vm)
            if result.is_ok():
                total.update(result.ok)
            else:
                unreachable.append(vm.name)

        async with anyio.create_task_group() as tasks:
            for vm in vms:
                tasks.start_soon(ask, vm)
        return TaskSurvey(total, tuple(sorted(unreachable)))


class HttpRunningTasks(RunningTasks):
    """Counts the tasks that ``GET /-/status`` of each backend server reports.

    Parameters
    ----------
    client
        HTTP client; its timeouts apply to each request.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def count(self, vm: Vm) -> Result[Counter[TaskOwner], Failure]:
        """Return the number of tasks that run on a VM, by owner."""
        try:
            answer = await self._client.get(f"http://{vm.address}/-/status")
            answer.raise_for_status()
            status = from_plain(answer.json(), _Status)
        except (httpx.HTTPError, ValueError, ConversionError) as error:
            return Error(
                Failure(
                    Reason.BACKEND_UNREACHABLE,
                    step="recovery.status",
                    peer=vm.name,
                    detail=type(error).__name__,
                )
            )
        return Ok(Counter(TaskOwner(task.dispatcher, task.organisation) for task in status.tasks))
