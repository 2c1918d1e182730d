"""Reservation of capacity for large tasks and gangs, and backfill beside it.

All decisions are made on snapshots of one planning pass and are made anew in the next one.
"""

from collections.abc import Iterable, Mapping, Sequence
from heapq import heappop, heappush
from math import exp, inf

from attrs import define, field, frozen

from fireflydeck.core.placement import Resources

__all__ = [
    "Fit",
    "Hold",
    "Release",
    "ReservationRequest",
    "ServerForecast",
    "ServerHolds",
    "earliest_fit",
    "hold_bound_ms",
    "is_common_size",
    "longest_ms",
    "remaining_ms",
]

Release = tuple[float, Resources]
"""Time at which a run is expected to end, and the capacity that becomes free."""

_OVERDUE_QUANTILE = 0.674
"""Standard deviations from the median to the upper quartile of a normal distribution.

Half of the durations that exceed the median also exceed the upper quartile.
"""
_LONGEST_QUANTILE = 1.0
"""Standard deviations above the expected duration at which a run counts as surely ended."""
_MIN_REMAINING_MS = 20.0
"""Least remaining time of a run: its end has to be reported before its capacity is used."""
_KEEP_MARGIN_MS = 100.0
"""A reservation moves to another server only if the task fits there sooner by more than this.

Otherwise small changes of the estimates would move it before the held capacity is sufficient.
"""
_MAX_HOLD_FRACTION = 0.5
"""Part of a job's objective for which capacity may be held idle for one of its tasks."""
_COMMON_FRACTION = 0.05
"""Part of the runs of a pool that have to be at least as large as a task that needs no help."""
_MIN_COMMON_RUNS = 4
_ONE_RACK_DELAY_FRACTION = 0.1
"""Delay accepted for a step in one rack instead of several, as part of its duration."""


def remaining_ms(*, elapsed_ms: float, expected_ms: float, spread: float) -> float:
    """Return the expected time until a run ends, in milliseconds.

    Durations are taken as log-normal. A run that has exceeded its expected duration is expected to
    last for a part of the time that it has taken so far.

    Parameters
    ----------
    spread
        Standard deviation of the logarithm of the duration.
    """
    if elapsed_ms < expected_ms:
        return max(_MIN_REMAINING_MS, expected_ms - elapsed_ms)
    return max(_MIN_REMAINING_MS, elapsed_ms * (exp(_OVERDUE_QUANTILE * spread) - 1))


def longest_ms(expected_ms: float, spread: float) -> float:
    """Return the duration within which a task that is started now has most likely ended."""
    return expected_ms * exp(_LONGEST_QUANTILE * spread)


def hold_bound_ms(objective_ms: float) -> float:
    """Return how long capacity may be held idle for a task, from the objective of its job."""
    return max(0.0, objective_ms * _MAX_HOLD_FRACTION)


def is_common_size(demand: Resources, run_counts: Mapping[Resources, int]) -> bool:
    """Return whether the end of a single run often makes room for a task.

    Such a task starts soon, since it is the first to use the capacity that becomes free. A
    reservation is for tasks that start only when capacity of several runs is kept together.

    Parameters
    ----------
    run_counts
        Number of runs by what they reserve.
    """
    larger = sum(count for amount, count in run_counts.items() if amount.covers(demand))
    return larger >= max(_MIN_COMMON_RUNS, sum(run_counts.values()) * _COMMON_FRACTION)


@frozen(kw_only=True)
class ReservationRequest:
    """A task or a gang that waits for capacity.

    Parameters
    ----------
    demand
        What each of the tasks reserves on its server.
    count
        Number of tasks that start together.
    duration_ms
        Longest expected duration of the tasks, in milliseconds.
    same_rack
        Whether the tasks should run in one rack.
    """

    demand: Resources
    count: int = 1
    duration_ms: float = 0.0
    same_rack: bool = False


@define(kw_only=True)
class ServerForecast:
    """Expected free capacity of a server on which the waiting tasks may run.

    Parameters
    ----------
    free
        Capacity that is neither in use nor reserved; amounts may be negative.
    releases
        Expected ends of the runs and reservations on the server, ordered by time.
    max_tasks
        Number of the waiting tasks that may run on the server.
    is_kept
        Whether capacity was reserved here for these tasks in the last planning pass.
    """

    server_id: str
    free: Resources
    releases: Sequence[Release] = ()
    rack: str = ""
    max_tasks: float = inf
    is_kept: bool = False


@frozen(kw_only=True)
class Fit:
    """Earliest time at which waiting tasks fit, and their servers.

    Parameters
    ----------
    counts
        Number of tasks by the id of the server.
    """

    at_ms: float
    counts: dict[str, int]


def earliest_fit(
    request: ReservationRequest, forecasts: Sequence[ServerForecast], now_ms: float
) -> Fit | None:
    """Return the earliest time at which all tasks of a request fit, or `None` if they never do.

    The free capacity of each server only grows in a forecast. So each server offers places at
    increasing times, and the tasks fit at the time of the `count`-th place of all servers.
    """
    best = _earliest_places(request, forecasts, now_ms)
    if best is None or not request.same_rack or len(best.counts) == 1:
        return best
    racks: dict[str, list[ServerForecast]] = {}
    for forecast in forecasts:
        racks.setdefault(forecast.rack, []).append(forecast)
    latest_ms = best.at_ms + request.duration_ms * _ONE_RACK_DELAY_FRACTION
    in_one_rack = (_earliest_places(request, members, now_ms) for members in racks.values())
    fits = [fit for fit in in_one_rack if fit is not None and fit.at_ms <= latest_ms]
    return min(fits, key=lambda fit: fit.at_ms, default=best)


def _earliest_places(
    request: ReservationRequest, forecasts: Sequence[ServerForecast], now_ms: float
) -> Fit | None:
    # The places found so far that are best, the worst of them first: negative rank, negative
    # number of the server (equal places go to the first server) and time.
    places: list[tuple[float, int, float]] = []
    bound = inf
    for number, forecast in enumerate(forecasts):
        margin_ms = _KEEP_MARGIN_MS if forecast.is_kept else 0.0
        for at_ms in _places(request, forecast, now_ms, bound + margin_ms):
            heappush(places, (margin_ms - at_ms, -number, at_ms))
            if len(places) > request.count:
                heappop(places)
            if len(places) == request.count:
                bound = -places[0][0]
    if len(places) < request.count:
        return None
    counts: dict[str, int] = {}
    for _, negative_number, _ in places:
        server_id = forecasts[-negative_number].server_id
        counts[server_id] = counts.get(server_id, 0) + 1
    return Fit(at_ms=max(at_ms for _, _, at_ms in places), counts=counts)


def _places(
    request: ReservationRequest, forecast: ServerForecast, now_ms: float, before_ms: float
) -> list[float]:
    """Return the times before `before_ms` at which a server gets room for one more task."""
    demand = request.demand
    need_cpu, need_memory, need_accelerators = demand.cpu, demand.memory_mb, demand.accelerators
    free = forecast.free
    cpu, memory, accelerators = free.cpu, free.memory_mb, free.accelerators
    most = min(request.count, forecast.max_tasks)
    found: list[float] = []
    at_ms = now_ms
    releases = iter(forecast.releases)
    while at_ms < before_ms:
        while (
            len(found) < most
            and cpu >= need_cpu
            and memory >= need_memory
            and accelerators >= need_accelerators
        ):
            found.append(at_ms)
            cpu, memory = cpu - need_cpu, memory - need_memory
            accelerators -= need_accelerators
        release = next(releases, None) if len(found) < most else None
        if release is None:
            break
        at_ms, amount = max(at_ms, release[0]), release[1]
        cpu, memory = cpu + amount.cpu, memory + amount.memory_mb
        accelerators += amount.accelerators
    return found


@define(eq=False, kw_only=True)
class Hold:
    """Capacity of one server that is reserved from a certain time on.

    Parameters
    ----------
    name
        Name of the waiting task, or of the first task of a gang.
    at_ms, until_ms
        Expected start and end of the waiting tasks.
    spare
        Capacity that is expected to be free beside the reserved amount at the start.
    is_withholding
        Whether a lower-ranked task was refused because of the reservation.
    """

    name: str
    at_ms: float
    until_ms: float
    amount: Resources
    spare: Resources
    is_withholding: bool = False


@define(eq=False)
class ServerHolds:
    """Reservations on one server during a planning pass, in the order of their ranks."""

    _holds: list[Hold] = field(factory=list, init=False)

    @property
    def holds(self) -> Sequence[Hold]:
        """Return the reservations on the server."""
        return self._holds

    @property
    def amount(self) -> Resources:
        """Return the total reserved capacity."""
        return sum((hold.amount for hold in self._holds), Resources())

    def releases(self) -> list[Release]:
        """Return the expected ends of the reservations."""
        return [(hold.until_ms, hold.amount) for hold in self._holds]

    def add(
        self,
        name: str,
        *,
        at_ms: float,
        until_ms: float,
        amount: Resources,
        free: Resources,
        releases: Iterable[Release],
    ) -> None:
        """Add a reservation.

        Parameters
        ----------
        free
            Capacity that is not in use now, reserved or not.
        releases
            Expected ends of the runs on the server, ordered by time.
        """
        spare = free - amount
        for release_ms, released in releases:
            if release_ms > at_ms:
                break
            spare = spare + released
        for hold in self._holds:
            if hold.at_ms <= at_ms < hold.until_ms:
                spare = spare - hold.amount
            if at_ms <= hold.at_ms < until_ms:
                hold.spare = hold.spare - amount
        self._holds.append(
            Hold(name=name, at_ms=at_ms, until_ms=until_ms, amount=amount, spare=spare)
        )

    def admits(self, demand: Resources, end_ms: float) -> bool:
        """Return whether a lower-ranked task may start now.

        It may if it ends before each reservation begins or fits beside it.

        Parameters
        ----------
        end_ms
            Time at which the task has most likely ended.
        """
        for hold in self._holds:
            if end_ms > hold.at_ms and not hold.spare.covers(demand):
                hold.is_withholding = True
                return False
        return True

    def take(self, demand: Resources, end_ms: float) -> None:
        """Record the start of a task that was admitted."""
        for hold in self._holds:
            if end_ms > hold.at_ms:
                hold.spare = hold.spare - demand

    def give_back(self, demand: Resources, end_ms: float) -> None:
        """Undo `take` for a task that is not started after all."""
        for hold in self._holds:
            if end_ms > hold.at_ms:
                hold.spare = hold.spare + demand
