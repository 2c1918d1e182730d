"""A reload asked for while a process starts does not end it."""

import subprocess
import sys

_PROGRAM = """
import runpy, signal, sys
sys.argv = ["fireflydeck", "--version"]
runpy.run_module("fireflydeck", run_name="__main__")
print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
"""


def test_reload_signal_is_ignored_until_it_is_handled():
    """The soak's seed 142: SIGHUP came before the settings watch and ended the process."""
    done = subprocess.run(
        [sys.executable, "-c", _PROGRAM], capture_output=True, text=True, check=True
    )
    assert done.stdout.splitlines()[-1] == "True"
