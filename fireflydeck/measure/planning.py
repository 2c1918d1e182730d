"""Time of a planning pass of a full pool, without and with reservations."""

import random
from itertools import count
from statistics import median, quantiles
from time import perf_counter, thread_time

import fire
from attrs import define, field

from fireflydeck.core.fleet_configuration import JobOrganisation
from fireflydeck.core.placement import Resources
from fireflydeck.testing.job_builders import build_queue, build_spec, build_step
from fireflydeck.testing.planned_fleet import PlannedFleet
from fireflydeck.workload.specification import StepSpec

__all__ = ["main"]

_SERVERS = 350
_CAPACITY = Resources(64_000, 131_072)
_READY_TASKS = 2000
_ORGANISATIONS = 20
_STEP_MS = 5
_WARM_UP_PASSES = 400
_LARGE_FRACTION = 0.03
_GANG_FRACTION = 0.01
_GB = 1024


def main(passes: int = 200, seed: int = 1) -> None:
    """Print the duration of planning passes for 350 servers and 2,000 ready tasks.

    The passes of the compared settings alternate, so that other load on the machine affects them
    alike. `cpu` is processor time, which other processes affect less.

    Parameters
    ----------
    passes
        Number of measured passes for each row; 5 ms of simulated time pass between two.
    """
    for tasks_per_job in (8, 1):
        loads = [_Load(reservations, tasks_per_job, seed) for reservations in (0, 1, 2, 4)]
        for number in range(_WARM_UP_PASSES + passes):
            for load in loads:
                load.step(is_measured=number >= _WARM_UP_PASSES)
        for load in loads:
            load.print_row()


@define(eq=False)
class _Load:
    """A pool in which there are always 2,000 ready tasks."""

    reservations: int
    tasks_per_job: int
    seed: int
    _random: random.Random = field(init=False)
    _fleet: PlannedFleet = field(init=False)
    _numbers: count = field(factory=count, init=False)
    _times_ms: list[float] = field(factory=list, init=False)
    _cpu_times_ms: list[float] = field(factory=list, init=False)
    _started: list[int] = field(factory=list, init=False)

    @_random.default
    def _make_random(self) -> random.Random:
        return random.Random(self.seed)

    @_fleet.default
    def _make_fleet(self) -> PlannedFleet:
        rng = self._random
        fleet = PlannedFleet(
            reservations=self.reservations,
            queues=(build_queue(slack_factor=4.0, target_latency_ms=60_000),),
            organisations=tuple(
                JobOrganisation(name=f"o{number}", keys=frozenset(), limit=Resources(10**9))
                for number in range(_ORGANISATIONS)
            ),
            duration_ms=lambda attempt: attempt.task.step.estimated_ms * rng.uniform(0.45, 1.7),
        )
        fleet.add_servers(_SERVERS, _CAPACITY)
        return fleet

    def step(self, *, is_measured: bool) -> None:
        """Let time pass and run a planning pass."""
        fleet = self._fleet
        fleet.end_runs(_STEP_MS)
        self._refill()
        begin, begin_cpu = perf_counter(), thread_time()
        starts = fleet.planner.plan(fleet.servers, fleet.hidden_usage)
        took_ms, cpu_ms = (perf_counter() - begin) * 1000, (thread_time() - begin_cpu) * 1000
        fleet.start(starts)
        if is_measured:
            self._times_ms.append(took_ms)
            self._cpu_times_ms.append(cpu_ms)
            self._started.append(len(starts))

    def print_row(self) -> None:
        """Print what was measured."""
        fleet = self._fleet
        servers = fleet.servers.values()
        used_cores = sum(server.used.cpu for server in servers) / 1000
        print(
            f"reservations={self.reservations} tasks_per_job={self.tasks_per_job} "
            f"{_summary('wall', self._times_ms)} {_summary('cpu', self._cpu_times_ms)} "
            f"starts_per_pass={median(self._started):.0f} "
            f"running={sum(len(server.attempts) for server in servers)} "
            f"used_cores={used_cores:.0f} "
            f"held={fleet.metrics.value('reservations_held', pool='paint'):.0f}"
        )

    def _refill(self) -> None:
        """Submit jobs until the number of ready tasks is reached."""
        waiting = sum(
            not (task.done or task.attempts)
            for job in self._fleet.jobs.values()
            for task in job.tasks.values()
        )
        while waiting < _READY_TASKS:
            step = self._next_step()
            number = next(self._numbers)
            organisation = f"o{number % _ORGANISATIONS}"
            spec = build_spec(step, job_id=f"{number:016x}", organisation=organisation)
            self._fleet.submit(spec)
            waiting += step.count

    def _next_step(self) -> StepSpec:
        rng = self._random
        kind = rng.random()
        estimated_ms = rng.randint(640, 2100)
        if kind < _GANG_FRACTION:
            demand = Resources(16_000, 16 * _GB)
            return build_step(count=16, gang=True, demand=demand, estimated_ms=estimated_ms)
        if kind < _GANG_FRACTION + _LARGE_FRACTION:
            demand = Resources(40_000, rng.choice((16, 80)) * _GB)
            return build_step(demand=demand, estimated_ms=estimated_ms)
        demand = Resources(rng.choice((2000, 4000, 8000)), rng.choice((2, 4, 24)) * _GB)
        return build_step(count=self.tasks_per_job, demand=demand, estimated_ms=estimated_ms)


def _summary(name: str, values_ms: list[float]) -> str:
    p95_ms = quantiles(values_ms, n=20)[-1]
    return f"{name}_median_ms={median(values_ms):.2f} {name}_p95_ms={p95_ms:.2f}"


if __name__ == "__main__":
    fire.Fire(main)
