import asyncio

import anyio
import pytest
from expression import Error, Ok
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fireflydeck.core import Failure, Organisation, Ran, Reason
from fireflydeck.dispatcher.fleet_allotments import FleetAllotments
from fireflydeck.dispatcher.tests.fakes import FakeView
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.policy.allotment import AllotmentRow, reclaim_grant
from fireflydeck.standins.memory_tables import MemoryTables
from fireflydeck.tables import Put, TableService, Transaction
from fireflydeck.testing import FakeClock, FakeTableService, StoreFault, build_configuration

ORGANISATION = "museum"
FAULTS = ["none", "none", "none", "lost", "late", "dropped", "refused"]


def unavailable(ran):
    return Error(Failure(Reason.STORE_UNAVAILABLE, step="store", ran=ran))


class SteppedTables(TableService):
    """Table service whose calls wait until a test delivers them.

    Attributes
    ----------
    pending
        Calls that wait for their delivery.
    delayed
        Transactions whose caller already has a failure, but which may still be applied.
    """

    def __init__(self, tables):
        self.tables = tables
        self.pending = []
        self.delayed = []

    async def get(self, table, key):
        return await self._step(lambda: Ok(self.tables.get(table, key)), None)

    async def scan(self, table, *, prefix="", after="", limit=1000):
        return await self._step(lambda: Ok(self.tables.scan(table, prefix=prefix)), None)

    async def commit(self, transaction):
        return await self._step(lambda: self.apply(transaction), transaction)

    def apply(self, transaction):
        before = row_of(self.tables)
        if self.tables.commit(transaction):
            return Error(Failure(Reason.CONFLICT, step="store"))
        after = row_of(self.tables)
        assert after.free >= 0 or after.free >= before.free, "a larger grant exceeds the limit"
        return Ok(None)

    def deliver(self, index, fault):
        call, transaction, future = self.pending.pop(index % len(self.pending))
        if fault == "refused" or (fault != "none" and transaction is None):
            future.set_result(unavailable(Ran.NO))
        elif fault == "lost":
            call()
            future.set_result(unavailable(Ran.UNKNOWN))
        elif fault in ("late", "dropped"):
            self.delayed += [transaction] if fault == "late" else []
            future.set_result(unavailable(Ran.UNKNOWN))
        else:
            future.set_result(call())

    async def _step(self, call, transaction):
        future = asyncio.get_running_loop().create_future()
        self.pending.append((call, transaction, future))
        return await future


def row_of(tables):
    row = tables.get("allotments", ORGANISATION)
    return AllotmentRow.from_plain(row.value) if row else AllotmentRow(limit=0)


class JumpClock(FakeClock):
    """Clock that can be advanced outside of the event loop, without waking sleeping tasks."""

    def jump(self, duration_ms):
        self._now_ms += duration_ms


class Node:
    """A dispatcher with its own view of the configuration.

    Attributes
    ----------
    pending_limits
        New limits that the view does not contain yet.
    """

    def __init__(self, name, tables, clock, limit):
        self.name = name
        self.view = FakeView(build_configuration(Organisation(name=ORGANISATION, limit=limit)))
        self.allotments = FleetAllotments(self.view, tables, clock, Metrics(), name)
        self.running = 0
        self.task = None
        self.pending_limits = []


class AllotmentMachine(RuleBasedStateMachine):
    """Dispatchers that start, crash and lose store answers while an operator changes the limit."""

    node_indexes = st.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = JumpClock(now_ms=10_000)
        self.limit = 6
        self.tables = SteppedTables(MemoryTables())
        self.tables.tables.commit(
            Transaction(puts=(Put("allotments", ORGANISATION, AllotmentRow(limit=6).to_plain()),))
        )
        self.created_nodes = 0
        self.running_by_dead_node = {}
        self.nodes = [self.new_node() for _ in range(3)]

    def teardown(self):
        for node in self.nodes:
            if node.task:
                node.task.cancel()
        self.drain()
        self.loop.close()

    def new_node(self):
        self.created_nodes += 1
        return Node(f"d-{self.created_nodes}", self.tables, self.clock, self.limit)

    def drain(self):
        async def run_ready_tasks():
            for _ in range(20):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_ready_tasks())

    def total(self):
        return sum(node.running for node in self.nodes) + sum(self.running_by_dead_node.values())

    @rule(index=node_indexes, waiting=st.integers(0, 9))
    def ask_for_grant(self, index, waiting):
        node = self.nodes[index]
        node.allotments.set_waiting(ORGANISATION, waiting)
        if node.task is None or node.task.done():
            node.task = self.loop.create_task(node.allotments.rebalance([ORGANISATION]))
        self.drain()

    @precondition(lambda self: self.tables.pending)
    @rule(
        index=st.integers(0, 9),
        fault=st.sampled_from(FAULTS),
    )
    def deliver(self, index, fault):
        self.tables.deliver(index, fault)
        self.drain()

    @rule(
        index=node_indexes,
        waiting=st.integers(0, 9),
        fault=st.sampled_from(FAULTS),
        early=st.booleans(),
    )
    def ask_for_grant_while_starting(self, index, waiting, fault, early):
        self.ask_for_grant(index, waiting)
        for _ in range(4):
            if not self.tables.pending:
                return
            if early:
                self.start(index, 4)
            self.deliver(0, fault if self.tables.pending[0][1] else "none")
            if early:
                self.start(index, 4)

    @precondition(lambda self: self.tables.delayed)
    @rule(index=st.integers(0, 9))
    def apply_delayed_commit(self, index):
        self.tables.apply(self.tables.delayed.pop(index % len(self.tables.delayed)))

    @rule(index=node_indexes, count=st.integers(1, 4))
    def start(self, index, count):
        node = self.nodes[index]
        for _ in range(count):
            if node.allotments.try_start(ORGANISATION):
                node.running += 1
                seen = [
                    self.limit,
                    *(limit for other in self.nodes for limit in other.pending_limits),
                ]
                lagging = [
                    other.view.current.get(Organisation, ORGANISATION).limit for other in self.nodes
                ]
                assert self.total() <= max(seen + lagging)

    @rule(index=node_indexes, count=st.integers(1, 9))
    def finish(self, index, count):
        node = self.nodes[index]
        for _ in range(min(count, node.running)):
            node.running -= 1
            node.allotments.finish(ORGANISATION)

    @rule(index=node_indexes)
    def crash(self, index):
        node = self.nodes[index]
        self.running_by_dead_node[node.name] = node.running
        if node.task:
            node.task.cancel()
        self.drain()
        self.tables.pending = [item for item in self.tables.pending if not item[2].done()]
        self.nodes[index] = self.new_node()

    @precondition(lambda self: self.running_by_dead_node)
    @rule(index=st.integers(0, 9), ended=st.integers(0, 4))
    def reclaim_grant(self, index, ended):
        name = sorted(self.running_by_dead_node)[index % len(self.running_by_dead_node)]
        self.running_by_dead_node[name] = max(0, self.running_by_dead_node[name] - ended)
        self.put_row(
            reclaim_grant(row_of(self.tables.tables), name, self.running_by_dead_node[name])
        )

    @rule(limit=st.integers(0, 9))
    def change_limit(self, limit):
        self.limit = limit
        row = row_of(self.tables.tables)
        self.put_row(AllotmentRow(limit=limit, grants=row.grants, wanted=row.wanted))
        for node in self.nodes:
            node.pending_limits.append(limit)

    @rule(index=node_indexes)
    def observe_limits(self, index):
        node = self.nodes[index]
        while node.pending_limits:
            node.view.put(Organisation(name=ORGANISATION, limit=node.pending_limits.pop(0)))

    @rule(limit=st.integers(0, 9))
    def change_limit_in_force_everywhere(self, limit):
        self.change_limit(limit)
        for index in range(3):
            self.observe_limits(index)
        for index in range(3):
            self.start(index, 4)

    @rule(duration_ms=st.integers(100, 6000))
    def pass_time(self, duration_ms):
        self.clock.jump(duration_ms)

    def put_row(self, row):
        self.tables.tables.commit(
            Transaction(puts=(Put("allotments", ORGANISATION, row.to_plain()),))
        )

    @invariant()
    def usable_never_exceeds_the_row(self):
        grants = row_of(self.tables.tables).grants
        for node in self.nodes:
            state = node.allotments.state().get(ORGANISATION)
            if state is not None:
                assert state["usable"] <= grants.get(node.name, 0)
                assert node.running <= grants.get(node.name, 0)


AllotmentMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestAllotmentMachine = AllotmentMachine.TestCase


class Fleet:
    def __init__(self, limit, names):
        self.tables = FakeTableService()
        self.clock = JumpClock(now_ms=10_000)
        self.view = FakeView(build_configuration(Organisation(name=ORGANISATION, limit=limit)))
        self.members = [
            FleetAllotments(self.view, self.tables, self.clock, Metrics(), name) for name in names
        ]

    async def cycle(self, times=1):
        for _ in range(times):
            self.clock.jump(1000)
            for member in self.members:
                await member.rebalance([ORGANISATION])


@pytest.mark.anyio
async def test_first_request_gets_a_grant_within_milliseconds():
    fleet = Fleet(4, ["d-1"])
    allotments = fleet.members[0]
    increased_at_ms = []
    allotments.on_increase(lambda: increased_at_ms.append(fleet.clock.now_ms()))
    async with anyio.create_task_group() as tasks:
        await allotments.start(Registry(), tasks)
        allotments.set_waiting(ORGANISATION, 1)
        await fleet.clock.advance_ms(10)
        assert increased_at_ms and increased_at_ms[0] <= 10_010
        assert allotments.try_start(ORGANISATION)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_grants_follow_demand_within_two_seconds():
    fleet = Fleet(8, ["d-1", "d-2"])
    first, second = fleet.members
    first.set_waiting(ORGANISATION, 20)
    await fleet.cycle()
    assert first.state()[ORGANISATION]["usable"] == 8
    first.set_waiting(ORGANISATION, 0)
    second.set_waiting(ORGANISATION, 20)
    await fleet.cycle(2)
    assert second.state()[ORGANISATION]["usable"] >= 7


@pytest.mark.anyio
async def test_limit_of_one_is_passed_between_dispatchers_with_demand():
    fleet = Fleet(1, ["d-1", "d-2", "d-3"])
    served = set()
    for allotments in fleet.members:
        allotments.set_waiting(ORGANISATION, 5)
    for _ in range(120):
        await fleet.cycle()
        for index, allotments in enumerate(fleet.members):
            if allotments.try_start(ORGANISATION):
                allotments.finish(ORGANISATION)
                served.add(index)
    assert served == {0, 1, 2}


@pytest.mark.anyio
async def test_larger_grant_of_a_lost_commit_is_used_only_after_the_row_is_read():
    fleet = Fleet(4, ["d-1"])
    allotments = fleet.members[0]
    allotments.set_waiting(ORGANISATION, 2)
    fleet.tables.next_commits = [StoreFault.ANSWER_LOST]
    await allotments.rebalance([ORGANISATION])
    assert not allotments.can_start(ORGANISATION)
    await allotments.rebalance([ORGANISATION])
    assert allotments.can_start(ORGANISATION)


@pytest.mark.anyio
async def test_grants_stay_unchanged_during_a_store_outage():
    fleet = Fleet(4, ["d-1"])
    allotments = fleet.members[0]
    allotments.set_waiting(ORGANISATION, 2)
    await allotments.rebalance([ORGANISATION])
    fleet.tables.outage = True
    allotments.set_waiting(ORGANISATION, 9)
    await allotments.rebalance([ORGANISATION])
    assert allotments.state()[ORGANISATION]["usable"] == 3


@pytest.mark.anyio
async def test_steady_demand_writes_nothing():
    fleet = Fleet(8, ["d-1", "d-2"])
    for allotments in fleet.members:
        allotments.set_waiting(ORGANISATION, 20)
    await fleet.cycle(5)
    commits = fleet.tables.commits
    await fleet.cycle(5)
    assert fleet.tables.commits == commits


@pytest.mark.anyio
async def test_a_smaller_grant_applies_before_it_is_written():
    fleet = Fleet(6, ["d-1", "d-2"])
    first, second = fleet.members
    first.set_waiting(ORGANISATION, 9)
    await first.rebalance([ORGANISATION])
    second.set_waiting(ORGANISATION, 9)
    await second.rebalance([ORGANISATION])
    stepped = SteppedTables(fleet.tables.tables)
    first._tables = stepped
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.rebalance, [ORGANISATION])
        await anyio.wait_all_tasks_blocked()
        stepped.deliver(0, "none")
        await anyio.wait_all_tasks_blocked()
        assert first.state()[ORGANISATION]["usable"] == 3
        assert row_of(fleet.tables.tables).grants["d-1"] == 6
        stepped.deliver(0, "none")


@pytest.mark.anyio
async def test_no_task_starts_while_grants_exceed_a_lowered_limit():
    fleet = Fleet(6, ["d-1", "d-2"])
    first, second = fleet.members
    for allotments in fleet.members:
        allotments.set_waiting(ORGANISATION, 9)
    await fleet.cycle(2)
    while second.try_start(ORGANISATION):
        pass
    assert second.state()[ORGANISATION]["running"] == 3
    row = row_of(fleet.tables.tables)
    lowered = AllotmentRow(limit=3, grants=row.grants, wanted=row.wanted)
    fleet.tables.tables.commit(
        Transaction(puts=(Put("allotments", ORGANISATION, lowered.to_plain()),))
    )
    fleet.view.put(Organisation(name=ORGANISATION, limit=3))
    await fleet.cycle(2)
    assert not first.can_start(ORGANISATION)
    for _ in range(3):
        second.finish(ORGANISATION)
    second.set_waiting(ORGANISATION, 0)
    await fleet.cycle(8)
    assert first.can_start(ORGANISATION)
