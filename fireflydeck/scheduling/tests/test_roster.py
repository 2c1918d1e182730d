"""Roster of a large fleet: its size, and what is done if the store refuses a part of it."""

import pytest

from fireflydeck.core.placement import Resources
from fireflydeck.ownership.records import ROSTER_WORK_ROW
from fireflydeck.platform.standin.documents import put_configuration
from fireflydeck.scheduling.roster_rows import PossibleWork, decode_work, work_write
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec

pytestmark = pytest.mark.anyio

_MAX_ROW_BYTES = 65_536
_TERM = 7


def _work_of_many_queues():
    capacity = Resources(32_000, 65_536, 8)
    return {
        f"pool-{pool}": PossibleWork(
            frozenset(f"queue-{pool}-{number}" for number in range(2000)), capacity=capacity
        )
        for pool in range(5)
    }


def test_work_of_many_queues_fits_in_its_row():
    work = _work_of_many_queues()
    content = work_write(work, _TERM).value
    assert len(content) <= _MAX_ROW_BYTES
    assert decode_work(content, _TERM) == work
    assert decode_work(content, _TERM + 1) is None


async def test_tasks_start_although_the_store_refuses_the_row_of_the_work():
    """LOST: a configuration of many queues for hundreds of servers left the roster unstored.

    No task was ever started. Without the row the next holder expects any task on any server.
    """
    queues = tuple(f"queue-{number}" for number in range(400))

    def prepare(fleet):
        for member in fleet.members:
            member.store.max_value_bytes = 400

    async with running_fleet(prepare=prepare, servers=4, further_queues=queues) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(3000)
        assert fleet.outcome(JOB_ID) == "completed"
        assert fleet.rows.get(ROSTER_WORK_ROW) is None
        put_configuration(fleet.rows, version=4)
        await fleet.advance_ms(1000)
        assert fleet.rows.get(ROSTER_WORK_ROW) is not None
