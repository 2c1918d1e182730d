"""Rows that another writer or another version left: the holder goes on with all other rows."""

import msgpack
import pytest

from fireflydeck.core.backend_orders import StartOrder, StartOutcome
from fireflydeck.core.rows import RowKey, RowTransaction, RowWrite
from fireflydeck.kernel import Event
from fireflydeck.ownership.records import ROSTER_ROW
from fireflydeck.platform.documents import REGISTRATION_TABLE
from fireflydeck.platform.standin.documents import registration_document
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import (
    JOB_ID,
    accept_job,
    build_spec,
    build_step,
)
from fireflydeck.workload.records import job_key, outcome_key, progress_key
from fireflydeck.workload.specification import encode_job_spec

pytestmark = pytest.mark.anyio

_OTHER_JOB = "00000000000000b2"
_DEEP = b"[" * 1000 + b"]" * 1000
_ODD_REGISTRATIONS = {
    "nested": registration_document().replace(b'"paint"', _DEEP),
    "number": registration_document().replace(b"32000", b"1e306"),
    "port": registration_document(address="127.0.0.1:99999"),
    "host": registration_document(address="a" * 300 + ":80"),
    "bytes": b"\xff\xfe",
}


def _put(fleet, key, content):
    fleet.rows.commit(RowTransaction(writes=(RowWrite(key, content),)))


def _assert_no_service_failed(fleet):
    assert Event.SERVICE_FAILED not in fleet.log.emitted()
    assert Event.ROW_NOT_APPLIED not in fleet.log.emitted()


@pytest.mark.parametrize("content", _ODD_REGISTRATIONS.values(), ids=_ODD_REGISTRATIONS.keys())
async def test_odd_registration_among_others(content):
    """The servers on both sides of the odd entry are used, before and after it was written."""
    odd_key = RowKey(REGISTRATION_TABLE, "", "s1-odd")
    async with running_fleet(
        servers=2, prepare=lambda fleet: _put(fleet, odd_key, content)
    ) as fleet:
        _put(fleet, odd_key, content)
        fleet.add_server("s3")
        accept_job(fleet.rows, build_spec(build_step(count=12, max_per_server=4)))
        await fleet.advance_ms(1500)
        assert all(len(server.starts) == 4 for server in fleet.servers.values())
        _assert_no_service_failed(fleet)
        assert Event.REGISTRATION_UNREADABLE in fleet.log.emitted()


async def test_odd_rows_of_jobs():
    spec = msgpack.unpackb(encode_job_spec(build_spec()))
    step = spec["steps"][0]
    rows = [
        {**spec, "steps": [{**step, "count": "2"}]},
        {**spec, "steps": [{**step, "count": -1}]},
        {**spec, "steps": [{**step, "depends_on": [3]}]},
        {**spec, "steps": [{**step, "demand": {"cpu": None}}]},
        {**spec, "steps": [{**step, "unknown": 1}]},
        {**spec, "steps": 5},
        {**spec, "queue": 5},
        {**spec, "job_id": "another"},
        [[[]]],
        7,
    ]
    async with running_fleet() as fleet:
        for number, row in enumerate(rows):
            _put(fleet, job_key(f"{number:016x}"), msgpack.packb(row))
        _put(fleet, job_key("f" * 16), b"\x91" * 5000)
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(2000)
        assert fleet.outcome(JOB_ID) == "completed"
        assert fleet.starts() == [(f"{JOB_ID}.0.0.0", 1)]
        unreadable = [event for event, _ in fleet.log.events if event == Event.DOCUMENT_UNREADABLE]
        assert len(unreadable) == len(rows) + 1
        _assert_no_service_failed(fleet)


@pytest.mark.parametrize("content", [b"\xc1", msgpack.packb(3), msgpack.packb([["x"], 4])])
@pytest.mark.parametrize("make_key", [progress_key, outcome_key])
async def test_job_with_unreadable_progress_is_not_started(make_key, content):
    """Tasks of the job may be done; other jobs are served."""

    def prepare(fleet):
        accept_job(fleet.rows, build_spec())
        accept_job(fleet.rows, build_spec(job_id=_OTHER_JOB))
        _put(fleet, make_key(JOB_ID), content)

    async with running_fleet(prepare=prepare) as fleet:
        await fleet.advance_ms(2000)
        assert fleet.starts() == [(f"{_OTHER_JOB}.0.0.0", 1)]
        _assert_no_service_failed(fleet)


async def test_progress_of_unknown_tasks_is_ignored():
    def prepare(fleet):
        accept_job(fleet.rows, build_spec(build_step(count=2)))
        done = [".0.0.0", ".0.7.0", "..", ".99999999999.0.0", "x"]
        _put(fleet, progress_key(JOB_ID), msgpack.packb([done, {".0.0.9": [1]}]))

    async with running_fleet(prepare=prepare) as fleet:
        await fleet.advance_ms(2000)
        assert [task for task, _ in fleet.starts()] == [f"{JOB_ID}.0.0.1"]
        _assert_no_service_failed(fleet)


@pytest.mark.parametrize("content", [b"\xc1", msgpack.packb(3), msgpack.packb([[1, 2, 3], "x"])])
async def test_unreadable_roster(content):
    def prepare(fleet):
        _put(fleet, ROSTER_ROW, content)
        accept_job(fleet.rows, build_spec())

    async with running_fleet(prepare=prepare) as fleet:
        await fleet.advance_ms(2000)
        assert fleet.outcome(JOB_ID) == "completed"
        _assert_no_service_failed(fleet)


async def test_end_of_an_occurrence_that_is_not_due_by_the_own_clock():
    """A holder whose wall clock was ahead started it; its end must be stored, or it runs again."""
    task = f"{JOB_ID}.0.0.0"

    def prepare(fleet):
        due_ms = fleet.clock.wall_ms() + 5000
        accept_job(fleet.rows, build_spec(occurrences=1, first_due_ms=due_ms, interval_ms=1000))
        server = fleet.servers["s1"]
        server.duration_ms = 100
        order = StartOrder(
            task=task,
            run=1,
            payload="text",
            lease_until_ms=server.clock_ms() + 3000,
            fencing_token=0,
        )
        assert server.start(order) == StartOutcome.ACCEPTED

    async with running_fleet(servers=1, prepare=prepare) as fleet:
        await fleet.advance_ms(8000)
        assert fleet.starts() == [(task, 1)]
        assert fleet.outcome(JOB_ID) == "completed"
