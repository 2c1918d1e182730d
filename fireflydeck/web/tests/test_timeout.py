import anyio
import pytest

from fireflydeck.core import SystemClock
from fireflydeck.testing import FakeClock
from fireflydeck.web.timeout import run_within_ms


async def value():
    await anyio.sleep(0)
    return 5


async def fail():
    raise LookupError


@pytest.mark.parametrize("clock", [SystemClock(), FakeClock()])
def test_run_within_ms_returns_the_value(clock):
    assert anyio.run(run_within_ms, clock, 1_000, value) == 5


@pytest.mark.parametrize("clock", [SystemClock(), FakeClock()])
def test_run_within_ms_raises_the_error_of_the_call(clock):
    with pytest.raises(LookupError):
        anyio.run(run_within_ms, clock, 1_000, fail)


def test_run_within_ms_times_out_on_the_system_clock():
    with pytest.raises(TimeoutError):
        anyio.run(run_within_ms, SystemClock(), 10, anyio.sleep_forever)


def test_run_within_ms_times_out_on_a_fake_clock():
    async def main():
        clock = FakeClock()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clock.advance_ms, 1_000)
            await run_within_ms(clock, 1_000, anyio.sleep_forever)

    with pytest.raises(ExceptionGroup) as raised:
        anyio.run(main)
    assert raised.group_contains(TimeoutError)
