"""No task starts in a data centre later than 5 s after it was taken out of service."""

import anyio
import pytest

from fireflydeck.testing.processes import wait_until
from fireflydeck.testing.sheets import build_sheet
from tests.checks import assert_not_run_means_not_started, owner_of, start_since, starts_of
from tests.load import now_ms, steady_load

pytestmark = pytest.mark.processes

EFFECT_LIMIT_MS = 5_000
FROZEN_S = 6.5
WAIT_AFTER_RESUME_S = 2.5
RETURN_TIMEOUT_MS = 10_000


def test_no_start_after_data_centre_is_taken_out(run_with_fleet):
    """The dispatcher that owns the pool is frozen during the change, with requests in its queue."""

    async def scenario(fleet):
        queued = {"parallel": 16, "run_ms": 700}
        async with (
            steady_load(fleet, "/queues/public/quick", parallel=4) as quick,
            steady_load(fleet, "/queues/public/queued", **queued) as slow,
        ):
            frozen = await owner_of(fleet)
            await wait_until(start_since(fleet, now_ms(), data_centre="dc-1"), what="start in dc-1")
            frozen.pause()
            answered_ms = await change(fleet, "/data-centres/dc-1/out")
            await anyio.sleep(FROZEN_S)
            resumed_ms = now_ms()
            frozen.resume()
            await anyio.sleep(WAIT_AFTER_RESUME_S)
            log = await fleet.backend_log()
            returned_ms = await change(fleet, "/data-centres/dc-1/in")
            await wait_until(
                start_since(fleet, returned_ms, data_centre="dc-1"),
                timeout_ms=RETURN_TIMEOUT_MS,
                what="start in dc-1 after it was brought back",
            )
        late = starts_of(log, from_ms=answered_ms + EFFECT_LIMIT_MS, data_centre="dc-1")
        assert not late, (late[0], answered_ms, resumed_ms)
        assert starts_of(log, from_ms=answered_ms + EFFECT_LIMIT_MS, data_centre="dc-2")
        assert starts_of(log, from_ms=resumed_ms, data_centre="dc-2")
        assert_not_run_means_not_started(await fleet.backend_log(), quick.replies + slow.replies)

    run_with_fleet(scenario, sheet=build_sheet(slots=2))


async def change(fleet, path):
    answer = await fleet.operator("POST", path)
    assert answer.status_code == 200, answer.text
    return now_ms()
