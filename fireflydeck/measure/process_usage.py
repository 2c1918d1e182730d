"""Processor time and memory of a process, from its files below ``/proc``."""

import os
from pathlib import Path

from attrs import frozen

__all__ = ["ProcessUsage", "parse_usage", "read_usage"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_TIME_INDEX = 11
_SYSTEM_TIME_INDEX = 12
_KB_PER_MB = 1024


@frozen(kw_only=True)
class ProcessUsage:
    """Processor time and memory of a process.

    Parameters
    ----------
    processor_s
        User and system time since the start of the process.
    resident_mb
        Resident memory, shared pages included, in MiB (1024 * 1024 bytes).
    """

    processor_s: float
    resident_mb: float


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a running process."""
    directory = Path("/proc") / str(pid)
    return parse_usage((directory / "stat").read_text(), (directory / "status").read_text())


def parse_usage(stat: str, status: str) -> ProcessUsage:
    """Return the usage from the contents of the files ``stat`` and ``status``.

    References
    ----------
    ``proc(5)`` of the Linux manual pages.
    """
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_INDEX]) + int(fields[_SYSTEM_TIME_INDEX])
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return ProcessUsage(
        processor_s=ticks / _TICKS_PER_S, resident_mb=int(line.split()[1]) / _KB_PER_MB
    )
