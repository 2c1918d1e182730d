"""Tests that a reload requested while the entry role starts does not end the process."""

import os
import signal
import subprocess
import sys

import pytest

_PROGRAM = """
import runpy, signal, sys
sys.argv = ["fireflydeck", *sys.argv[1:]]
try:
    runpy.run_module("fireflydeck", run_name="__main__")
except SystemExit:
    pass
print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
"""


@pytest.mark.parametrize(
    ("arguments", "is_ignored"), [(["entry", "--metrics_port=1"], True), (["--version"], False)]
)
def test_reload_signal_is_ignored_until_it_is_handled(arguments, is_ignored):
    """SIGHUP that arrived before the settings watch started ended the process (soak seed 142)."""
    done = subprocess.run(
        [sys.executable, "-c", _PROGRAM, *arguments],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "FIREFLYDECK_BOOT": "/nonexistent/node.json"},
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    )
    assert done.stdout.splitlines()[-1] == str(is_ignored)
