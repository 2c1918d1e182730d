"""Value objects for placement: resources, and the registrations of backend servers."""

from enum import StrEnum

from attrs import evolve, frozen

__all__ = ["BackendServerState", "Registration", "Resources"]


@frozen
class Resources:
    """An amount of capacity or demand.

    Parameters
    ----------
    cpu
        Processor time in thousandths of a core.
    memory_mb
        Memory in megabytes.
    accelerators
        Number of whole devices.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, demand: "Resources") -> bool:
        """Return whether `demand` fits in this amount."""
        return (
            demand.cpu <= self.cpu
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )

    def without_cpu(self) -> "Resources":
        """Return the same amount without processor time."""
        return evolve(self, cpu=0)


class BackendServerState(StrEnum):
    """State that a backend server reports in its registration."""

    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True)
class Registration:
    """The entry that a backend server writes about itself to the store.

    Parameters
    ----------
    born_ms
        Unix time at which this incarnation started, in milliseconds. A changed value means that
        the server restarted and that all its earlier runs are lost.
    clock_ms
        Time on the backend server's own monotonic clock at which it wrote the entry.
    remaining_ms
        Minimum time until the server leaves, in milliseconds; set only while it drains.
    """

    server_id: str
    pool: str
    address: str
    data_centre: str
    state: BackendServerState
    capacity: Resources
    labels: frozenset[str]
    rack: str = ""
    born_ms: int = 0
    clock_ms: int = 0
    remaining_ms: int = 0
    vm: str = ""
