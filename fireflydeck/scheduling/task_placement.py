"""Choice of a backend server for a task, and reservation of its capacity."""

from collections.abc import Callable

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.policy.server_choice import Candidate, choose_server
from fireflydeck.scheduling.hidden_usage import HiddenUsage
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.workload.lifecycle import Attempt, Task, start_attempt

__all__ = ["Start", "TaskPlacer"]

_RUN_NUMBERS_PER_TOKEN = 1000
"""Run numbers reserved for each fencing token, so that they exceed those of earlier holders."""

Start = tuple[Server, Attempt]
"""An attempt whose start is to be sent, and its backend server."""


@define(eq=False, kw_only=True)
class TaskPlacer:
    """Placer that chooses the backend servers of tasks and reserves capacity on them.

    Parameters
    ----------
    first_token
        Lowest fencing token of the current tenure.
    reserve
        Reserves the capacity that an attempt uses.
    drop
        Forgets an attempt and frees its capacity.
    hidden_usage
        Runs of earlier holders that are not known, as of the current planning pass.
    """

    first_token: int
    clock: Clock
    usage: OrganisationUsage
    ticket_cache: TicketCache
    reserve: Callable[[Attempt], None]
    drop: Callable[[Attempt], None]
    hidden_usage: HiddenUsage = field(factory=HiddenUsage)

    def place_all_or_none(
        self, configuration: FleetConfiguration, tasks: list[Task], room: PoolRoom
    ) -> list[Start]:
        """Reserve capacity for all tasks under one run number, or for none of them."""
        first_run = (self.first_token - 1) * _RUN_NUMBERS_PER_TOKEN + 1
        min_run = max([first_run, *(task.last_run + 1 for task in tasks)])
        starts: list[Start] = []
        if not room.may_fit(tasks):
            return starts
        for task in tasks:
            start = self._place(configuration, task, room, min_run)
            if start is None:
                for _, attempt in starts:
                    self.drop(attempt)
                if starts:
                    room.withdraw_starts(attempt for _, attempt in starts)
                return []
            starts.append(start)
        return starts

    def _place(
        self, configuration: FleetConfiguration, task: Task, room: PoolRoom, min_run: int
    ) -> Start | None:
        step = task.step
        usable = room.servers_for(task)
        queue = configuration.queue(task.job.spec.queue)
        if queue is not None and queue.advisor is not None:
            with_ticket = self.ticket_cache.servers_with_ticket(task, room.servers, queue.advisor)
            usable = [server for server in usable if server in with_ticket]
        if not usable:
            return None
        organisation = task.job.spec.organisation
        demand = step.demand + room.reserved_demand(organisation)
        if not self.usage.allows(configuration, organisation, demand, self.hidden_usage):
            return None
        racks = _racks_of_step(task, room.servers) if step.same_rack else set()
        candidates = [self._candidate(server, task, racks) for server in usable]
        server_id = choose_server(step, candidates, room.best_fit)
        if server_id is None:
            return None
        server = next(server for server in usable if server.id == server_id)
        now_ms = self.clock.now_ms()
        attempt = start_attempt(task, server_id, min_run=min_run, now_ms=now_ms)
        self.reserve(attempt)
        room.record_start(attempt)
        return server, attempt

    def _candidate(self, server: Server, task: Task, racks: set[str]) -> Candidate:
        step = task.step
        same_step_tasks = 0
        interferes = False
        is_load_relevant = step.max_per_server > 0 or step.fill or step.target_tail_ms > 0
        for attempt in server.attempts.values() if is_load_relevant else ():
            other = attempt.task
            if other.job is task.job and other.key.step == task.key.step:
                same_step_tasks += other.key.occurrence == task.key.occurrence
            if step.fill:
                interferes = interferes or other.step.target_tail_ms > 0
            elif step.target_tail_ms > 0:
                interferes = interferes or other.step.fill
        return Candidate(
            server_id=server.id,
            free=server.free,
            labels=server.registration.labels,
            rack=server.registration.rack,
            capacity=server.registration.capacity,
            same_step_tasks=same_step_tasks,
            has_failed_before=server.id in task.failed_servers,
            interferes=interferes,
            has_pending_maintenance=server.has_pending_maintenance,
            splits_step=bool(racks) and server.registration.rack not in racks,
        )


def _racks_of_step(task: Task, pool: list[Server]) -> set[str]:
    """Return the racks in which tasks of the same step and occurrence run."""
    return {
        server.registration.rack
        for server in pool
        for attempt in server.attempts.values()
        if attempt.task.job is task.job
        and attempt.task.key.step == task.key.step
        and attempt.task.key.occurrence == task.key.occurrence
    }
