"""Random walks of one caller over several processes, with faults of the store at each write.

Guards against an order of requests, late writes, removals and lost processes that no test of a
single race has: a job that runs after its 429, or that is lost after its 200.
"""

from random import Random

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.entry.submission_outcome import SubmissionOutcome
from fireflydeck.entry.tests.processes import IntakeProcess
from fireflydeck.scheduling.refusal_retention import RefusalRetention
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.job_builders import build_spec
from fireflydeck.testing.rows import FakeRowStore, RowStoreFault

pytestmark = pytest.mark.anyio

_STEPS = 30
_LATE_MS = 12_000
_FAULTS = [None, None, None, *RowStoreFault]
_UNANSWERED = [RowStoreFault.NO_EFFECT] * 30


class _Walk:
    """A caller that submits one job again and again, and what it was told last."""

    def __init__(self, seed):
        self._random = Random(seed)
        self._clock = FakeClock()
        first = IntakeProcess(self._clock)
        self._rows = first.store.rows
        self._processes = [first, *[self._new_process(number) for number in (2, 3)]]
        self._lost_stores = []
        self._retention = RefusalRetention(FakeRowStore(self._clock, self._rows), self._clock)
        self._oldest_late_ms = self._clock.now_ms()
        self._is_accepted = False
        self._is_refused = False
        self.refusals = 0
        self.acceptances = 0

    def _new_process(self, number):
        return IntakeProcess(self._clock, self._rows, f"m{number}")

    async def run(self):
        """Take all steps, and check after each what the caller was told."""
        steps = [self._request, self._request, self._wait, self._deliver, self._lose_process]
        for _ in range(_STEPS):
            await self._random.choice(steps)()
            self._check()
        await self._deliver()
        self._check()

    def _check(self):
        is_stored = "job" in self._processes[0].stored()
        assert is_stored or not self._is_accepted
        assert not (is_stored and self._is_refused)

    async def _request(self):
        process = self._random.choice(self._processes)
        if self._random.random() < 0.7:
            await process.observe()
        process.store.next_commits = self._plan_faults()
        self._is_refused = False
        result = await process.submit(
            is_refused=self._random.random() < 0.7, may_replace=self._random.random() < 0.8
        )
        process.store.next_commits = []
        process.silence.record_answer()
        if result.is_ok():
            self._is_refused = result.ok == SubmissionOutcome.REFUSED
            self._is_accepted = self._is_accepted or not self._is_refused
            self.refusals += self._is_refused
            self.acceptances += not self._is_refused
        else:
            assert result.error.ran in Ran

    def _plan_faults(self):
        """Return the faults of the next commits: some at random, or all after a few unanswered."""
        if self._random.random() < 0.5:
            return self._random.choices(_FAULTS, k=20)
        answered = [None] * self._random.randrange(2)
        return [*answered, RowStoreFault.LATE, *_UNANSWERED]

    async def _wait(self):
        """Let time pass; late writes take effect within their bound."""
        duration_ms = self._random.choice([300, 5000, 20_000, 61_000])
        if self._clock.now_ms() + duration_ms - self._oldest_late_ms > _LATE_MS:
            await self._deliver()
        await self._clock.advance_ms(duration_ms)
        for process in self._processes:
            process.store.next_commits = self._random.choices(_FAULTS, k=2)
            await process.refusals.remove_old()
            process.store.next_commits = []
            process.silence.record_answer()
        await self._retention.remove_if_due()

    async def _deliver(self):
        stores = [process.store for process in self._processes] + self._lost_stores
        self._random.shuffle(stores)
        for store in stores:
            store.deliver_late()
        self._oldest_late_ms = self._clock.now_ms()

    async def _lose_process(self):
        """Replace a process by one that knows nothing; its late writes are still on their way."""
        number = self._random.randrange(len(self._processes))
        self._lost_stores.append(self._processes[number].store)
        self._processes[number] = self._new_process(10 + number)


@pytest.mark.parametrize("first_seed", range(0, 120, 30))
async def test_what_the_caller_was_told_stays_true(first_seed):
    refusals = acceptances = 0
    for seed in range(first_seed, first_seed + 30):
        walk = _Walk(seed)
        await walk.run()
        refusals += walk.refusals
        acceptances += walk.acceptances
    assert refusals > 30
    assert acceptances > 30


def _delay_commits(process, random, clock):
    """Let each commit take effect and be answered after random times."""
    commit = process.store.commit

    async def delayed_commit(transaction, *, timeout_ms):
        await clock.sleep_ms(random.randrange(20))
        result = await commit(transaction, timeout_ms=timeout_ms)
        await clock.sleep_ms(random.randrange(250))
        return result

    process.store.commit = delayed_commit


@pytest.mark.parametrize("seed", range(40))
async def test_no_request_in_progress_stores_a_job_after_its_refusal(seed):
    """Guard against a caller with two requests for one job at two processes at a time.

    A job may only be stored after a refusal by a request that began after it.
    """
    random, clock = Random(seed), FakeClock()
    first = IntakeProcess(clock)
    processes = [first, IntakeProcess(clock, first.store.rows, "m2")]
    for process in processes:
        _delay_commits(process, random, clock)
    told = []

    async def request(process, start_ms, is_refused):
        await clock.sleep_ms(start_ms)
        began_ms = clock.now_ms()
        spec = build_spec()
        result = await process.intake.submit(spec, deadline_ms=9000, is_refused=is_refused)
        told.append((result.ok, began_ms, clock.now_ms()))

    async def follow(process):
        for _ in range(30):
            await process.monitored.read_changes("lease", after=0, wait_ms=0)
            await clock.sleep_ms(50)

    async with anyio.create_task_group() as tasks:
        for process in processes:
            tasks.start_soon(follow, process)
        for _ in range(12):
            is_refused = random.random() < 0.7
            start_ms = random.randrange(1500)
            tasks.start_soon(request, random.choice(processes), start_ms, is_refused)
        await clock.advance_ms(3000)
    refused_ms = [end_ms for outcome, _, end_ms in told if outcome == SubmissionOutcome.REFUSED]
    for outcome, began_ms, end_ms in told:
        if outcome == SubmissionOutcome.ACCEPTED:
            assert all(told_ms <= began_ms for told_ms in refused_ms if told_ms <= end_ms)
            assert first.stored() == "job"
    assert len([outcome for outcome, _, _ in told if outcome == SubmissionOutcome.ACCEPTED]) <= 1
