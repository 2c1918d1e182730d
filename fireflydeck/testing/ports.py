"""Allocation of free ports for processes that tests start."""

import itertools
import os
import socket

__all__ = ["free_address"]

_FIRST_PORT = 23_000
_PORT_COUNT = 9_000
"""Number of ports from `_FIRST_PORT`; all are below the system's range of ephemeral ports."""

_PROCESS_STRIDE = 5563


def _first_offset(process_id: int) -> int:
    """Return the offset of the first port that a process tries.

    Processes with close ids, such as those of tests that run at the same time, begin far apart.

    Examples
    --------
    >>> offsets = sorted(_first_offset(process_id) for process_id in range(10))
    >>> min(later - earlier for earlier, later in itertools.pairwise(offsets))
    496
    """
    return process_id * _PROCESS_STRIDE % _PORT_COUNT


_offsets = itertools.count(_first_offset(os.getpid()))
"""Offsets of the ports to try."""


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
