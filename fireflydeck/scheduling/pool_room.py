"""Free capacity of a pool's backend servers during one planning pass."""

from attrs import define, field

from fireflydeck.core.placement import Resources
from fireflydeck.scheduling.servers import Server, available_cores, reserved_resources
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
