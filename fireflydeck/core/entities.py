"""Value objects of the configuration: pools, VMs, organisations, queues, data centres, members."""

from enum import StrEnum
from typing import ClassVar

from attrs import field, frozen

__all__ = [
    "DataCentre",
    "Entity",
    "EntityKey",
    "MaintenanceWindow",
    "Member",
    "MemberRole",
    "Pool",
    "Queue",
    "Organisation",
    "Urgency",
    "Vm",
    "VmState",
]


class Urgency(StrEnum):
    """Urgency with which a request should start."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class VmState(StrEnum):
    """Life-cycle state of a VM with a backend server.

    Only `IN_SERVICE` VMs receive new work. `DRAINING`, `MAINTENANCE` and `FAILED` VMs count as
    unavailable against their pool's availability budget.
    """

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    MAINTENANCE = "maintenance"
    FAILED = "failed"


class MemberRole(StrEnum):
    """Role of a process in the fleet."""

    GATEWAY = "gateway"
    DISPATCHER = "dispatcher"
    CONTROLLER = "controller"


@frozen
class EntityKey:
    """Key that identifies an entity of the configuration."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}:{self.name}"


@frozen(kw_only=True)
class Entity:
    """Base class of all entities of the configuration."""

    kind: ClassVar[str] = ""
    name: str

    @property
    def key(self) -> EntityKey:
        """Return the key that identifies this entity."""
        return EntityKey(self.kind, self.name)


@frozen(kw_only=True)
class Pool(Entity):
    """A pool of VMs that serve the same queues.

    Parameters
    ----------
    max_unavailable
        Availability budget: the maximum number of the pool's VMs that planned work may have out
        of service at the same time. Unplanned failures count against it.
    spare
        Whether other pools may use this pool's idle slots.
    """

    kind: ClassVar[str] = "pool"
    max_unavailable: int = 1
    spare: bool = False


@frozen(kw_only=True)
class Vm(Entity):
    """A VM with a backend server; it belongs to exactly one pool.

    Parameters
    ----------
    address
        ``ip:port`` of the backend server.
    slots
        Number of tasks that the backend server can run at the same time.
    maintained_ms
        Wall time at which the last maintenance finished, in milliseconds since the Unix epoch;
        0 if there was none.
    """

    kind: ClassVar[str] = "vm"
    pool: str
    address: str
    data_centre: str
    rack: str = ""
    state: VmState = VmState.IN_SERVICE
    cores: int = 32
    memory_mb: int = 65536
    slots: int = 8
    connections: int = 64
    accelerators: int = 0
    maintained_ms: int = 0


@frozen(kw_only=True)
class Queue(Entity):
    """A queue to which callers send requests; its work runs in one pool.

    Parameters
    ----------
    open_to_all
        Whether requests are accepted without an organisation key.
    max_waiting
        Maximum number of requests that wait at the same time.
    """

    kind: ClassVar[str] = "queue"
    pool: str
    open_to_all: bool = False
    max_waiting: int = 1000


@frozen(kw_only=True)
class Organisation(Entity):
    """An organisation whose members submit requests.

    Parameters
    ----------
    share
        Weight with which the organisation shares the capacity when it is exhausted.
    limit
        Maximum number of tasks that the organisation runs at the same time in the whole fleet.
    key_hashes
        SHA-256 hashes, in hexadecimal, of the keys granted to the organisation.
    """

    kind: ClassVar[str] = "organisation"
    share: int = 1
    limit: int = 1
    key_hashes: tuple[str, ...] = field(default=(), converter=tuple)


@frozen(kw_only=True)
class DataCentre(Entity):
    """A data centre; operators take it out of service and return it to service."""

    kind: ClassVar[str] = "data_centre"
    region: str = ""
    in_service: bool = True


@frozen(kw_only=True)
class MaintenanceWindow(Entity):
    """A planned period during which a data centre is out of service.

    Parameters
    ----------
    start_ms, end_ms
        Bounds of the period in wall time, in milliseconds since the Unix epoch.
    """

    kind: ClassVar[str] = "maintenance_window"
    data_centre: str
    start_ms: int
    end_ms: int


@frozen(kw_only=True)
class Member(Entity):
    """A process of the fleet.

    Parameters
    ----------
    address
        ``ip:port`` of the member's peer listener.
    vm
        Entry VM on which the process runs, at most one process of each role per VM.
    fenced
        Whether the member was declared dead; a fenced member may not start work.
    """

    kind: ClassVar[str] = "member"
    role: MemberRole
    address: str
    vm: str = ""
    data_centre: str = ""
    fenced: bool = False
