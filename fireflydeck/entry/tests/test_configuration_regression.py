"""No entry process answers by an older configuration than one that its answers have shown."""

import random

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.entry.tests.interface_client import running_interface
from fireflydeck.entry.tests.interface_fleet import InterfaceFleet
from fireflydeck.testing.job_builders import JOB_ID

pytestmark = pytest.mark.anyio

_SEEDS = range(40)
_STEPS = 150
_QUEUES = [f"q{number}" for number in range(6)]
_KEYS = [f"key-{number}" for number in range(3)]


def _pick(rng, choices):
    """Return a random selection of about half of the choices, at least one."""
    return rng.sample(choices, rng.randint(1, len(choices) - 1))


class _Walk:
    """Random walk of a fleet, with the least version that each process has shown."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = InterfaceFleet(4)
        self.shown = dict.fromkeys(self.fleet.processes, 1)
        self.answered = 0

    async def run(self):
        self.configure()
        for process in self.fleet.processes.values():
            await process.operators.read_all()
        for _ in range(_STEPS):
            step = self.rng.choices(
                [self.configure, self.poll, self.toggle_store, self.toggle_peers, self.ask],
                weights=[3, 4, 2, 2, 8],
            )[0]
            await step() if step in (self.poll, self.ask) else step()

    def configure(self):
        self.fleet.configure(_pick(self.rng, _QUEUES), _pick(self.rng, _KEYS))

    def process(self):
        return self.fleet.processes[self.rng.choice(list(self.fleet.processes))]

    async def poll(self):
        await self.process().operators.read_all()

    def toggle_store(self):
        store = self.process().store
        store.outage = Ran.NO if store.outage is None else None

    def toggle_peers(self):
        self.rng.shuffle(self.fleet.peer_order)
        self.fleet.cut ^= {frozenset(self.fleet.peer_order[:2])}

    async def ask(self):
        name = self.rng.choice(list(self.fleet.processes))
        queue, key = self.rng.choice(_QUEUES), self.rng.choice(_KEYS)
        answer = await self.fleet.processes[name].count_pending(queue, key)
        if answer.status == 503:
            assert answer.retry_after_s is not None
            return
        self.answered += 1
        allowing = [
            version
            for version, sample in self.fleet.versions.items()
            if version >= self.shown[name] and sample.status(queue, key) == answer.status
        ]
        assert allowing, f"{name}: {answer.status} after version {self.shown[name]} was shown"
        self.shown[name] = allowing[0]


# Guards against answers that go back to an older configuration than relayed ones have shown.
@pytest.mark.parametrize("seed", _SEEDS)
async def test_no_process_answers_by_an_older_configuration_than_it_has_shown(seed):
    walk = _Walk(seed)
    await walk.run()
    assert walk.answered > _STEPS // 10


async def _process_that_relayed(*, relayed_queue):
    """Return a fleet and its first process, whose copy lacks version 2, after it relayed a count.

    The second process answered it. The third, whose copy lacks version 2 as well, is reached by the
    store but not yet by the first process. In the end the first process reaches nobody.
    """
    fleet = InterfaceFleet(3)
    fleet.configure(["q0", "q1"], ["key-0"])
    first, second, third = fleet.processes.values()
    await first.operators.read_all()
    await third.operators.read_all()
    fleet.configure(["q1", "q2"], ["key-0"])
    await second.operators.read_all()
    first.store.outage = Ran.NO
    await first.operators.read_all()
    fleet.cut = {frozenset(("m0", "m2"))}
    if relayed_queue is not None:
        assert (await first.count_pending(relayed_queue, "key-0")).status == 200
    fleet.cut |= {frozenset(("m0", "m1"))}
    return fleet, first


# Guards against a count of a removed queue, answered after a relayed answer of a newer version.
@pytest.mark.parametrize("queue", ["q0", "q1", "q2"])
async def test_relayed_newer_configuration_bars_answers_by_the_older_copy(queue):
    _, first = await _process_that_relayed(relayed_queue="q2")
    answer = await first.count_pending(queue, "key-0")
    assert (answer.status, answer.retry_after_s) == (503, 1)


# Guards against refusals by a process that has shown nothing newer than its own copy.
async def test_process_that_has_shown_nothing_newer_still_answers_by_its_copy():
    _, first = await _process_that_relayed(relayed_queue=None)
    assert (await first.count_pending("q0", "key-0")).status == 200


# Guards against refusals after a relayed answer of the version that the process has itself.
async def test_relayed_answer_of_the_same_version_bars_nothing():
    fleet = InterfaceFleet(2)
    fleet.configure(["q0"], ["key-0"])
    first, second = fleet.processes.values()
    await first.operators.read_all()
    await second.operators.read_all()
    first.store.outage = Ran.NO
    await first.operators.read_all()
    assert (await first.count_pending("q0", "key-0")).status == 200
    fleet.cut = {frozenset(fleet.processes)}
    assert (await first.count_pending("q0", "key-0")).status == 200


# Guards against a relayed answer of a peer whose copy is older than one shown before.
async def test_peer_with_an_older_copy_is_passed_over():
    fleet, first = await _process_that_relayed(relayed_queue="q2")
    fleet.cut = {frozenset(("m0", "m1"))}
    answer = await first.count_pending("q0", "key-0")
    assert (answer.status, answer.retry_after_s) == (503, 1)


# Guards against the older copy's answers after a relayed answer that does not tell its version.
async def test_relayed_answer_of_an_unknown_version_counts_as_newer():
    async with running_interface() as client:
        client.store.outage = Ran.NO
        await client.wait_for_outage()
        client.forwarder.answer = CallerAnswer(200, b"{}")
        assert (await client.call("GET", "/swatch/"))[0] == 200
        client.forwarder.answer = None
        assert (await client.call("GET", "/swatch/"))[0] == 503
        client.store.outage = None
        with anyio.fail_after(5):
            while (await client.call("GET", "/swatch/"))[0] != 200:
                await anyio.sleep(0.02)


# Guards against a refusal by the older copy's limits after a relayed answer of a newer version.
async def test_relayed_newer_configuration_bars_refusals_by_older_limits():
    async with running_interface() as client:
        path, body = f"/swatch/{JOB_ID}", b"x" * 2001
        assert (await client.call("POST", path, body))[0] == 413
        client.store.outage = Ran.NO
        await client.wait_for_outage()
        client.forwarder.answer = CallerAnswer(200, b"{}", configuration_version=4)
        assert (await client.call("GET", "/swatch/"))[0] == 200
        status, _, headers = await client.call("POST", path, body)
        assert (status, headers["Retry-After"]) == (503, "1")


# Guards against refusals that last longer than the copy is outdated.
async def test_copy_that_caught_up_answers_again():
    _, first = await _process_that_relayed(relayed_queue="q2")
    first.store.outage = None
    await first.operators.read_all()
    assert (await first.count_pending("q0", "key-0")).status == 404
    assert (await first.count_pending("q1", "key-0")).status == 200
