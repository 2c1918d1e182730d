"""Allocation of free ports for processes that tests start."""

import itertools
import os
import socket

__all__ = ["free_address"]

_FIRST_PORT = 23_000
_PORT_COUNT = 9_000
"""Number of ports from `_FIRST_PORT`; all are below the system's range of ephemeral ports."""

_offsets = itertools.count(os.getpid() * 97 % _PORT_COUNT)
"""Offsets to try; the start depends on the process id, so that processes rarely collide."""


def free_address() -> str:
    """Return an ``ip:port`` on loopback that no process listens on.

    Raises
    ------
    RuntimeError
        If every port of the range is in use.
    """
    for offset in itertools.islice(_offsets, _PORT_COUNT):
        port = _FIRST_PORT + offset % _PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise RuntimeError("no free port on loopback in the range for tests")
