"""Tests that log records of libraries are forwarded as events."""

import logging

import pytest

from fireflydeck.kernel import Event, forward_library_log
from fireflydeck.testing.recording_log import RecordingLog


@pytest.fixture
def log():
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    log = RecordingLog()
    forward_library_log(log)
    yield log
    root.handlers[:] = handlers
    root.setLevel(level)


def test_library_error_is_logged_as_one_event_with_its_trace(log):
    try:
        raise ValueError("invalid state")
    except ValueError:
        logging.getLogger("aiohttp.server").exception("Unhandled %s", "exception")
    event, fields = log.events[0]
    assert event is Event.LIBRARY_MESSAGE
    assert (fields["logger"], fields["severity"]) == ("aiohttp.server", "error")
    assert fields["detail"] == "Unhandled exception"
    assert "ValueError: invalid state" in fields["trace"]


def test_library_info_is_not_logged(log):
    logging.getLogger("aiohttp.access").info("request")
    assert log.events == []
