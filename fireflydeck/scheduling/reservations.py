"""Reservations for the first waiting tasks and gangs of each pool."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from heapq import nlargest
from math import inf

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue
from fireflydeck.core.placement import Resources
from fireflydeck.kernel import EventLog, Metrics
from fireflydeck.policy.job_order import is_on_time
from fireflydeck.policy.reservation import (
    Fit,
    ReservationRequest,
    ServerForecast,
    earliest_fit,
    hold_bound_ms,
)
from fireflydeck.scheduling.hidden_usage import HiddenUsage
from fireflydeck.scheduling.organisation_usage import OrganisationUsage
from fireflydeck.scheduling.pool_room import PoolRoom
from fireflydeck.scheduling.queued_jobs import QueuedJob
from fireflydeck.scheduling.reservable_room import ReservableRoom
from fireflydeck.scheduling.run_forecasts import RunForecasts
from fireflydeck.scheduling.run_sizes import RunSizes
from fireflydeck.scheduling.servers import Server, reserved_resources
from fireflydeck.scheduling.ticket_cache import TicketCache
from fireflydeck.scheduling.wait_log import WaitLog
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Task

__all__ = ["Reservations", "WaitReason"]

_FURTHER_FITS = 1
"""Number of tasks beyond `max_per_pool` whose earliest time is computed in a pass.

Some tasks get no reservation after that, since they would be late by then. Each computation takes
a noticeable part of a planning pass.
"""
_MAX_CHECKED = 32
"""Waiting tasks of a pool that are checked in a pass; most at a time may wait for one limit."""
_MIN_CANDIDATES = 32
"""Least number of servers for which the expected ends of runs are looked at.

These are the servers with most of the needed capacity free; the others are looked at only if the
tasks never fit on these. It bounds the duration of a planning pass in large pools.
"""
_CANDIDATES_PER_TASK = 3
_MAX_PASS_INTERVAL_MS = 250
"""Longest time that a hold of one planning pass counts; longer pauses are faults elsewhere."""
_METRICS_INTERVAL_MS = 250


class WaitReason(StrEnum):
    """Reason why a task or a gang waits."""

    RESERVED = "reserved"
    NO_CAPACITY = "no capacity"
    LATE = "late"
    TOO_LATE_THEN = "capacity expected too late"
    NO_SERVER = "no server is expected to have room"
    ORGANISATION_LIMIT = "organisation limit"
    HOLD_BOUND = "hold bound reached"


@define(eq=False)
class _Holding:
    """What was reserved so far for a waiting task or gang.

    Parameters
    ----------
    held_ms
        Time for which capacity was held idle for it, in milliseconds.
    servers
        Servers on which capacity was reserved in the last planning pass.
    """

    held_ms: float = 0.0
    servers: frozenset[str] = frozenset()


@define(eq=False, kw_only=True)
class Reservations:
    """Reservations of one tenure, computed anew in each planning pass.

    Only how long capacity was held for each waiting task is kept from pass to pass. A later holder
    begins without reservations.

    Parameters
    ----------
    max_per_pool
        Number of waiting tasks and gangs of a pool for which capacity is reserved.
    """

    max_per_pool: int
    clock: Clock
    log: EventLog
    metrics: Metrics
    estimates: WorkEstimates
    usage: OrganisationUsage
    ticket_cache: TicketCache
    _forecasts: RunForecasts = field(init=False)
    _run_sizes: RunSizes = field(factory=RunSizes, init=False)
    _wait_log: WaitLog = field(init=False)
    _holdings: dict[str, dict[str, _Holding]] = field(factory=dict, init=False)
    _configuration: FleetConfiguration | None = field(default=None, init=False)
    _hidden: HiddenUsage = field(factory=HiddenUsage, init=False)
    _now_ms: int = field(default=0, init=False)
    _reserved: dict[str, Resources] = field(factory=dict, init=False)
    _withholding: list[_Holding] = field(factory=list, init=False)
    _idle_cores: dict[str, float] = field(factory=dict, init=False)
    _idle_core_s: Counter[str] = field(factory=Counter, init=False)
    _metrics_at_ms: int = field(default=0, init=False)

    @_forecasts.default
    def _make_forecasts(self) -> RunForecasts:
        return RunForecasts(self.estimates)

    @_wait_log.default
    def _make_wait_log(self) -> WaitLog:
        return WaitLog(clock=self.clock, log=self.log)

    # Planning pass

    def begin_pass(self, configuration: FleetConfiguration, hidden: HiddenUsage) -> None:
        """Begin a planning pass; the reservations of the last one end.

        Parameters
        ----------
        hidden
            Runs of earlier holders that are not known, as for `StartPlanner.plan`.
        """
        now_ms = self.clock.now_ms()
        elapsed_ms = min(now_ms - self._now_ms, _MAX_PASS_INTERVAL_MS)
        for holding in self._withholding:
            holding.held_ms += elapsed_ms
        for pool, cores in self._idle_cores.items():
            self._idle_core_s[pool] += cores * elapsed_ms / 1000
        self._withholding = []
        self._idle_cores = {}
        self._reserved = {}
        self._configuration = configuration
        self._hidden = hidden
        self._now_ms = now_ms

    def open_room(self, servers: list[Server]) -> ReservableRoom:
        """Return the room of a pool for this planning pass."""
        return ReservableRoom(
            servers, self.estimates, self._forecasts, self._now_ms, self._reserved
        )

    def add_waiting(self, queued: QueuedJob, tasks: list[Task], room: PoolRoom) -> None:
        """Consider a reservation for tasks that start together and found no place.

        It must be called in the order of ranks, after all tasks of a higher rank were placed.
        """
        if not isinstance(room, ReservableRoom) or self._configuration is None:
            return
        queue = self._configuration.queue(queued.job.spec.queue)
        demand = reserved_resources(tasks[0].step)
        room.note_waiting(demand)
        is_considered = (
            room.reservations < self.max_per_pool
            and room.fits_computed < self.max_per_pool + _FURTHER_FITS
            and room.checked < _MAX_CHECKED
        )
        is_gang = len(tasks) > 1
        if (
            queue is None
            or not is_considered
            or not (is_gang or self._is_large(queue.pool, room, demand))
        ):
            self._wait_log.write(tasks, WaitReason.NO_CAPACITY)
            return
        room.checked += 1
        holding = self._holdings.setdefault(queued.job.id, {}).setdefault(tasks[0].name, _Holding())
        self._reserve(queued, queue, tasks, room, holding)

    def _is_large(self, pool: str, room: ReservableRoom, demand: Resources) -> bool:
        """Return whether capacity of several runs has to be kept together for a task."""
        return not self._run_sizes.are_common(pool, room.servers, demand, self._now_ms)

    def _reserve(
        self,
        queued: QueuedJob,
        queue: JobQueue,
        tasks: list[Task],
        room: ReservableRoom,
        holding: _Holding,
    ) -> None:
        kept, holding.servers = holding.servers, frozenset()
        reason = self._obstacle(queued, queue, tasks, holding)
        if reason is not None:
            self._wait_log.write(tasks, reason, held_ms=holding.held_ms)
            return
        task = tasks[0]
        request = ReservationRequest(
            demand=reserved_resources(task.step),
            count=len(tasks),
            duration_ms=room.longest_ms(task),
            same_rack=task.step.same_rack,
        )
        room.fits_computed += 1
        fit = self._earliest_fit(request, task, queue, room, kept)
        if fit is None:
            self._wait_log.write(tasks, WaitReason.NO_SERVER)
            return
        expected_in_ms = round(fit.at_ms - self._now_ms)
        if not self._is_on_time(queued, fit.at_ms):
            self._wait_log.write(tasks, WaitReason.TOO_LATE_THEN, expected_in_ms=expected_in_ms)
            return
        organisation = task.job.spec.organisation
        room.reserve(task.name, request, fit)
        self._reserved[organisation] = room.reserved_demand(organisation) + _demand(tasks)
        holding.servers = frozenset(fit.counts)
        self._wait_log.write(
            tasks,
            WaitReason.RESERVED,
            expected_in_ms=expected_in_ms,
            reserved_on=fit.counts,
            held_ms=holding.held_ms,
        )

    def _obstacle(
        self, queued: QueuedJob, queue: JobQueue, tasks: list[Task], holding: _Holding
    ) -> WaitReason | None:
        """Return the reason why nothing may be reserved for tasks, or `None` if it may."""
        if not self._is_on_time(queued, self._now_ms):
            return WaitReason.LATE
        if holding.held_ms >= hold_bound_ms(self.estimates.objective_ms(queued.job, queue)):
            return WaitReason.HOLD_BOUND
        organisation = queued.job.spec.organisation
        demand = _demand(tasks) + self._reserved.get(organisation, Resources())
        if self._configuration is None or not self.usage.allows(
            self._configuration, organisation, demand, self._hidden
        ):
            return WaitReason.ORGANISATION_LIMIT
        return None

    def _is_on_time(self, queued: QueuedJob, start_ms: float) -> bool:
        """Return whether a job may still be completed in time if its tasks start at a time.

        Long-running jobs have no end, so that they are always on time.
        """
        return queued.is_long_running or is_on_time(
            deadline_ms=queued.deadline_ms,
            remaining_ms=queued.remaining_ms,
            has_started=queued.job.is_in_progress,
            now_ms=start_ms,
        )

    def _earliest_fit(
        self,
        request: ReservationRequest,
        task: Task,
        queue: JobQueue,
        room: ReservableRoom,
        kept: frozenset[str],
    ) -> Fit | None:
        """Return where tasks fit, if possible on servers whose maintenance is not pending."""
        usable = _able_servers(room.servers, task)
        if queue.advisor is not None:
            usable = self.ticket_cache.servers_with_ticket(task, usable, queue.advisor)
        staying = [server for server in usable if not server.has_pending_maintenance]
        most = max(_MIN_CANDIDATES, request.count * _CANDIDATES_PER_TASK)
        likely = _freest(staying, request.demand, most, kept)
        for servers in (likely, staying, usable):
            forecasts = _for_task(room.forecasts(servers), task, kept)
            fit = earliest_fit(request, forecasts, self._now_ms)
            if fit is not None or len(servers) == len(usable):
                return fit
        return None

    def end_pass(self, rooms: dict[str, PoolRoom]) -> None:
        """Measure what is held idle after all starts of the planning pass were selected."""
        are_gauges_due = self._now_ms - self._metrics_at_ms >= _METRICS_INTERVAL_MS
        if are_gauges_due:
            self._metrics_at_ms = self._now_ms
            self._forecasts.keep_only(
                {server.id for room in rooms.values() for server in room.servers}
            )
        for pool, room in rooms.items():
            if isinstance(room, ReservableRoom):
                self._measure_holds(pool, room)
                self._update_metrics(pool, room, are_gauges_due)

    def _measure_holds(self, pool: str, room: ReservableRoom) -> None:
        names: set[str] = set()
        idle_cpu = 0
        for server, holds in room.held_servers:
            withheld = [hold for hold in holds.holds if hold.is_withholding]
            if withheld:
                names.update(hold.name for hold in withheld)
                reserved_cpu = sum(hold.amount.cpu for hold in withheld)
                idle_cpu += max(0, min(server.free.cpu, reserved_cpu))
        self._idle_cores[pool] = idle_cpu / 1000
        for name in names:
            self._withholding.append(self._holdings[name.partition(".")[0]][name])

    def _update_metrics(self, pool: str, room: ReservableRoom, are_gauges_due: bool) -> None:
        if room.backfilled_starts:
            self.metrics.count("backfilled_starts_total", room.backfilled_starts, pool=pool)
        if are_gauges_due:
            self.metrics.set("reservations_held", room.reservations, pool=pool)
            self.metrics.set("fragmented_cores", room.fragmented_cores(), pool=pool)
            self.metrics.set("reservation_idle_core_s", self._idle_core_s[pool], pool=pool)

    def forget_job(self, job_id: str) -> None:
        """Forget what was held for the tasks of a job that is closed."""
        self._holdings.pop(job_id, None)


def _freest(
    servers: list[Server], demand: Resources, most: int, kept: frozenset[str]
) -> list[Server]:
    """Return the servers that lack least of a demand, and those in `kept`, in the given order."""
    if len(servers) <= most:
        return servers
    cpu, memory_mb = max(1, demand.cpu), max(1, demand.memory_mb)

    def part_free(server: Server) -> float:
        capacity, used = server.registration.capacity, server.used
        return min(
            (capacity.cpu - used.cpu) / cpu, (capacity.memory_mb - used.memory_mb) / memory_mb
        )

    chosen = {server.id for server in nlargest(most, servers, key=part_free)} | kept
    return [server for server in servers if server.id in chosen]


def _able_servers(servers: list[Server], task: Task) -> list[Server]:
    """Return the servers that could run a task if they were empty."""
    label, demand = task.step.required_label, reserved_resources(task.step)
    return [
        server
        for server in servers
        if server.registration.capacity.covers(demand)
        and (not label or label in server.registration.labels)
    ]


def _for_task(
    forecasts: Iterable[ServerForecast], task: Task, kept: frozenset[str]
) -> list[ServerForecast]:
    """Return the forecasts with the properties that matter for one task."""
    most = task.step.max_per_server
    if most <= 0 and not kept:
        return list(forecasts)
    running = _running_by_server(task) if most > 0 else Counter()
    return [
        ServerForecast(
            server_id=forecast.server_id,
            free=forecast.free,
            releases=forecast.releases,
            rack=forecast.rack,
            max_tasks=most - running[forecast.server_id] if most > 0 else inf,
            is_kept=forecast.server_id in kept,
        )
        for forecast in forecasts
    ]


def _running_by_server(task: Task) -> Counter[str]:
    """Return the number of runs of the step and occurrence of a task, by server."""
    return Counter(
        attempt.server_id
        for other in task.job.tasks.values()
        if other.key.step == task.key.step and other.key.occurrence == task.key.occurrence
        for attempt in other.attempts.values()
    )


def _demand(tasks: list[Task]) -> Resources:
    """Return what tasks count towards the limit of their organisation."""
    return sum((task.step.demand for task in tasks), Resources())
