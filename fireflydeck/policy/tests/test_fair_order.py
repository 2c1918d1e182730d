"""Fair order of waiting requests, with one pool in simulated time."""

import heapq
import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core import Urgency
from fireflydeck.policy.fair_order import FairOrder, WaitingRequest

MINUTE_MS = 60_000


class PoolSimulation:
    """Simulation of a pool that serves requests in fair order on a number of slots."""

    def __init__(self, shares, slots):
        self.order = FairOrder(shares=shares, slots=slots)
        self.slots = slots
        self.ids = itertools.count()
        self.ends = []
        self.used_ms = dict.fromkeys(shares, 0)
        self.waits = {}

    def add(self, organisation, now_ms, urgency=Urgency.NORMAL):
        entry = WaitingRequest(
            entry_id=next(self.ids),
            organisation=organisation,
            queue="q",
            urgency=urgency,
            arrived_ms=now_ms,
            deadline_ms=10**9,
        )
        self.order.add(entry)

    def run(self, until_ms, run_ms, refill):
        now_ms = 0
        while now_ms < until_ms:
            refill(self, now_ms)
            while len(self.ends) < self.slots and len(self.order):
                self.start(self.order.candidates(now_ms)[0], now_ms, run_ms)
            if not self.ends:
                return
            now_ms, entry_id, organisation, used_ms = heapq.heappop(self.ends)
            self.order.finish(entry_id, now_ms)
            self.used_ms[organisation] += used_ms

    def start(self, entry, now_ms, run_ms):
        self.order.start(entry.entry_id, now_ms)
        wait_ms = now_ms - entry.arrived_ms
        key = (entry.organisation, entry.urgency)
        self.waits[key] = max(wait_ms, self.waits.get(key, 0))
        used_ms = run_ms(entry.organisation)
        heapq.heappush(self.ends, (now_ms + used_ms, entry.entry_id, entry.organisation, used_ms))


def keep_waiting(urgencies, depth=3):
    def refill(run, now_ms):
        for organisation, urgency in urgencies.items():
            while run.order.waiting_count(organisation) < depth:
                run.add(organisation, now_ms, urgency)

    return refill


def used_fraction(run, organisation):
    return run.used_ms[organisation] / sum(run.used_ms.values())


def test_organisations_get_their_shares_with_tasks_a_hundred_times_longer():
    run = PoolSimulation({"long": 1, "short": 3}, slots=8)
    run_times = {"long": 2000, "short": 20}
    run.run(MINUTE_MS, run_times.get, keep_waiting(dict.fromkeys(run_times, Urgency.NORMAL)))
    assert abs(used_fraction(run, "long") - 0.25) < 0.05


def test_urgent_organisation_does_not_break_the_shares_over_a_minute():
    run = PoolSimulation({"rush": 1, "calm": 1}, slots=4)
    urgencies = {"rush": Urgency.URGENT, "calm": Urgency.NORMAL}
    run.run(MINUTE_MS, lambda organisation: 100, keep_waiting(urgencies))
    assert used_fraction(run, "rush") < 0.6


def test_urgent_requests_of_an_organisation_within_its_share_go_first():
    run = PoolSimulation({"rush": 1, "calm": 3}, slots=4)

    def refill(run, now_ms):
        keep_waiting({"calm": Urgency.NORMAL}, depth=50)(run, now_ms)
        if now_ms % 1000 < 100 and not run.order.waiting_count("rush"):
            run.add("rush", now_ms, Urgency.URGENT)

    run.run(MINUTE_MS, lambda organisation: 100, refill)
    assert run.waits["rush", Urgency.URGENT] <= 100


def test_batch_work_does_not_starve():
    run = PoolSimulation({"rush": 1, "ledger": 1}, slots=2)
    urgencies = {"rush": Urgency.NORMAL, "ledger": Urgency.BATCH}
    run.run(MINUTE_MS, lambda organisation: 100, keep_waiting(urgencies))
    assert run.used_ms["ledger"] > 0
    assert run.waits["ledger", Urgency.BATCH] < 20_000


def test_idle_organisation_saves_up_no_credit():
    run = PoolSimulation({"busy": 1, "late": 1}, slots=2)
    used_before = {"busy": 0, "late": 0}

    def refill(run, now_ms):
        keep_waiting({"busy": Urgency.NORMAL})(run, now_ms)
        if now_ms >= MINUTE_MS:
            keep_waiting({"late": Urgency.NORMAL})(run, now_ms)
            if not used_before["busy"]:
                used_before.update(run.used_ms)

    run.run(MINUTE_MS + 10_000, lambda organisation: 100, refill)
    late_ms = run.used_ms["late"] - used_before["late"]
    busy_ms = run.used_ms["busy"] - used_before["busy"]
    assert abs(late_ms - busy_ms) <= 2000


def test_expected_wait_grows_with_the_requests_ahead():
    run = PoolSimulation({"a": 1}, slots=2)
    run.order.estimates.learn("q", "a", 100)
    for _ in range(10):
        run.add("a", 0)
    assert run.order.expected_wait_ms("a", "q", Urgency.NORMAL) == 0
    for entry_id in range(2):
        run.order.start(entry_id, 0)
    assert run.order.expected_wait_ms("a", "q", Urgency.NORMAL) == 8 * 100 / 2
    assert run.order.expected_wait_ms("a", "q", Urgency.URGENT) == 0


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(list(Urgency)), st.integers(1, 3000)),
        min_size=1,
        max_size=60,
    )
)
def test_every_request_starts_once(requests):
    run = PoolSimulation({"a": 1, "b": 2, "c": 5}, slots=2)
    for organisation, urgency, _ in requests:
        run.add(organisation, 0, urgency)
    run_times = itertools.cycle([run_ms for _, _, run_ms in requests])
    run.run(10**9, lambda organisation: next(run_times), lambda run, now_ms: None)
    assert len(run.order) == 0 and run.order.running == 0
    assert next(run.ids) == len(requests)
