"""Copies of the operators' documents while the store has faults."""

from contextlib import asynccontextmanager

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.kernel import Event, Registry
from fireflydeck.observation import OperatorDocuments
from fireflydeck.platform.documents import CONFIGURATION_KEY, OPERATOR_TABLE, WAVE_PREFIX
from fireflydeck.platform.standin.documents import (
    put_configuration,
    put_evacuation,
    put_operator_document,
    put_wave,
    remove_configuration,
    remove_evacuation,
    remove_wave,
)
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore

pytestmark = pytest.mark.anyio

_APPLIED_WITHIN_MS = 2000


class _Followed:
    def __init__(self):
        self.clock = FakeClock()
        self.store = FakeRowStore(self.clock)
        self.rows = self.store.rows
        self.log = RecordingLog()
        self.documents = OperatorDocuments(self.store, self.clock, self.log)

    async def advance(self):
        """Advance the clock by the time within which a change is applied."""
        for _ in range(_APPLIED_WITHIN_MS // 20):
            await self.clock.advance_ms(20)

    @property
    def version(self):
        return self.documents.configuration.version


@asynccontextmanager
async def _followed():
    followed = _Followed()
    put_configuration(followed.rows, version=3)
    async with anyio.create_task_group() as tasks:
        await followed.documents.start(Registry(), tasks)
        await followed.advance()
        yield followed
        tasks.cancel_scope.cancel()


async def test_newer_configuration_is_applied():
    async with _followed() as followed:
        assert followed.version == 3
        put_configuration(followed.rows, version=9, keys=())
        await followed.advance()
        assert followed.version == 9
        assert followed.documents.configuration.organisation_of_key("key-1") is None


async def test_older_configuration_and_its_removal_change_nothing():
    async with _followed() as followed:
        put_configuration(followed.rows, version=2)
        await followed.advance()
        assert followed.version == 3
        remove_configuration(followed.rows)
        await followed.advance()
        assert followed.version == 3


async def test_version_is_applied_although_the_store_discards_the_history():
    """Changes are not reported, their history is discarded, and reads return old versions."""
    async with _followed() as followed:
        followed.store.are_changes_hidden = True
        put_configuration(followed.rows, version=7)
        put_evacuation(followed.rows, "zvolen")
        followed.store.stale_reads[OPERATOR_TABLE] = 1
        followed.rows.forget_history()
        followed.store.are_changes_hidden = False
        await followed.advance()
        followed.store.stale_reads.clear()
        followed.rows.forget_history()
        await followed.advance()
        assert followed.version == 7
        assert followed.documents.evacuated_data_centres == {"zvolen"}


async def test_stale_read_does_not_end_an_evacuation():
    async with _followed() as followed:
        put_evacuation(followed.rows, "zvolen")
        await followed.advance()
        followed.store.stale_reads[OPERATOR_TABLE] = 1
        followed.rows.forget_history()
        await followed.advance()
        assert followed.documents.evacuated_data_centres == {"zvolen"}


# Guards against documents that were removed and come back with a read that is behind.
@pytest.mark.parametrize("is_history_kept", [True, False])
async def test_stale_read_does_not_bring_removed_documents_back(is_history_kept):
    async with _followed() as followed:
        put_evacuation(followed.rows, "zvolen")
        put_wave(followed.rows, 4, ["vm-1"], max_at_once=1)
        await followed.advance()
        page = followed.rows.read(OPERATOR_TABLE, "", "", "")
        remove_evacuation(followed.rows, "zvolen")
        remove_wave(followed.rows, 4)
        await followed.advance()
        assert followed.documents.evacuated_data_centres == set()
        followed.store.stale_pages[OPERATOR_TABLE] = page
        followed.store.outage = Ran.NO
        await followed.advance()
        followed.log.events.clear()
        if not is_history_kept:
            followed.rows.forget_history()
        followed.store.outage = None
        await followed.advance()
        assert followed.documents.evacuated_data_centres == set()
        assert followed.documents.waves == ()
        assert Event.EVACUATION_CHANGED not in followed.log.emitted()
        followed.store.stale_pages.clear()
        put_evacuation(followed.rows, "zvolen")
        await followed.advance()
        assert followed.documents.evacuated_data_centres == {"zvolen"}


async def test_evacuation_and_its_end():
    async with _followed() as followed:
        put_evacuation(followed.rows, "zvolen")
        await followed.advance()
        assert followed.documents.evacuated_data_centres == {"zvolen"}
        remove_evacuation(followed.rows, "zvolen")
        await followed.advance()
        assert followed.documents.evacuated_data_centres == set()


async def test_end_of_an_evacuation_during_an_outage_is_applied_after_it():
    async with _followed() as followed:
        put_evacuation(followed.rows, "zvolen")
        await followed.advance()
        followed.store.outage = Ran.UNKNOWN
        remove_evacuation(followed.rows, "zvolen")
        followed.rows.forget_history()
        await followed.advance()
        assert followed.documents.is_store_unreachable
        assert followed.documents.age_ms >= _APPLIED_WITHIN_MS / 2
        followed.store.outage = None
        await followed.advance()
        assert not followed.documents.is_store_unreachable
        assert followed.documents.evacuated_data_centres == set()
        assert {Event.STORE_CALL_FAILED, Event.STORE_REGAINED} <= followed.log.emitted()


@pytest.mark.parametrize("key", [CONFIGURATION_KEY, f"{WAVE_PREFIX}4"])
async def test_unreadable_document_is_logged_and_the_known_one_kept(key):
    async with _followed() as followed:
        put_wave(followed.rows, 4, ["vm-1"], max_at_once=1)
        await followed.advance()
        put_operator_document(followed.rows, key, b'{"version":"x"}')
        await followed.advance()
        assert followed.version == 3
        assert [wave.number for wave in followed.documents.waves] == [4]
        unreadable = [
            fields["document"]
            for event, fields in followed.log.events
            if event == Event.DOCUMENT_UNREADABLE
        ]
        assert unreadable == [key]
