"""State of a backend server as known to the lease holder."""

import anyio
from attrs import Factory, define

from fireflydeck.core.backend_orders import BackendServerOrders
from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.scheduling.roster_rows import NO_WORK, PossibleWork
from fireflydeck.scheduling.server_life import RunCoverage, ServerLife
from fireflydeck.workload.lifecycle import Attempt
from fireflydeck.workload.specification import StepSpec

__all__ = ["MILLICORES_PER_CORE", "Server", "available_cores", "reserved_resources"]

MILLICORES_PER_CORE = 1000


@define(eq=False)
class Server:
    """Backend server with its present life and the attempts placed on it.

    Parameters
    ----------
    life
        Its present life, so far as the holder knows.
    registered_born_ms
        Newest start time in a registration that was taken for a restart.
    is_in_roster
        Whether the stored roster contains it, so that a later holder will query its runs.
    earlier_work
        Work that earlier holders may have left on it.
    backoff_until_ms
        Time before which no run is started on it, after it rejected one.
    is_reachable
        Whether its last heartbeat was answered in time.
    is_cordoned
        Whether it gets no new work because its VM is about to move or to go down.
    has_pending_maintenance
        Whether its VM has pending maintenance, so that long-running tasks go elsewhere.
    used
        Capacity reserved by its attempts.
    attempts
        Attempts placed on it, by the name of the task and the run number.
    change_count
        Number of changes of its attempts; a forecast of an earlier number is out of date.
    session_wake
        Set to end the wait of an idle session.
    """

    registration: Registration
    orders: BackendServerOrders
    life: ServerLife
    registered_born_ms: int = 0
    is_registered: bool = True
    is_in_roster: bool = False
    earlier_work: PossibleWork = NO_WORK
    is_reachable: bool = False
    backoff_until_ms: int = 0
    is_cordoned: bool = False
    has_pending_maintenance: bool = False
    used: Resources = Factory(Resources)
    attempts: dict[tuple[str, int], Attempt] = Factory(dict)
    change_count: int = 0
    session_wake: anyio.Event = Factory(anyio.Event)

    @property
    def id(self) -> str:
        """Return the id of the backend server."""
        return self.registration.server_id

    @property
    def free(self) -> Resources:
        """Return the capacity that no attempt has reserved."""
        return self.registration.capacity - self.used

    def fits(self, step: StepSpec) -> bool:
        """Return whether the free capacity is enough for a task of the step."""
        capacity, used, demand = self.registration.capacity, self.used, step.demand
        return (
            (step.fill or used.cpu + demand.cpu <= capacity.cpu)
            and used.memory_mb + demand.memory_mb <= capacity.memory_mb
            and used.accelerators + demand.accelerators <= capacity.accelerators
        )

    def is_schedulable(self) -> bool:
        """Return whether new runs may be placed here, apart from a backoff."""
        return (
            self.is_registered
            and self.is_in_roster
            and self.life.has_answered
            and self.is_reachable
            and not self.is_cordoned
            and self.registration.state == BackendServerState.READY
        )

    def accepts_starts(self, now_ms: int) -> bool:
        """Return whether new runs may be placed here now."""
        return self.is_schedulable() and now_ms >= self.backoff_until_ms

    def is_known_idle(self) -> bool:
        """Return whether it is certain that nothing runs here."""
        is_known = self.life.coverage == RunCoverage.COMPLETE
        return is_known and self.is_reachable and not self.attempts

    def attempts_of_life(self, life: ServerLife) -> list[Attempt]:
        """Return the attempts whose runs are known to belong to a life."""
        token = life.fencing_token
        return [attempt for attempt in self.attempts.values() if attempt.life_token == token]

    def expired_attempts(self, now_ms: int) -> list[Attempt]:
        """Return the attempts whose runs have certainly ended since their leases have expired.

        The run of an attempt without a known life may have been started by a later life.
        """
        if self.life.has_longest_lease_expired(now_ms):
            return list(self.attempts.values())
        return self.attempts_of_life(self.life) if self.life.has_lease_expired(now_ms) else []

    def needs_heartbeat(self) -> bool:
        """Return whether heartbeats are needed.

        That is so while something runs or may run here, and while an end is not acknowledged.
        """
        return (
            bool(self.attempts)
            or self.life.coverage != RunCoverage.COMPLETE
            or not self.is_reachable
            or self.life.acknowledged_end < self.life.last_end
        )

    def add(self, attempt: Attempt) -> None:
        """Reserve the capacity of an attempt."""
        self.attempts[attempt.task.name, attempt.run] = attempt
        self.used = self.used + reserved_resources(attempt.task.step)
        self.change_count += 1
        self.session_wake.set()

    def remove(self, attempt: Attempt) -> None:
        """Free the capacity of an attempt."""
        if self.attempts.pop((attempt.task.name, attempt.run), None) is not None:
            self.used = self.used - reserved_resources(attempt.task.step)
            self.change_count += 1


def reserved_resources(step: StepSpec) -> Resources:
    """Return what a task of the step reserves; fill tasks reserve no processor time."""
    return step.demand.without_cpu() if step.fill else step.demand


def available_cores(server: Server) -> float:
    """Return the cores of a backend server that long-running tasks don't use.

    Best-effort fill tasks don't count, since they reserve no cores.
    """
    long_running_millicores = sum(
        attempt.task.step.demand.cpu
        for attempt in server.attempts.values()
        if attempt.task.step.long_running and not attempt.task.step.fill
    )
    return (server.registration.capacity.cpu - long_running_millicores) / MILLICORES_PER_CORE
