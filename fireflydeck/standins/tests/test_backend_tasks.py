import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.standins.backend_tasks import Refusal, TaskIdentity, TaskState, TaskTable, Work
from fireflydeck.standins.tests.test_memory_tables import ManualClock

IDENTITY = TaskIdentity(request_id="r-1", organisation="museum", dispatcher="d-1", attempt=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def tasks(clock):
    return TaskTable(2, "dc-1", clock)


def events(tasks):
    return [(entry.at_ms, entry.event, entry.outcome) for entry in tasks.log]


ENDS = [
    ("finished", Work(task_id="j", run_ms=500), 1_000, 500, "done"),
    ("failed", Work(task_id="j", run_ms=500, fail=True), 1_000, 500, "failed"),
    ("lease ran out", Work(task_id="j", run_ms=500), 300, 300, "stopped"),
    ("lease of just the run time", Work(task_id="j", run_ms=500), 500, 500, "done"),
    ("no lease", Work(task_id="j", run_ms=500), 0, 0, "stopped"),
    ("resumed", Work(task_id="j", run_ms=500, resumed_ms=400), 1_000, 100, "done"),
    ("resumed at the end", Work(task_id="j", run_ms=500, resumed_ms=600), 1_000, 0, "done"),
    ("synchronous", Work(run_ms=5), 1_000, 5, "done"),
]


@pytest.mark.parametrize(("_name", "work", "lease_ms", "end_ms", "outcome"), ENDS)
def test_end_of_a_task_is_logged_at_its_time(tasks, clock, _name, work, lease_ms, end_ms, outcome):
    tasks.start(IDENTITY, work, lease_ms)
    clock.ms = max(0, end_ms - 1)
    assert len(tasks.running()) == (1 if end_ms > 0 else 0)
    clock.ms = 5_000
    assert tasks.running() == []
    assert events(tasks) == [(0, "start", ""), (end_ms, "end", outcome)]
    assert tasks.log[0].data_centre == "dc-1"
    assert tasks.log[1].dispatcher == "d-1"


def test_checkpoint_every_200_ms(tasks, clock):
    task = tasks.start(IDENTITY, Work(task_id="j", run_ms=900, resumed_ms=200), 10_000)
    seen = []
    for clock.ms in (0, 199, 200, 650, 5_000):
        tasks.end_due_tasks()
        seen.append(task.checkpoint(clock.ms))
    assert seen == ["200", "200", "400", "800", "800"]


def test_renewed_lease_counts_from_the_renewal(tasks, clock):
    tasks.start(IDENTITY, Work(task_id="j", run_ms=5_000), 300)
    clock.ms = 200
    assert tasks.renew("j", 300)
    clock.ms = 499
    assert tasks.find("j").state is TaskState.RUNNING
    clock.ms = 500
    assert not tasks.renew("j", 300)
    assert tasks.find("j").state is TaskState.STOPPED
    assert tasks.find("j").checkpoint(clock.ms) == "400"


def test_refusals(tasks, clock):
    long = Work(task_id="j", run_ms=100)
    tasks.start(IDENTITY, long, 1_000)
    assert tasks.start(IDENTITY, long, 1_000) is Refusal.RUNNING_ALREADY
    tasks.start(IDENTITY, Work(run_ms=50), 1_000)
    assert tasks.start(IDENTITY, Work(), 1_000) is Refusal.FULL
    tasks.draining = True
    clock.ms = 100
    assert tasks.start(IDENTITY, Work(), 1_000) is Refusal.DRAINING
    tasks.draining = False
    assert tasks.start(IDENTITY, long, 1_000).state is TaskState.RUNNING


def test_stop_ends_all_tasks_of_an_identity(tasks, clock):
    for _ in range(2):
        tasks.start(IDENTITY, Work(run_ms=100), 1_000)
    clock.ms = 10
    assert tasks.stop("r-1")
    assert events(tasks)[2:] == [(10, "end", "stopped")] * 2
    assert not tasks.stop("r-1")


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "renew", "stop", "wait"]),
        st.sampled_from(["a", "b", "c", ""]),
        st.integers(0, 400),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200)
@given(steps=STEPS)
def test_slots_and_log_stay_consistent(steps):
    clock = ManualClock()
    tasks = TaskTable(2, "dc-1", clock)
    for step, task_id, number in steps:
        if step == "start":
            tasks.start(IDENTITY, Work(task_id=task_id, run_ms=number), 200)
        elif step == "renew":
            tasks.renew(task_id, number)
        elif step == "stop":
            tasks.stop(task_id or "r-1")
        else:
            clock.ms += number
        starts = sum(entry.event == "start" for entry in tasks.log)
        ends = sum(entry.event == "end" for entry in tasks.log)
        assert starts - ends == len(tasks.running()) <= 2
    times = [entry.at_ms for entry in tasks.log]
    assert times == sorted(times)
