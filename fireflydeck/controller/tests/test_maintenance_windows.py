import anyio
import pytest

from fireflydeck.controller.edits import set_data_centre
from fireflydeck.controller.maintenance_windows import WindowService
from fireflydeck.controller.tests.operator import OperatorSite
from fireflydeck.controller.tests.test_drains import FakeView
from fireflydeck.core import DataCentre, EntityKey, MaintenanceWindow
from fireflydeck.testing import FakeClock, StoreFault

LEAD_MS = 600
START_MS, END_MS = 10_000, 20_000


class WindowSite(OperatorSite):
    """A site with maintenance windows and a window service that a test can replace."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.origin_ms = self.clock.wall_ms()
        self.view = FakeView()
        self.windows = self.make_service()

    def make_service(self):
        return WindowService(
            view=self.view, changes=self.service, clock=self.clock, lead_ms=LEAD_MS
        )

    async def add_window(self, name="night", start_ms=START_MS, end_ms=END_MS):
        window = MaintenanceWindow(
            name=name,
            data_centre="dc-1",
            start_ms=self.origin_ms + start_ms,
            end_ms=self.origin_ms + end_ms,
        )
        assert (await self.store.commit(await self.load(), puts=[window])).is_ok()

    async def is_in_service_at(self, at_ms):
        await self.clock.advance_ms(at_ms - self.clock.now_ms())
        for _ in range(3):
            self.view.configuration = await self.load()
            await self.windows.run_once()
        return (await self.load()).get(DataCentre, "dc-1").in_service

    async def set_by_operator(self, in_service):
        result = await self.service.apply(lambda base: set_data_centre(base, "dc-1", in_service))
        assert result.is_ok()

    def rows(self):
        return self.tables.tables.scan("maintenance", prefix="window/", after="", limit=9)


def on_site(case):
    async def run():
        site = WindowSite()
        await site.fill()
        await site.add_window()
        await case(site)

    anyio.run(run)


def test_window_takes_the_data_centre_out_before_its_start_and_brings_it_back():
    async def case(site):
        assert await site.is_in_service_at(START_MS - LEAD_MS - 1)
        assert not await site.is_in_service_at(START_MS - LEAD_MS)
        assert not await site.is_in_service_at(END_MS - 1)
        assert await site.is_in_service_at(END_MS)
        assert site.rows() == ()
        rules = [change.rule for change in (await site.store.changes_since(0)).ok]
        assert [rule for rule in rules if rule.startswith("window")] == [
            "window-begins",
            "window-ends",
        ]

    on_site(case)


def test_window_ignores_a_data_centre_that_an_operator_brought_back():
    async def case(site):
        assert not await site.is_in_service_at(START_MS)
        await site.set_by_operator(True)
        assert await site.is_in_service_at(START_MS + 1)
        await site.set_by_operator(False)
        assert not await site.is_in_service_at(END_MS + 1)
        assert site.rows() == ()

    on_site(case)


def test_window_ignores_a_data_centre_that_an_operator_had_taken_out():
    async def case(site):
        await site.set_by_operator(False)
        assert not await site.is_in_service_at(START_MS)
        assert not await site.is_in_service_at(END_MS)
        await site.set_by_operator(True)
        assert await site.is_in_service_at(END_MS + 1)

    on_site(case)


def test_overlapping_windows_are_one_time_out_of_service():
    async def case(site):
        await site.add_window("second", END_MS - 1_000, END_MS + 5_000)
        assert not await site.is_in_service_at(START_MS)
        assert not await site.is_in_service_at(END_MS - 500)
        assert not await site.is_in_service_at(END_MS + 1)
        assert await site.is_in_service_at(END_MS + 5_000)

    on_site(case)


def test_removed_window_ends():
    async def case(site):
        assert not await site.is_in_service_at(START_MS)
        key = EntityKey(MaintenanceWindow.kind, "night")
        assert (await site.store.commit(await site.load(), removes=[key])).is_ok()
        assert await site.is_in_service_at(START_MS + 1)

    on_site(case)


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("at_ms", [START_MS, END_MS])
def test_window_survives_a_fault_and_another_controller(fault, at_ms):
    async def case(site):
        await site.is_in_service_at(at_ms - LEAD_MS - 1)
        site.tables.next_commits = [fault]
        site.windows = site.make_service()
        assert await site.is_in_service_at(at_ms) == (at_ms == END_MS)
        assert await site.is_in_service_at(END_MS + 1)
        assert site.rows() == ()

    on_site(case)
