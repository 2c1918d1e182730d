"""The operators' configuration as the entry role uses it."""

from attrs import field, frozen

from fireflydeck.core.placement import Resources

__all__ = [
    "AdvisorTimes",
    "FleetConfiguration",
    "JobQueue",
    "MaintenanceWave",
    "Organisation",
    "RequestLimits",
    "ServerPool",
]


@frozen
class AdvisorTimes:
    """How long the placement advisor takes and how long its tickets hold, in milliseconds."""

    decision_ms: int
    per_server_ms: int
    validity_ms: int


@frozen(kw_only=True)
class JobQueue:
    """A queue that callers submit jobs to.

    Parameters
    ----------
    priority
        0 goes first.
    max_attempts
        Failed runs of a task after which its job fails.
    slack_factor
        The latency objective is this many times the longest chain of work, and
        `target_latency_ms` more.
    public
        Whether calls need no key.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    public: bool = False
    advisor: AdvisorTimes | None = None


@frozen(kw_only=True)
class ServerPool:
    """A pool of VMs.

    Parameters
    ----------
    rejects_overload
        Whether its backend servers reject what does not fit.
    standby
        Whether its VMs are switched off.
    """

    name: str
    rejects_overload: bool = True
    standby: bool = False


@frozen(kw_only=True)
class Organisation:
    """A customer whose members submit jobs.

    Parameters
    ----------
    weight
        Share when everything is full.
    limit
        The most that it may have running; a zero amount means no limit.
    """

    name: str
    keys: frozenset[str]
    weight: float = 1.0
    limit: Resources = field(factory=Resources)


@frozen
class RequestLimits:
    """Bounds on callers' requests: bytes and milliseconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@frozen(kw_only=True)
class FleetConfiguration:
    """One version of the configuration, whole."""

    version: int
    queues: tuple[JobQueue, ...] = ()
    pools: tuple[ServerPool, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: RequestLimits = RequestLimits()
    _queue_by_name: dict[str, JobQueue] = field(init=False, eq=False, repr=False)
    _organisation_by_key: dict[str, Organisation] = field(init=False, eq=False, repr=False)
    _organisation_by_name: dict[str, Organisation] = field(init=False, eq=False, repr=False)

    @_queue_by_name.default
    def _index_queues(self) -> dict[str, JobQueue]:
        return {queue.name: queue for queue in self.queues}

    @_organisation_by_key.default
    def _index_keys(self) -> dict[str, Organisation]:
        return {key: item for item in self.organisations for key in item.keys}

    @_organisation_by_name.default
    def _index_organisations(self) -> dict[str, Organisation]:
        return {item.name: item for item in self.organisations}

    def queue(self, name: str) -> JobQueue | None:
        """Return the queue of that name."""
        return self._queue_by_name.get(name)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation of that name."""
        return self._organisation_by_name.get(name)

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds the key."""
        return self._organisation_by_key.get(key)


@frozen(kw_only=True)
class MaintenanceWave:
    """VMs that are due for maintenance within a time, at most `max_at_once` down together."""

    number: int
    vms: tuple[str, ...]
    duration_ms: int
    max_at_once: int
