"""Log configuration of the tests: JSON lines on standard error, as in a process."""

import pytest

from fireflydeck.kernel import configure_logging


@pytest.fixture(autouse=True)
def _logs_to_stderr(capsys):
    configure_logging("json", "error")
