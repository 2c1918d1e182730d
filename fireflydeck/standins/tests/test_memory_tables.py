from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.core import Clock
from fireflydeck.standins.lagging_vm_list import LaggingVmList
from fireflydeck.standins.memory_tables import MemoryTables
from fireflydeck.standins.token_bucket import TokenBucket
from fireflydeck.tables import Delete, ListedVm, Put, Transaction

KEYS = st.text(alphabet="ab/\u00e9", max_size=3)
WRITES = st.lists(st.tuples(st.sampled_from(["put", "delete"]), KEYS), max_size=30)


class ManualClock(Clock):
    def __init__(self):
        self.ms = 0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return self.ms

    async def sleep_ms(self, duration_ms):
        self.ms += duration_ms


@settings(derandomize=True, max_examples=200)
@given(writes=WRITES, prefix=KEYS, after=KEYS, limit=st.integers(0, 5))
def test_scan_equals_a_sort_of_all_rows(writes, prefix, after, limit):
    tables, model = MemoryTables(), {}
    for number, (write, key) in enumerate(writes):
        if write == "put":
            tables.commit(Transaction(puts=(Put("t", key, number),)))
            model[key] = number
        else:
            tables.commit(Transaction(deletes=(Delete("t", key),)))
            model.pop(key, None)
    keys = sorted(key for key in model if key.startswith(prefix) and key > after)
    rows = tables.scan("t", prefix=prefix, after=after, limit=limit)
    assert [(row.key, row.value) for row in rows] == [(key, model[key]) for key in keys[:limit]]


@settings(derandomize=True, max_examples=200)
@given(steps=st.lists(st.integers(0, 700), min_size=1, max_size=300))
def test_token_bucket_never_exceeds_its_rate(steps):
    clock = ManualClock()
    bucket = TokenBucket(10, clock)
    taken = 0
    for step_ms in steps:
        clock.ms += step_ms
        taken += bucket.take()
        assert taken * 1000 <= 10 * (clock.ms + 1000)


def test_token_bucket_refills():
    clock = ManualClock()
    bucket = TokenBucket(10, clock)
    assert [bucket.take() for _ in range(11)] == [True] * 10 + [False]
    clock.ms = 99
    assert not bucket.take()
    clock.ms = 100
    assert [bucket.take(), bucket.take()] == [True, False]


def test_lagging_vm_list_shows_changes_in_their_order():
    clock = ManualClock()
    vm_list = LaggingVmList(clock, 1000)
    shown = []
    for name in ("vm-1", "vm-2"):
        vm_list.replace((ListedVm(name=name),))
        clock.ms += 600
        shown.append([vm.name for vm in vm_list.vms()])
    clock.ms += 400
    shown.append([vm.name for vm in vm_list.vms()])
    assert shown == [[], ["vm-1"], ["vm-2"]]
