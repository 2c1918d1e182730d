"""Load: any mix of small and large tasks and gangs on a few servers that are full most of the time.

Guards against reservations that give capacity away twice, exceed a limit or hold up urgent work.
"""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core.fleet_configuration import JobOrganisation
from fireflydeck.core.placement import Resources
from fireflydeck.testing.job_builders import build_queue, build_spec, build_step
from fireflydeck.testing.planned_fleet import PlannedFleet

_CAP = Resources(40_000)
_PASSES = 12
_STEP_MS = 100
_amounts = st.builds(Resources, st.integers(1, 32), st.integers(1, 32))
_capacities = st.lists(_amounts, min_size=1, max_size=4)
_steps = st.builds(
    lambda demand, count, gang, estimated_ms, most: build_step(
        demand=Resources(demand.cpu * 1000, demand.memory_mb),
        count=count,
        gang=gang,
        estimated_ms=estimated_ms,
        max_per_server=most,
    ),
    _amounts,
    st.integers(1, 3),
    st.booleans(),
    st.integers(50, 2000),
    st.integers(0, 2),
)
_jobs = st.tuples(
    _steps, st.sampled_from(["first", "second"]), st.sampled_from(["museum", "library"])
)
_batches = st.lists(st.lists(_jobs, max_size=5), min_size=1, max_size=4)
_settings = settings(derandomize=True, deadline=None, database=None, max_examples=150)


class _RoomRecorder:
    """Reservations that keep the rooms of the last planning pass."""

    def __init__(self, reservations):
        self._reservations = reservations
        self.rooms = {}

    def __getattr__(self, name):
        return getattr(self._reservations, name)

    def end_pass(self, rooms):
        self.rooms = rooms
        self._reservations.end_pass(rooms)


def _fleet(capacities, factor=1.0):
    times = {"slack_factor": 3.0, "target_latency_ms": 3000}
    fleet = PlannedFleet(
        reservations=2,
        queues=tuple(
            build_queue(name=name, priority=number, **times)
            for number, name in enumerate(["first", "second"])
        ),
        organisations=(JobOrganisation(name="museum", keys=frozenset(), limit=_CAP),),
        duration_ms=lambda attempt: attempt.task.step.estimated_ms * factor,
    )
    for amount in capacities:
        fleet.add_servers(1, Resources(amount.cpu * 1000, amount.memory_mb))
    return fleet


def _submit(fleet, batch, first_number):
    for number, (step, queue, organisation) in enumerate(batch, first_number):
        spec = build_spec(step, job_id=f"{number:016x}", queue=queue, organisation=organisation)
        fleet.submit(spec)


def _check_capacity(fleet):
    running = Counter(key[0] for server in fleet.servers.values() for key in server.attempts)
    assert not running or max(running.values()) == 1
    for server in fleet.servers.values():
        assert server.registration.capacity.covers(server.used)
    assert fleet.usage.used("museum").cpu <= _CAP.cpu


def _check_holds(fleet, rooms):
    """Check that all reserved tasks fit at their times if the runs end as expected.

    The runs include those that were started in this pass beside the reservations.
    """
    for room in rooms.values():
        assert room.reservations <= fleet.reservations
        for server, holds in room.held_servers:
            forecast = room._forecasts.of(server, room.now_ms)
            for hold in holds.holds:
                free = sum(
                    (amount for end_ms, amount in forecast.releases if end_ms <= hold.at_ms),
                    forecast.free,
                )
                active = (
                    other.amount
                    for other in holds.holds
                    if other.at_ms <= hold.at_ms < other.until_ms
                )
                assert free.covers(sum(active, Resources()))


@given(capacities=_capacities, batches=_batches, factor=st.sampled_from([0.5, 1.0, 1.7, 7.0]))
@_settings
def test_nothing_is_placed_twice_and_no_lower_rank_uses_reserved_capacity(
    capacities, batches, factor
):
    fleet = _fleet(capacities, factor)
    recorder = _RoomRecorder(fleet.planner.reservations)
    fleet.planner.reservations = recorder
    number = 0
    for index in range(_PASSES):
        if index < len(batches):
            _submit(fleet, batches[index], number)
            number += len(batches[index])
        fleet.step_ms(_STEP_MS)
        _check_capacity(fleet)
        _check_holds(fleet, recorder.rooms)


@given(capacities=_capacities, batches=_batches)
@_settings
def test_reservation_never_delays_a_higher_rank(capacities, batches):
    """Up to the first task that waits, the starts of a pass are those without reservations."""
    fleet, reference = _fleet(capacities), _fleet(capacities)
    number = 0
    for batch in batches:
        for each in (fleet, reference):
            _submit(each, batch, number)
            each.end_runs(_STEP_MS)
        number += len(batch)
        reference.planner.reservations.max_per_pool = 0
        ranked = [
            queued.job.id
            for _, queued in fleet.planner.jobs.ranked(
                fleet.planner.operators.configuration, fleet.clock.now_ms()
            )
        ]
        starts, expected = (
            [(a.task.name, a.server_id) for a in f.plan()] for f in (fleet, reference)
        )
        waiting = [
            job_id
            for job_id in ranked
            if any(not (task.done or task.attempts) for task in fleet.jobs[job_id].tasks.values())
        ]
        first = ranked.index(waiting[0]) if waiting else len(ranked)
        higher = set(ranked[:first])
        assert [s for s in starts if s[0].partition(".")[0] in higher] == [
            s for s in expected if s[0].partition(".")[0] in higher
        ]
        if starts != expected:
            return
