"""Tests of reclaiming the grants of dispatchers that no longer run."""

from collections import Counter

import anyio
import pytest
from attrs import evolve
from expression import Error, Ok

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Failure, Member, MemberRole, Reason
from fireflydeck.kernel import EventLog, Registry
from fireflydeck.recovery import (
    AllotmentReaper,
    AllotmentReaperOptions,
    RunningTasks,
    TaskOwner,
)
from fireflydeck.tables import Put, Transaction
from fireflydeck.testing import FakeClock, FakeTableService, build_configuration

GRACE_MS = AllotmentReaperOptions().grace_ms
ACTIVE = Member(name="living", role=MemberRole.DISPATCHER, address="127.0.0.1:1")
FENCED = Member(name="gone", role=MemberRole.DISPATCHER, address="127.0.0.1:2", fenced=True)


class _View(ConfigurationView):
    def __init__(self, *members):
        self.configuration = build_configuration(*members)
        self.fresh = True
        self.listeners = []

    def change(self, *members):
        previous, self.configuration = self.configuration, build_configuration(*members)
        for listener in self.listeners:
            listener(previous, self.configuration)

    @property
    def current(self):
        return self.configuration

    def is_fresh(self):
        return self.fresh

    def on_change(self, listener):
        self.listeners.append(listener)


class _RunningTasks(RunningTasks):
    def __init__(self, running):
        self.running = running

    async def count(self, vm):
        if self.running is None:
            return Error(Failure(Reason.BACKEND_UNREACHABLE, step="status"))
        return Ok(Counter({TaskOwner("gone", "museum"): self.running}))


def _grants_after(*, members=(ACTIVE,), running=2, fresh=True, waited_ms=GRACE_MS):
    """Return the grants after two scans at an interval of `waited_ms`."""

    async def scenario():
        tables, clock = FakeTableService(), FakeClock()
        value = {"limit": 8, "grants": {"gone": 5, "living": 3}, "wanted": {"gone": 9}}
        tables.tables.commit(Transaction(puts=(Put("allotments", "museum", value),)))
        view = _View(*members)
        view.fresh = fresh
        reaper = AllotmentReaper(
            view=view,
            tables=tables,
            running_tasks=_RunningTasks(running),
            clock=clock,
            log=EventLog(),
        )
        await reaper.reap()
        await clock.advance_ms(waited_ms)
        await reaper.reap()
        return tables.tables.get("allotments", "museum").value["grants"]

    return anyio.run(scenario)


UNCHANGED = {"gone": 5, "living": 3}


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ({}, {"gone": 2, "living": 3}),
        ({"running": 0}, {"living": 3}),
        ({"running": 7}, UNCHANGED),
        ({"members": (ACTIVE, FENCED)}, {"gone": 2, "living": 3}),
        ({"waited_ms": GRACE_MS - 1}, UNCHANGED),
        ({"running": None}, UNCHANGED),
        ({"fresh": False}, UNCHANGED),
        ({"running": None, "waited_ms": AllotmentReaperOptions().task_lease_ms}, {"living": 3}),
    ],
)
def test_reap(case, expected):
    assert _grants_after(**case) == expected


@pytest.mark.parametrize("removed_at_ms", [10, 1000, 1990])
def test_grants_are_reclaimed_right_after_the_grace_time(removed_at_ms):
    """The reaper scans right after the grace time instead of at the next regular scan.

    Regular scans every 2 s delayed the reclaiming by up to 4 s after the grace time, more than the
    whole recovery may take.
    """

    async def scenario():
        tables, clock = FakeTableService(), FakeClock()
        value = {"limit": 8, "grants": {"gone": 5}, "wanted": {}}
        tables.tables.commit(Transaction(puts=(Put("allotments", "museum", value),)))
        view = _View(ACTIVE, evolve(FENCED, fenced=False))
        reaper = AllotmentReaper(
            view=view,
            tables=tables,
            running_tasks=_RunningTasks(0),
            clock=clock,
            log=EventLog(),
        )
        async with anyio.create_task_group() as tasks:
            await reaper.start(Registry(), tasks)
            await clock.advance_ms(removed_at_ms)
            view.change(ACTIVE)
            await clock.advance_ms(GRACE_MS - 100)
            before = tables.tables.get("allotments", "museum").value["grants"]
            for _ in range(10):
                await clock.advance_ms(20)
            after = tables.tables.get("allotments", "museum").value["grants"]
            tasks.cancel_scope.cancel()
        return before, after

    assert anyio.run(scenario) == ({"gone": 5}, {})
