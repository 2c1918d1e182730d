"""Time of a planning pass of a full pool, without and with reservations."""

import random
from statistics import median, quantiles
from time import perf_counter, thread_time

import fire

from fireflydeck.core.fleet_configuration import JobOrganisation
from fireflydeck.core.placement import Resources
from fireflydeck.testing.job_builders import build_queue, build_spec, build_step
from fireflydeck.testing.planned_fleet import PlannedFleet

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

    Parameters
    ----------
    passes
        Number of measured passes for each row; 5 ms of simulated time pass between two.
    """
    for tasks_per_job in (8, 1):
        for reservations in (0, 1, 2, 4):
            _measure(reservations, tasks_per_job, passes, seed)


def _measure(reservations: int, tasks_per_job: int, passes: int, seed: int) -> None:
    rng = random.Random(seed)
    fleet = PlannedFleet(
        reservations=reservations,
        queues=(build_queue(slack_factor=4.0, target_latency_ms=60_000),),
        organisations=tuple(
            JobOrganisation(name=f"o{number}", keys=frozenset(), limit=Resources(10**9))
            for number in range(_ORGANISATIONS)
        ),
        duration_ms=lambda attempt: attempt.task.step.estimated_ms * rng.uniform(0.45, 1.7),
    )
    fleet.add_servers(_SERVERS, _CAPACITY)
    times_ms: list[float] = []
    cpu_times_ms: list[float] = []
    started: list[int] = []
    numbers = iter(range(10**9))
    for number in range(_WARM_UP_PASSES + passes):
        _refill(fleet, rng, numbers, tasks_per_job)
        fleet.end_runs(_STEP_MS)
        begin, begin_cpu = perf_counter(), thread_time()
        starts = fleet.planner.plan(fleet.servers, fleet.hidden_usage)
        took_ms = (perf_counter() - begin) * 1000
        cpu_ms = (thread_time() - begin_cpu) * 1000
        fleet.start(starts)
        if number >= _WARM_UP_PASSES:
            times_ms.append(took_ms)
            cpu_times_ms.append(cpu_ms)
            started.append(len(starts))
    held = fleet.metrics.value("reservations_held", pool="paint")
    print(
        f"reservations={reservations} tasks_per_job={tasks_per_job} "
        f"median_ms={median(times_ms):.2f} p95_ms={quantiles(times_ms, n=20)[-1]:.2f} "
        f"cpu_median_ms={median(cpu_times_ms):.2f} "
        f"cpu_p95_ms={quantiles(cpu_times_ms, n=20)[-1]:.2f} starts_per_pass={median(started):.0f} "
        f"running={sum(len(server.attempts) for server in fleet.servers.values())} "
        f"reservations_held={held:.0f}"
    )


def _refill(fleet: PlannedFleet, rng: random.Random, numbers, tasks_per_job: int) -> None:  # noqa: ANN001
    """Submit jobs until the number of ready tasks is reached."""
    waiting = sum(
        not (task.done or task.attempts)
        for job in fleet.jobs.values()
        for task in job.tasks.values()
    )
    while waiting < _READY_TASKS:
        kind = rng.random()
        if kind < _GANG_FRACTION:
            step = build_step(
                count=16, gang=True, demand=Resources(16_000, 16 * _GB), estimated_ms=1500
            )
        elif kind < _GANG_FRACTION + _LARGE_FRACTION:
            demand = Resources(40_000, rng.choice((16, 80)) * _GB)
            step = build_step(demand=demand, estimated_ms=rng.randint(1000, 2100))
        else:
            demand = Resources(rng.choice((2000, 4000, 8000)), rng.choice((2, 4, 24)) * _GB)
            step = build_step(
                count=tasks_per_job, demand=demand, estimated_ms=rng.randint(640, 2100)
            )
        number = next(numbers)
        organisation = f"o{number % _ORGANISATIONS}"
        fleet.submit(build_spec(step, job_id=f"{number:016x}", organisation=organisation))
        waiting += step.count


if __name__ == "__main__":
    fire.Fire(main)
