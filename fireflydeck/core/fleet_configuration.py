"""The operators' configuration in the form that the entry role uses."""

from attrs import field, frozen

from fireflydeck.core.placement import Resources

__all__ = [
    "AdvisorTimes",
    "FleetConfiguration",
    "JobOrganisation",
    "JobQueue",
    "MaintenanceWave",
    "RequestLimits",
    "ServerPool",
]


@frozen
class AdvisorTimes:
    """Time parameters of the placement advisor, in milliseconds.

    Parameters
    ----------
    decision_ms
        Fixed time that the advisor takes for one call.
    per_server_ms
        Additional time for each backend server in the call.
    validity_ms
        How long a ticket is valid.
    """

    decision_ms: int
    per_server_ms: int
    validity_ms: int


@frozen(kw_only=True)
class JobQueue:
    """A queue to which callers submit jobs.

    Parameters
    ----------
    host, path_prefix
        Host name and beginning of the path of the requests that belong to the queue.
    pool
        Name of the pool in which its tasks run.
    priority
        Queues with a smaller value are served first; 0 is the highest priority.
    max_attempts
        Number of failed runs of a task at which its job fails.
    slack_factor
        The latency objective of a job is the duration of its longest chain of dependent steps
        times this factor, plus `target_latency_ms`.
    public
        Whether requests are accepted without a key.
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
        Whether its backend servers reject work that exceeds their capacity.
    standby
        Whether its VMs are switched off.
    """

    name: str
    rejects_overload: bool = True
    standby: bool = False


@frozen(kw_only=True)
class JobOrganisation:
    """An organisation whose members submit jobs.

    Parameters
    ----------
    weight
        Weight with which the organisation shares the capacity when it is exhausted.
    limit
        Maximum resources of the organisation's running tasks; an amount of 0 means no limit for
        that resource.
    """

    name: str
    keys: frozenset[str]
    weight: float = 1.0
    limit: Resources = field(factory=Resources)


@frozen
class RequestLimits:
    """Limits on the size and the duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@frozen(kw_only=True)
class FleetConfiguration:
    """Snapshot of the whole configuration at one version."""

    version: int
    queues: tuple[JobQueue, ...] = ()
    pools: tuple[ServerPool, ...] = ()
    organisations: tuple[JobOrganisation, ...] = ()
    limits: RequestLimits = RequestLimits()
    _queue_by_name: dict[str, JobQueue] = field(init=False, eq=False, repr=False)
    _queues_by_pool: dict[str, frozenset[str]] = field(init=False, eq=False, repr=False)
    _organisation_by_key: dict[str, JobOrganisation] = field(init=False, eq=False, repr=False)
    _organisation_by_name: dict[str, JobOrganisation] = field(init=False, eq=False, repr=False)

    @_queue_by_name.default
    def _index_queues(self) -> dict[str, JobQueue]:
        return {queue.name: queue for queue in self.queues}

    @_queues_by_pool.default
    def _index_pools(self) -> dict[str, frozenset[str]]:
        names: dict[str, set[str]] = {}
        for queue in self.queues:
            names.setdefault(queue.pool, set()).add(queue.name)
        return {pool: frozenset(found) for pool, found in names.items()}

    @_organisation_by_key.default
    def _index_keys(self) -> dict[str, JobOrganisation]:
        return {
            key: organisation for organisation in self.organisations for key in organisation.keys
        }

    @_organisation_by_name.default
    def _index_organisations(self) -> dict[str, JobOrganisation]:
        return {organisation.name: organisation for organisation in self.organisations}

    def queue(self, name: str) -> JobQueue | None:
        """Return the queue with the given name, or `None`."""
        return self._queue_by_name.get(name)

    def queues_of_pool(self, pool: str) -> frozenset[str]:
        """Return the names of the queues whose tasks run in the pool."""
        return self._queues_by_pool.get(pool, frozenset())

    def organisation(self, name: str) -> JobOrganisation | None:
        """Return the organisation with the given name, or `None`."""
        return self._organisation_by_name.get(name)

    def organisation_of_key(self, key: str) -> JobOrganisation | None:
        """Return the organisation to which the key was granted, or `None`."""
        return self._organisation_by_key.get(key)


@frozen(kw_only=True)
class MaintenanceWave:
    """A group of VMs for which operators requested maintenance.

    Parameters
    ----------
    duration_ms
        Time within which all VMs are to be maintained, in milliseconds.
    max_at_once
        Maximum number of these VMs that may be down at the same time.
    """

    number: int
    vms: tuple[str, ...]
    duration_ms: int
    max_at_once: int
