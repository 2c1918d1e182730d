"""Deselects the tests that KNOWN-RED.txt lists and prints their entries."""

from pathlib import Path

import pytest

_LIST_PATH = Path(__file__).parent / "KNOWN-RED.txt"
_DESELECTED = pytest.StashKey[list[str]]()


def _known_failures() -> dict[str, str]:
    """Return the entries of the list by test id, the first of the fields separated by ``|``."""
    lines = _LIST_PATH.read_text(encoding="utf-8").splitlines() if _LIST_PATH.is_file() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests."""
    known = _known_failures()
    deselected = [item for item in items if item.nodeid in known]
    config.stash[_DESELECTED] = [known[item.nodeid] for item in deselected]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the entries of the deselected tests."""
    for line in config.stash.get(_DESELECTED, []):
        terminalreporter.write_line(f"known failure, deselected: {line}")
