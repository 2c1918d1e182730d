"""Tests of starts that need a ticket of the placement advisor."""

import pytest

from fireflydeck.core.fleet_configuration import AdvisorTimes
from fireflydeck.scheduling.tests.fleet import running_fleet
from fireflydeck.testing.job_builders import (
    JOB_ID,
    accept_job,
    build_spec,
    build_step,
)

pytestmark = pytest.mark.anyio

_ADVISOR = AdvisorTimes(decision_ms=50, per_server_ms=5, validity_ms=3000)


def _set_up_advisor(*good, **options):
    def prepare(fleet):
        fleet.advisor.allowed = set(good)
        for name, value in options.items():
            setattr(fleet.advisor, name, value)

    return prepare


async def test_tasks_start_only_on_servers_with_a_ticket():
    async with running_fleet(prepare=_set_up_advisor("s2"), servers=3, advisor=_ADVISOR) as fleet:
        accept_job(fleet.rows, build_spec(build_step(count=4)))
        await fleet.advance_ms(1500)
        assert len(fleet.servers["s2"].starts) == 4
        assert len(fleet.starts()) == 4
        assert [step for step, _ in fleet.advisor.calls] == [f"{JOB_ID}.0.0"]


async def test_failed_call_to_the_advisor_is_repeated():
    prepare = _set_up_advisor("s1", failures=2)
    async with running_fleet(prepare=prepare, servers=1, advisor=_ADVISOR) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(2000)
        assert len(fleet.advisor.calls) == 3
        assert len(fleet.starts()) == 1


async def test_expired_ticket_is_renewed_for_allowed_servers_only():
    prepare = _set_up_advisor("s1", validity_ms=800)
    async with running_fleet(prepare=prepare, servers=2, advisor=_ADVISOR) as fleet:
        fleet.servers["s1"].duration_ms = 1500
        accept_job(fleet.rows, build_spec(build_step(count=32)))
        await fleet.advance_ms(4000)
        assert len(fleet.starts()) == 32
        assert fleet.advisor.calls[0][1] == ("s1", "s2")
        assert {servers for _, servers in fleet.advisor.calls[1:]} == {("s1",)}


async def test_no_start_without_an_allowed_server():
    async with running_fleet(prepare=_set_up_advisor(), servers=2, advisor=_ADVISOR) as fleet:
        accept_job(fleet.rows, build_spec())
        await fleet.advance_ms(3000)
        assert fleet.starts() == []
        assert len(fleet.advisor.calls) == 1
