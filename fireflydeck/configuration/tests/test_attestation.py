"""Freshness by attestation: a fresh member lacks no operator's change older than the bound."""

import anyio
import pytest
from expression import Error, Ok
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fireflydeck.configuration import ConfigurationFollower, ConfigurationStore, FollowerOptions
from fireflydeck.configuration.attestation import Attestation, Attestor, ControllerState
from fireflydeck.configuration.commit_gate import CommitGate
from fireflydeck.core import Failure, Member, MemberRole, Pool, Reason
from fireflydeck.kernel import EventLog
from fireflydeck.standins.memory_tables import MemoryTables
from fireflydeck.tables import Transaction
from fireflydeck.testing import FakeClock, FakeTableService, StoreFault

BOUND_MS = FollowerOptions().freshness_bound_ms
CONTROLLERS = ("c0", "c1", "c2")
JOINED = "joined"
"""Placeholder in the steps for the process that was added last."""


class _NoWaitClock(FakeClock):
    async def sleep_ms(self, duration_ms):
        self._now_ms += duration_ms


class _RecordingTables(MemoryTables):
    """Tables that record version and time of each committed operator's change."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.committed = []
        self.unsent = None

    def commit(self, transaction: Transaction):
        failed = super().commit(transaction)
        if not failed:
            for put in transaction.puts:
                if put.table == "configuration_log" and put.value["origin"] == "operator":
                    self.committed.append((put.value["version"], self.clock.now_ms()))
        return failed


class _Process(Attestor):
    """A member whose links to the store and to the other members fail independently of others."""

    def __init__(self, name, fleet, role=MemberRole.CONTROLLER):
        self.name = name
        self.fleet = fleet
        self.alive = True
        self.linked = True
        self.tables = FakeTableService(fleet.tables)
        self.store = ConfigurationStore(self.tables, fleet.clock)
        self.follower = ConfigurationFollower(self.store, fleet.clock, EventLog())
        self.gate = CommitGate(self.store, self.follower, self, fleet.clock, name)
        self.attestation = Attestation(self.follower, self, fleet.clock)
        self.member = Member(name=name, role=role, address="127.0.0.1:1", vm=name)

    async def register(self):
        await self.follower.poll()
        await self.store.commit(self.follower.current, puts=[self.member], origin="member")
        await self.follower.poll()

    async def state_of(self, member):
        other = self._find_reachable(member)
        if other is None:
            return Error(Failure(Reason.PEER_UNREACHABLE, step="ask"))
        return Ok(
            ControllerState(
                version=other.follower.current.version, commit_pending=other.gate.commit_pending
            )
        )

    async def changes_of(self, member, after_version):
        other = self._find_reachable(member)
        if other is None:
            return Error(Failure(Reason.PEER_UNREACHABLE, step="ask"))
        return Ok(other.follower.recent_changes(after_version))

    def _find_reachable(self, member):
        other = self.fleet.processes.get(member.name)
        reachable = (
            other is not None and other.alive and (other is self or (other.linked and self.linked))
        )
        return other if reachable else None


class _Fleet:
    def __init__(self):
        self.clock = _NoWaitClock()
        self.tables = _RecordingTables(self.clock)
        self.processes = {}
        self.pools = 0

    async def start(self):
        for name in CONTROLLERS:
            await self.add(name, MemberRole.CONTROLLER)
        await self.add("worker", MemberRole.GATEWAY)
        for process in self.processes.values():
            await process.follower.poll()
        for name in CONTROLLERS:
            await self.processes[name].gate.update_known_by()

    async def add(self, name, role):
        self.processes[name] = _Process(name, self, role)
        await self.processes[name].register()

    async def perform(self, operation, name):
        process = list(self.processes.values())[-1] if name == JOINED else self.processes[name]
        if operation == "advance":
            await self.clock.advance_ms(700)
        elif operation in ("store_down", "store_up"):
            process.tables.outage = operation == "store_down"
        elif operation in ("cut", "heal"):
            process.linked = operation == "heal"
        elif operation == "kill":
            process.alive = False
        elif operation == "join":
            await self.add(f"c{len(self.processes)}", MemberRole.CONTROLLER)
        elif process.alive:
            await self._perform_on_process(operation, process)

    async def _perform_on_process(self, operation, process):
        if operation == "poll":
            await process.follower.poll()
        elif operation == "attest":
            await process.attestation.confirm()
        elif operation == "update_known_by":
            await process.gate.update_known_by()
        elif operation == "resolve_unknown_outcome":
            await process.gate.resolve_unknown_outcome()
        elif operation in ("change", "change_lost") and process.name in self.controllers:
            if operation == "change_lost":
                faults = [StoreFault.ANSWER_LOST] + [StoreFault.OUTAGE] * 3
                process.tables.next_commits = faults
            self.pools += 1
            await process.gate.commit(
                process.follower.current, puts=[Pool(name=f"p{self.pools}")], origin="operator"
            )
            process.tables.next_commits = []

    @property
    def controllers(self):
        return [name for name in self.processes if name != "worker"]

    def missing_changes(self):
        """Return the versions of operators' changes older than the bound that the worker lacks.

        The result is empty while the worker is not fresh.
        """
        worker = self.processes["worker"]
        if not worker.follower.is_fresh():
            return []
        latest_ms = self.clock.now_ms() - BOUND_MS
        version = worker.follower.current.version
        return [v for v, at_ms in self.tables.committed if at_ms < latest_ms and v > version]


OPERATIONS = (
    "advance",
    "store_down",
    "store_up",
    "cut",
    "heal",
    "kill",
    "join",
    "poll",
    "attest",
    "update_known_by",
    "resolve_unknown_outcome",
    "change",
    "change_lost",
)
STEPS = st.lists(
    st.tuples(st.sampled_from(OPERATIONS), st.sampled_from((*CONTROLLERS, "worker", JOINED))),
    min_size=8,
    max_size=40,
)
ADVANCE_3500_MS = [("advance", "worker")] * 5
PENDING = [("store_down", "worker"), ("change_lost", "c0"), *ADVANCE_3500_MS, ("attest", "worker")]
NEWCOMER = [
    ("store_down", "worker"),
    ("join", "c0"),
    ("change", JOINED),
    *ADVANCE_3500_MS,
    ("attest", "worker"),
]


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
@example(PENDING)
@example(NEWCOMER)
def test_confirm_never_hides_a_committed_change(steps):
    async def scenario():
        fleet = _Fleet()
        await fleet.start()
        for operation, name in steps:
            await fleet.perform(operation, name)
            assert fleet.missing_changes() == []

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("steps", "fresh"),
    [
        ([], True),
        ([("change", "c1")], False),
        ([("kill", "c2")], False),
        ([("cut", "c0")], False),
        ([("cut", "worker")], False),
    ],
)
def test_confirm_in_a_store_outage(steps, fresh):
    """The configuration stays fresh without the store if all controllers attest its version.

    If a controller has a newer version, the first attestation fetches its changes and fails, and
    the next one succeeds.
    """

    async def scenario():
        fleet = _Fleet()
        await fleet.start()
        for operation, name in steps:
            await fleet.perform(operation, name)
        for process in fleet.processes.values():
            process.tables.outage = True
        await fleet.clock.advance_ms(BOUND_MS + 1)
        worker = fleet.processes["worker"]
        await worker.attestation.confirm()
        assert worker.follower.is_fresh() is fresh
        if steps and steps[0][0] == "change":
            await worker.attestation.confirm()
            assert worker.follower.is_fresh()

    anyio.run(scenario)


def test_commit_waits_until_all_controllers_know_the_new_one():
    async def scenario():
        fleet = _Fleet()
        await fleet.start()
        await fleet.add("c3", MemberRole.CONTROLLER)
        gate, follower = fleet.processes["c3"].gate, fleet.processes["c3"].follower
        refused = await gate.commit(follower.current, puts=[Pool(name="a")])
        assert refused.error.reason is Reason.NOT_READY
        for name in CONTROLLERS:
            await fleet.processes[name].follower.poll()
        await gate.update_known_by()
        assert (await gate.commit(follower.current, puts=[Pool(name="a")])).is_ok()

    anyio.run(scenario)


def test_resolve_unknown_outcome_after_a_lost_answer():
    async def scenario():
        fleet = _Fleet()
        await fleet.start()
        await fleet.perform("change_lost", "c0")
        process = fleet.processes["c0"]
        assert process.gate.commit_pending
        await process.gate.resolve_unknown_outcome()
        assert not process.gate.commit_pending
        assert process.follower.current.get(Pool, "p1") is not None

    anyio.run(scenario)


def test_load_of_the_gate_reads_no_entity_rows(monkeypatch):
    async def body():
        fleet = _Fleet()
        await fleet.start()
        process = fleet.processes["c1"]
        await process.follower.poll()

        async def fail_load():
            raise AssertionError("the gate read the entity rows of the configuration")

        monkeypatch.setattr(process.store, "load", fail_load)
        loaded = await process.gate.load()
        assert loaded.ok.version == (await process.store.head_version()).ok > 0

    anyio.run(body)


def test_commit_on_a_base_newer_than_the_applied_version_stays_pending():
    """A controller that committed on a base that it has not applied must not attest its version.

    This happens if the push of an earlier change to this controller was lost.
    """

    async def scenario():
        fleet = _Fleet()
        await fleet.start()
        await fleet.add("other-worker", MemberRole.GATEWAY)
        controller = fleet.processes["c0"]
        base = (await controller.store.load()).ok
        assert base.version > controller.follower.current.version
        committed = await controller.gate.commit(base, puts=[Pool(name="a")], origin="operator")
        assert committed.is_ok()
        for process in fleet.processes.values():
            process.tables.outage = True
        confirmed = await fleet.processes["worker"].attestation.confirm()
        assert confirmed.is_error()
        controller.tables.outage = False
        await controller.follower.poll()
        assert not controller.gate.commit_pending

    anyio.run(scenario)
