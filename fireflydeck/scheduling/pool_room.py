"""Free capacity of a pool's backend servers during one planning pass."""

from collections.abc import Iterable

from attrs import define, field

from fireflydeck.core.placement import Resources
from fireflydeck.policy.server_choice import BestFit
from fireflydeck.scheduling.servers import Server, available_cores, reserved_resources
from fireflydeck.workload.lifecycle import Attempt, Task
from fireflydeck.workload.specification import StepSpec

__all__ = ["PoolRoom"]


@define(eq=False)
class PoolRoom:
    """Servers of a pool that accept starts.

    Free capacity only shrinks while starts are planned. So a demand that fits on no server rules
    out every demand that is at least as large, and hundreds of waiting tasks of a full pool cost
    one look at its servers.

    Parameters
    ----------
    servers
        Servers that accept starts.
    """

    servers: list[Server]
    _too_large: list[Resources] = field(factory=list, init=False)

    @property
    def best_fit(self) -> BestFit:
        """Return the rule that selects one of several equally preferred servers."""
        return BestFit.FREE_CPU

    def may_fit(self, tasks: list[Task]) -> bool:
        """Return whether tasks that start together may find places."""
        return True

    def servers_for(self, task: Task) -> list[Server]:
        """Return the servers on which a task may start now, as far as capacity is concerned."""
        return self.servers_with_room(task.step)

    def reserved_demand(self, organisation: str) -> Resources:
        """Return what is reserved for waiting tasks of an organisation."""
        return Resources()

    def record_start(self, attempt: Attempt) -> None:
        """Record that an attempt was placed on one of the servers."""

    def withdraw_starts(self, attempts: Iterable[Attempt]) -> None:
        """Record that attempts which were placed in this pass were dropped again."""
        self.forget_full()

    def servers_with_room(self, step: StepSpec) -> list[Server]:
        """Return the servers whose free capacity is enough for a task of the step."""
        demand = reserved_resources(step)
        if any(demand.covers(known) for known in self._too_large):
            return []
        found = [server for server in self.servers if server.fits(step)]
        if not found:
            self._too_large.append(demand)
        return found

    def cores_for_jobs(self) -> float:
        """Return the cores that long-running tasks leave."""
        return sum(map(available_cores, self.servers))

    def forget_full(self) -> None:
        """Look at all servers again, since capacity became free during the pass."""
        self._too_large.clear()
