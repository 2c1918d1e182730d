"""Tests that the catalogue explains every event and that only reserved events are unused."""

import re

from fireflydeck.kernel.event_catalogue import EVENT_NOTES, render_events_page
from fireflydeck.kernel.events import Event

_TEST_FOLDERS = {"tests", "testing"}


def _emitted_names(rootpath):
    package = rootpath / "fireflydeck"
    paths = [path for path in package.rglob("*.py") if not _TEST_FOLDERS & set(path.parts)]
    names = [re.findall(r"\bEvent\.([A-Z_]+)\b", path.read_text()) for path in paths]
    return {name for found in names for name in found}


def test_event_numbers_are_unique():
    numbers = [event.number for event in Event]
    assert len(set(numbers)) == len(numbers)


def test_event_notes_explain_every_event():
    assert set(EVENT_NOTES) == {event.number for event in Event}


def test_only_reserved_events_are_never_emitted(request):
    reserved = {event.name for event in Event if EVENT_NOTES[event.number].reserved}
    unused = {event.name for event in Event} - _emitted_names(request.config.rootpath)
    assert unused == reserved


def test_committed_events_page_is_current(request):
    page = request.config.rootpath / "docs" / "EVENTS.md"
    assert page.read_text() == render_events_page()
