"""Runs the command line by ``python -m fireflydeck``."""

import signal
import sys

if sys.argv[1:2] == ["entry"]:
    # A reload that is asked for before the process can do it must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from fireflydeck.cli.main import main

main()
