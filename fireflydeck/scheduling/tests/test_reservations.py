"""Load: many small tasks beside a few large ones or gangs; the small ones fill each gap."""

from random import Random

import pytest

from fireflydeck.core.fleet_configuration import JobOrganisation
from fireflydeck.core.placement import Resources
from fireflydeck.kernel import Event
from fireflydeck.scheduling.tests.fleet import no_duplicate_runs, running_fleet
from fireflydeck.testing.job_builders import accept_job, build_queue, build_spec, build_step
from fireflydeck.testing.planned_fleet import PlannedFleet

_GB = 1024
_LARGE = "00000000000000f1"
_OTHER_LARGE = "00000000000000f2"
_STEP_MS = 20


def _cores(count, memory_gb=1):
    return Resources(count * 1000, memory_gb * _GB)


def _fleet(reservations=2, servers=4, **fields):
    times = {"slack_factor": 4.0, "target_latency_ms": 4000}
    queues = (build_queue(priority=1, **times), build_queue(name="urgent", **times))
    fleet = PlannedFleet(reservations=reservations, queues=queues, **fields)
    fleet.add_servers(servers, _cores(32, 64))
    return fleet


class _SmallTasks:
    """A stream of small jobs; there are always `waiting` of them more than have started."""

    def __init__(
        self, fleet, *, cores=4, waiting=20, estimates_ms=range(300, 900), label="", **fields
    ):
        self._fleet, self._waiting, self._fields = fleet, waiting, fields
        self._estimates_ms = estimates_ms
        self._step_fields = {"demand": _cores(cores), "required_label": label}
        self._random = Random(1)
        self._submitted = 0

    def advance_ms(self, duration_ms):
        for _ in range(duration_ms // _STEP_MS):
            while self._submitted - len(self._fleet.started_ms) < self._waiting:
                self._submitted += 1
                estimated_ms = self._random.choice(self._estimates_ms)
                step = build_step(estimated_ms=estimated_ms, **self._step_fields)
                spec = build_spec(step, job_id=f"{self._submitted:016x}", **self._fields)
                self._fleet.submit(spec)
            self._fleet.step_ms(_STEP_MS)


def _submit_large(fleet, job_id=_LARGE, **fields):
    """Submit a job that ranks before the small ones, so that these may not delay it."""
    organisation = fields.pop("organisation", "museum")
    step = build_step(**{"demand": _cores(24), "estimated_ms": 1000, **fields})
    spec = build_spec(step, job_id=job_id, organisation=organisation, queue="urgent")
    return fleet.submit(spec)


def _submit_long_jobs(fleet, count, **fields):
    """Submit jobs of one task; a single job would rank first once its first task has started."""
    for number in range(count):
        step = build_step(estimated_ms=5000, **fields)
        fleet.submit(build_spec(step, job_id=f"{0xE00 + number:016x}"))


def _waited_ms(fleet, job_id=_LARGE):
    """Return the wait of the first task of a job, or `None` if it has not started."""
    return fleet.started_ms.get(f"{job_id}.0.0.0")


@pytest.mark.parametrize(
    "fields",
    [{"demand": _cores(32)}, {"gang": True, "count": 10, "demand": _cores(8)}],
    ids=["large", "gang"],
)
def test_large_task_and_wide_gang_start_within_the_longest_small_task(fields):
    """Without reservations they start only after the stream of small tasks has ended."""
    waits = {}
    for reservations in (0, 1):
        fleet = _fleet(reservations)
        stream = _SmallTasks(fleet)
        stream.advance_ms(1000)
        submitted_ms = fleet.clock.now_ms()
        _submit_large(fleet, **fields)
        stream.advance_ms(3000)
        start_ms = _waited_ms(fleet)
        waits[reservations] = start_ms - submitted_ms if start_ms is not None else None
    assert waits[0] is None
    assert waits[1] <= 900 + 2 * _STEP_MS


def test_short_tasks_run_in_the_gap_before_the_reservation():
    """Capacity that is held for a large task must not lie idle if short work waits."""
    fleet = _fleet(servers=1)
    stream = _SmallTasks(fleet, cores=8, estimates_ms=(100, 1500), waiting=8)
    stream.advance_ms(1000)
    _submit_large(fleet, demand=_cores(32))
    stream.advance_ms(1500)
    assert fleet.metrics.value("backfilled_starts_total", pool="paint") > 0
    stream.advance_ms(1000)
    assert _waited_ms(fleet) is not None


@pytest.mark.parametrize("factor", [0.5, 2.0, 7.0])
def test_wrong_estimates_delay_a_reserved_task_but_do_not_starve_it(factor):
    fleet = _fleet(duration_ms=lambda attempt: attempt.task.step.estimated_ms * factor)
    stream = _SmallTasks(fleet, estimates_ms=(200, 400))
    stream.advance_ms(1000)
    submitted_ms = fleet.clock.now_ms()
    _submit_large(fleet)
    stream.advance_ms(6000)
    assert _waited_ms(fleet) - submitted_ms <= 400 * max(1, factor) + 2 * _STEP_MS


def test_reservation_of_a_lost_server_moves_to_another_one():
    fleet = _fleet()
    stream = _SmallTasks(fleet)
    stream.advance_ms(1000)
    _submit_large(fleet, demand=_cores(32))
    stream.advance_ms(240)
    fields = [fields for event, fields in fleet.log.events if event is Event.TASK_WAITS]
    (reserved_on,) = next(f["reserved_on"] for f in fields if f["job"] == _LARGE)
    fleet.lose(reserved_on)
    lost_ms = fleet.clock.now_ms()
    stream.advance_ms(1500)
    assert _waited_ms(fleet) - lost_ms <= 900 + 2 * _STEP_MS


def test_two_large_jobs_of_two_organisations_both_start():
    fleet = _fleet(servers=2)
    stream = _SmallTasks(fleet)
    stream.advance_ms(1000)
    submitted_ms = fleet.clock.now_ms()
    _submit_large(fleet, demand=_cores(32))
    _submit_large(fleet, _OTHER_LARGE, organisation="library", demand=_cores(32))
    stream.advance_ms(3000)
    for job_id in (_LARGE, _OTHER_LARGE):
        assert _waited_ms(fleet, job_id) - submitted_ms <= 900 + 1000 + 2 * _STEP_MS


def test_reservation_counts_towards_the_cap_of_its_organisation():
    """Small tasks of the same organisation must not use up the cap that the large one needs."""
    limited = JobOrganisation(name="museum", keys=frozenset(), limit=Resources(48_000))
    fleet = _fleet(organisations=(limited,), servers=0)
    fleet.add_servers(1, _cores(32, 64), labels=frozenset({"a"}))
    others = _SmallTasks(fleet, label="a", organisation="library")
    others.advance_ms(1000)
    _submit_large(fleet, demand=_cores(32), required_label="a")
    fleet.step_ms(_STEP_MS)
    fleet.add_servers(2, _cores(32, 64), labels=frozenset({"b"}))
    _submit_long_jobs(fleet, 8, demand=_cores(4), required_label="b")
    others.advance_ms(1500)
    assert _waited_ms(fleet) is not None
    assert fleet.usage.used("museum").cpu <= 48_000


def test_long_tasks_together_use_only_what_is_spare_beside_a_reservation():
    """Each of them alone would fit beside the large task, but not both."""
    fleet = _fleet(servers=1)
    fleet.submit(build_spec(build_step(demand=_cores(16)), job_id="00000000000000e1"))
    fleet.step_ms(_STEP_MS)
    _submit_large(fleet, demand=_cores(20))
    _submit_long_jobs(fleet, 2, demand=_cores(8))
    fleet.advance_ms(1000)
    assert _waited_ms(fleet) is not None
    assert fleet.servers["s1"].used.cpu == 28_000


def test_capacity_is_held_no_longer_than_the_bound():
    """Runs that never end must not keep other capacity idle for a large task for good."""
    fleet = _fleet(servers=1, duration_ms=lambda attempt: float("inf"))
    fleet.submit(build_spec(build_step(demand=_cores(20)), job_id="00000000000000e1"))
    fleet.step_ms(_STEP_MS)
    _submit_large(fleet)
    fleet.step_ms(_STEP_MS)
    small = build_step(demand=_cores(12), estimated_ms=30_000)
    fleet.submit(build_spec(small, job_id="00000000000000e2"))
    objective_ms = 1000 * 4 + 4000
    fleet.advance_ms(objective_ms // 2 + 200)
    assert _waited_ms(fleet, "00000000000000e2") is not None
    assert fleet.metrics.value("reservation_idle_core_s", pool="paint") > 0


def test_memory_bound_server_takes_the_tasks_with_little_memory():
    """Full memory with free cores: by free CPU alone these tasks would fill the other server."""
    fleet = _fleet(servers=2)
    fill = build_step(demand=_cores(8, 60), estimated_ms=5000)
    fleet.submit(build_spec(fill, job_id="00000000000000e1"))
    fleet.step_ms(_STEP_MS)
    balanced = build_step(demand=_cores(16, 16), estimated_ms=5000)
    fleet.submit(build_spec(balanced, job_id="00000000000000e2"))
    fleet.step_ms(_STEP_MS)
    cores_only = build_step(count=5, demand=Resources(4000, 256), estimated_ms=5000)
    fleet.submit(build_spec(cores_only, job_id="00000000000000e3"))
    fleet.step_ms(_STEP_MS)
    used = {server.id: server.used.cpu for server in fleet.servers.values()}
    assert used == {"s1": 28_000, "s2": 16_000}


def test_many_equal_jobs_need_no_reservation():
    """Each of them finds room when one of the others ends, and nothing may lie idle for that."""
    fleet = _fleet(reservations=2, servers=4)
    for number in range(200):
        _submit_large(fleet, f"{number:016x}", demand=_cores(20))
    fleet.advance_ms(5000)
    assert fleet.metrics.value("reservation_idle_core_s", pool="paint") == 0
    lines = [fields for event, fields in fleet.log.events if event is Event.TASK_WAITS]
    assert 0 < len(lines) <= 6 * 20
    assert all(server.used.cpu == 20_000 for server in fleet.servers.values())


@pytest.mark.anyio
async def test_reservations_of_a_running_holder():
    """The switch reaches the planner, and the next holder needs no state of the former one."""
    async with running_fleet(servers=2, members=2, reservations=1, cpu_limit=0) as fleet:
        for number in range(60):
            step = build_step(count=8, demand=_cores(4), estimated_ms=600)
            accept_job(fleet.rows, build_spec(step, job_id=f"{number:016x}"))
        await fleet.advance_ms(600)
        gang = build_step(gang=True, count=2, demand=_cores(32), estimated_ms=600)
        accept_job(fleet.rows, build_spec(gang, job_id=_LARGE))
        await fleet.advance_ms(400, check=no_duplicate_runs(fleet))
        assert Event.TASK_WAITS in fleet.log.emitted()
        await fleet.leader.lease.stop()
        await fleet.advance_ms(20_000, check=no_duplicate_runs(fleet))
        assert fleet.outcome(_LARGE) == "completed"
