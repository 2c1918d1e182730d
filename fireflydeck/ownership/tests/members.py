"""Candidates for the lease that share one store in memory."""

from contextlib import asynccontextmanager

import anyio

from fireflydeck.kernel import Registry
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore
from fireflydeck.testing.successors import FakeSuccessors

SMALL_VM_DELAY_MS = 500


class Member:
    """One process that may hold the lease; `successors` gives access to the others."""

    def __init__(self, name, clock, rows, members, delay_ms=0):
        self.store = FakeRowStore(clock, rows)
        self.log = RecordingLog()
        self.lease = LeaseKeeper(
            self.store,
            clock,
            self.log,
            name=name,
            address=f"{name}:1",
            candidate_delay_ms=delay_ms,
        )
        self.successors = FakeSuccessors(
            lambda: [member.lease for member in members if member is not self]
        )


@asynccontextmanager
async def running_members(clock, *names, small=(), hand_over=False):
    """Run members until the block ends; those in `small` are on small VMs.

    With `hand_over`, a holder can hand the lease over to the other members.
    """
    rows, members = MemoryRows(), []
    for name in names:
        delay_ms = SMALL_VM_DELAY_MS if name in small else 0
        members.append(Member(name, clock, rows, members, delay_ms))
    async with anyio.create_task_group() as tasks:
        for member in members:
            if hand_over:
                member.lease.set_successors(member.successors)
            await member.lease.start(Registry(), tasks)
        yield members
        tasks.cancel_scope.cancel()


def holders(members):
    """Return the members that hold the lease."""
    return [member for member in members if member.lease.is_valid()]
