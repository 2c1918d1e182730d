"""Free capacity of a pool during a planning pass in which capacity is reserved."""

from collections.abc import Container, Iterable, Sequence
from math import inf

from attrs import define, field

from fireflydeck.core.placement import Resources
from fireflydeck.policy.reservation import (
    Fit,
    ReservationRequest,
    ServerForecast,
    ServerHolds,
    longest_ms,
)
from fireflydeck.policy.server_choice import BestFit
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.run_forecasts import RunForecasts
from fireflydeck.scheduling.servers import Server, reserved_resources
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Attempt, Task
from fireflydeck.workload.specification import StepSpec

__all__ = ["ReservableRoom"]


@define(eq=False)
class ReservableRoom(PoolRoom):
    """Servers of a pool that accept starts, some of them with reserved capacity.

    Servers with reservations are looked at apart from the others, since on these a task needs more
    than free capacity. A demand that was refused there is refused for every longer duration.

    Parameters
    ----------
    now_ms
        Time of the planning pass.
    reserved_by_organisation
        Reserved demand in all pools, by organisation.
    backfilled_starts
        Number of starts on servers with reservations.
    checked, fits_computed, reservations
        Number of waiting tasks and gangs for which a reservation was considered, for which the
        earliest time was computed, and for which capacity was reserved.
    largest_waiting
        Largest demand for CPU and for memory among the tasks that found no place.
    """

    _estimates: WorkEstimates
    _forecasts: RunForecasts
    now_ms: int
    reserved_by_organisation: dict[str, Resources]
    backfilled_starts: int = field(default=0, init=False)
    checked: int = field(default=0, init=False)
    fits_computed: int = field(default=0, init=False)
    reservations: int = field(default=0, init=False)
    largest_waiting: Resources = field(factory=Resources, init=False)
    _holds: dict[str, ServerHolds] = field(factory=dict, init=False)
    _reserved: list[Server] = field(factory=list, init=False)
    _unreserved: "_ShrinkingRoom" = field(init=False)
    _refused: dict[Resources, float] = field(factory=dict, init=False)
    _longest_factors: dict[str, float] = field(factory=dict, init=False)
    _ends_ms: dict[tuple[str, int], float] = field(factory=dict, init=False)

    @_unreserved.default
    def _all_servers(self) -> "_ShrinkingRoom":
        return _ShrinkingRoom(self.servers)

    @property
    def best_fit(self) -> BestFit:
        """Return the rule that selects one of several equally preferred servers."""
        return BestFit.DOMINANT_RESOURCE

    @property
    def held_servers(self) -> list[tuple[Server, ServerHolds]]:
        """Return the servers with reservations."""
        return [(server, self._holds[server.id]) for server in self._reserved]

    # Placement

    def may_fit(self, tasks: list[Task]) -> bool:
        """Return whether tasks that start together may find places.

        A gang without enough places would otherwise be placed in part and dropped again.
        """
        if len(tasks) == 1:
            return True
        step = tasks[0].step
        demand = reserved_resources(step)
        most = step.max_per_server if step.max_per_server > 0 else len(tasks)
        places = 0
        for server in self.servers_for(tasks[0]):
            places += min(most, _places(server.free, demand, len(tasks)))
            if places >= len(tasks):
                return True
        return False

    def servers_for(self, task: Task) -> list[Server]:
        """Return the servers with room on which the task delays no reservation."""
        servers = self._unreserved.servers_with_room(task.step)
        return servers + self._backfill_servers(task) if self._reserved else servers

    def _backfill_servers(self, task: Task) -> list[Server]:
        demand = reserved_resources(task.step)
        refused_end_ms = self._refused.get(demand, inf)
        if refused_end_ms == -inf:
            return []
        end_ms = self._end_ms(task)
        if end_ms >= refused_end_ms:
            return []
        fitting = [server for server in self._reserved if server.fits(task.step)]
        if not fitting:
            self._refused[demand] = -inf
            return []
        admitted = [server for server in fitting if self._holds[server.id].admits(demand, end_ms)]
        if not admitted:
            self._refused[demand] = end_ms
        return admitted

    def _end_ms(self, task: Task) -> float:
        """Return the time at which a task that starts now has most likely ended."""
        return self.now_ms + self.longest_ms(task)

    def longest_ms(self, task: Task) -> float:
        """Return the longest expected duration of a task, in milliseconds."""
        if task.step.long_running:
            return inf
        queue = task.job.spec.queue
        factor = self._longest_factors.get(queue)
        if factor is None:
            factor = longest_ms(1.0, self._estimates.spread(task))
            self._longest_factors[queue] = factor
        return self._estimates.task_ms(task) * factor

    def reserved_demand(self, organisation: str) -> Resources:
        """Return what is reserved for waiting tasks of an organisation."""
        return self.reserved_by_organisation.get(organisation, Resources())

    def record_start(self, attempt: Attempt) -> None:
        """Take the capacity of an attempt from what is spare beside reservations."""
        holds = self._holds.get(attempt.server_id)
        if holds is None:
            return
        end_ms = self._end_ms(attempt.task)
        self._ends_ms[attempt.task.name, attempt.run] = end_ms
        holds.take(reserved_resources(attempt.task.step), end_ms)
        self.backfilled_starts += 1

    def withdraw_starts(self, attempts: Iterable[Attempt]) -> None:
        """Return the capacity of attempts that were placed in this pass and dropped again."""
        for attempt in attempts:
            end_ms = self._ends_ms.pop((attempt.task.name, attempt.run), None)
            if end_ms is not None:
                demand = reserved_resources(attempt.task.step)
                self._holds[attempt.server_id].give_back(demand, end_ms)
                self.backfilled_starts -= 1
        self.forget_full()

    def forget_full(self) -> None:
        """Look at all servers again, since capacity became free during the pass."""
        self._unreserved.forget_full()
        self._refused.clear()

    # Reservations

    def forecasts(self, servers: Iterable[Server]) -> list[ServerForecast]:
        """Return forecasts in which reserved capacity is free only after the reserved runs."""
        found: list[ServerForecast] = []
        for server in servers:
            forecast = self._forecasts.of(server, self.now_ms)
            holds = self._holds.get(server.id)
            found.append(forecast if holds is None else _after_holds(forecast, holds))
        return found

    def reserve(self, name: str, request: ReservationRequest, fit: Fit) -> None:
        """Reserve the capacity of a fit."""
        until_ms = fit.at_ms + request.duration_ms
        holding = [server for server in self.servers if server.id in fit.counts]
        for server in holding:
            count = fit.counts[server.id]
            forecast = self._forecasts.of(server, self.now_ms)
            self._holds.setdefault(server.id, ServerHolds()).add(
                name,
                at_ms=fit.at_ms,
                until_ms=until_ms,
                amount=_times(request.demand, count),
                free=forecast.free,
                releases=forecast.releases,
            )
        self.reservations += 1
        self._reserved += [server for server in holding if server not in self._reserved]
        self._unreserved.remove(fit.counts)

    def note_waiting(self, demand: Resources) -> None:
        """Record the demand of a task that found no place."""
        known = self.largest_waiting
        if demand.cpu > known.cpu or demand.memory_mb > known.memory_mb:
            self.largest_waiting = Resources(
                max(demand.cpu, known.cpu), max(demand.memory_mb, known.memory_mb)
            )

    def fragmented_cores(self) -> float:
        """Return the free cores on servers without room for the largest waiting demand."""
        largest = self.largest_waiting
        if largest == Resources():
            return 0.0
        free = (server.free for server in self.servers)
        return sum(amount.cpu for amount in free if not amount.covers(largest)) / 1000


@define(eq=False)
class _ShrinkingRoom(PoolRoom):
    """Room that remembers which servers had room for a demand.

    Servers without room for a demand have none for a larger one, so only those that had room for
    the smaller one are looked at again.
    """

    _found: dict[Resources, list[Server]] = field(factory=dict, init=False)

    def servers_with_room(self, step: StepSpec) -> list[Server]:
        """Return the servers whose free capacity is enough for a task of the step."""
        demand = reserved_resources(step)
        known = self._found.get(demand)
        if known is None:
            smaller = (found for other, found in self._found.items() if demand.covers(other))
            known = min(smaller, key=len, default=self.servers)
        if known:
            known = [server for server in known if server.fits(step)]
        self._found[demand] = known
        return known

    def remove(self, server_ids: Container[str]) -> None:
        """Remove servers."""
        self.servers = [server for server in self.servers if server.id not in server_ids]
        self._found = {
            demand: [server for server in found if server.id not in server_ids]
            for demand, found in self._found.items()
        }

    def forget_full(self) -> None:
        """Look at all servers again, since capacity became free during the pass."""
        self._found.clear()


def _after_holds(forecast: ServerForecast, holds: ServerHolds) -> ServerForecast:
    releases: Sequence = [*forecast.releases, *holds.releases()]
    return ServerForecast(
        server_id=forecast.server_id,
        free=forecast.free - holds.amount,
        releases=sorted(releases, key=lambda release: release[0]),
        rack=forecast.rack,
    )


def _places(free: Resources, demand: Resources, most: int) -> int:
    """Return how many tasks of a demand fit in a free capacity, up to `most`."""
    places = most
    for available, needed in (
        (free.cpu, demand.cpu),
        (free.memory_mb, demand.memory_mb),
        (free.accelerators, demand.accelerators),
    ):
        if needed > 0:
            places = min(places, available // needed)
    return places


def _times(demand: Resources, count: int) -> Resources:
    return Resources(demand.cpu * count, demand.memory_mb * count, demand.accelerators * count)
