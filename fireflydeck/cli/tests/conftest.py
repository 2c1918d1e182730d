"""Fixture that sends the logs of the controllers under test to standard error."""

import pytest

from fireflydeck.kernel import configure_logging


@pytest.fixture(autouse=True)
def _logs_to_stderr(capsys):
    configure_logging("json", "error")
