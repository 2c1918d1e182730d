"""Value objects of the fleet that work is placed on."""

from enum import StrEnum

from attrs import evolve, frozen

__all__ = ["BackendServerState", "Registration", "Resources"]


@frozen
class Resources:
    """An amount of capacity or demand.

    Parameters
    ----------
    cpu
        Thousandths of a core.
    memory_mb
        Megabytes.
    accelerators
        Whole devices.
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
        """Whether `demand` fits in this amount."""
        return (
            demand.cpu <= self.cpu
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )

    def without_cpu(self) -> "Resources":
        """Return the same amount with no processor time."""
        return evolve(self, cpu=0)


class BackendServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True)
class Registration:
    """A backend server's own entry in the store.

    Parameters
    ----------
    born_ms
        Unix time of the start of this life; another value means that all earlier work is gone.
    clock_ms
        The backend server's own steady clock when it wrote the entry.
    remaining_ms
        The least time until it leaves; only while it drains.
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
