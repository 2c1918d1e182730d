"""Guards against a flood of requests for the state dump that takes all time of the process."""

import pytest

from fireflydeck.entry.recent_documents import RecentDocuments
from fireflydeck.testing.clock import FakeClock

pytestmark = pytest.mark.anyio


async def test_documents_are_rendered_at_a_bounded_rate():
    clock = FakeClock()
    documents = RecentDocuments(clock)
    rendered = []

    def render(key):
        return documents.get(key, lambda: rendered.append(key) or len(rendered))

    assert [render("a") for _ in range(100)] == [1] * 100
    assert [render(key) for key in "bcdef"] == [2, 3, 4, None, None]
    await clock.advance_ms(300)
    assert render("f") == 5
