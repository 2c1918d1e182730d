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
    """How soon a request wants to start."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class VmState(StrEnum):
    """Life cycle of a backend server VM.

    Only `IN_SERVICE` VMs receive new work. `DRAINING`, `MAINTENANCE` and `FAILED` VMs count as
    unavailable against their pool's availability budget.
    """

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    MAINTENANCE = "maintenance"
    FAILED = "failed"


class MemberRole(StrEnum):
    """Role of a process of the system."""

    GATEWAY = "gateway"
    DISPATCHER = "dispatcher"
    CONTROLLER = "controller"


@frozen
class EntityKey:
    """Identity of an entity of the configuration."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}:{self.name}"


@frozen(kw_only=True)
class Entity:
    """Base of all entities of the configuration."""

    kind: ClassVar[str] = ""
    name: str

    @property
    def key(self) -> EntityKey:
        """Identity of this entity."""
        return EntityKey(self.kind, self.name)


@frozen(kw_only=True)
class Pool(Entity):
    """A pool of VMs that serve the same queues.

    Parameters
    ----------
    max_unavailable
        Availability budget: the most VMs of the pool that may be out of service by plan at once,
        unplanned failures counted against it.
    spare
        Whether other pools may use this pool's idle slots.
    """

    kind: ClassVar[str] = "pool"
    max_unavailable: int = 1
    spare: bool = False


@frozen(kw_only=True)
class Vm(Entity):
    """A VM with a backend server; it names the one pool that it belongs to.

    Parameters
    ----------
    address
        ``ip:port`` of the backend server.
    slots
        Tasks that the backend server runs at the same time.
    maintained_ms
        Wall time of the last finished maintenance; 0 for never.
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
    """A queue that callers address; its work runs in one pool.

    Parameters
    ----------
    open_to_all
        Whether requests need no organisation key.
    max_waiting
        Requests that may wait at the same time.
    """

    kind: ClassVar[str] = "queue"
    pool: str
    open_to_all: bool = False
    max_waiting: int = 1000


@frozen(kw_only=True)
class Organisation(Entity):
    """An organisation of submitters.

    Parameters
    ----------
    share
        Weight of the organisation when everything is full.
    limit
        The most tasks that the organisation runs at once over the whole fleet.
    key_hashes
        SHA-256 hashes (hexadecimal) of the organisation's granted keys.
    """

    kind: ClassVar[str] = "organisation"
    share: int = 1
    limit: int = 1
    key_hashes: tuple[str, ...] = field(default=(), converter=tuple)


@frozen(kw_only=True)
class DataCentre(Entity):
    """A data centre; operators take it out of service and bring it back."""

    kind: ClassVar[str] = "data_centre"
    region: str = ""
    in_service: bool = True


@frozen(kw_only=True)
class MaintenanceWindow(Entity):
    """A planned time out of service of a data centre, in wall time."""

    kind: ClassVar[str] = "maintenance_window"
    data_centre: str
    start_ms: int
    end_ms: int


@frozen(kw_only=True)
class Member(Entity):
    """A process of the system; a fenced member may start no work.

    Parameters
    ----------
    address
        ``ip:port`` of the member's peer listener.
    vm
        Entry VM on which it runs; a VM runs one process of each role.
    fenced
        Whether the member was declared dead.
    """

    kind: ClassVar[str] = "member"
    role: MemberRole
    address: str
    vm: str = ""
    data_centre: str = ""
    fenced: bool = False
