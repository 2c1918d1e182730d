"""Random plans of faults: single ones, series of one kind, and overlaps."""

from enum import StrEnum
from random import Random

from attrs import frozen

__all__ = ["MEAN_PAUSE_MS", "FaultKind", "PlannedFault", "plan_faults"]

MEAN_PAUSE_MS = 1600
"""Time between the beginnings of two series of faults, on average."""
_SERIES_SHARE = 0.25
"""Part of the faults that come as a series."""
_MAX_SERIES = 4
_SERIES_GAP_MS = (150, 1200)
_DURATION_MS = (300, 4500)


class FaultKind(StrEnum):
    """What is done to one target.

    Targets are entry processes, the links of entry processes to the store, the links to backend
    servers, the store, and backend servers, each by number.
    """

    KILL = "kill"
    PAUSE = "pause"
    RESTART = "restart"
    RELOAD = "reload"
    STORE_LINK_DELAYED = "store-link-delayed"
    STORE_LINK_CUT = "store-link-cut"
    STORE_LINK_SILENT = "store-link-silent"
    STORE_LINK_ONE_WAY = "store-link-one-way"
    STORE_LINK_ANSWERS_LOST = "store-link-answers-lost"
    SERVER_LINK_DELAYED = "server-link-delayed"
    SERVER_LINK_CUT = "server-link-cut"
    SERVER_LINK_SILENT = "server-link-silent"
    SERVER_LINK_ONE_WAY = "server-link-one-way"
    STORE_REFUSES = "store-refuses"
    STORE_ANSWERS_LOST = "store-answers-lost"
    STORE_GARBAGE = "store-garbage"
    STORE_HISTORY_LOST = "store-history-lost"
    SERVER_REBORN = "server-reborn"


@frozen
class PlannedFault:
    """One fault.

    Parameters
    ----------
    at_ms
        Milliseconds from the start of the traffic.
    target
        A number; taken modulo the number of targets of the kind.
    duration_ms
        For faults that last.
    """

    at_ms: int
    kind: FaultKind
    target: int
    duration_ms: int

    @property
    def end_ms(self) -> int:
        """When the fault is over."""
        return self.at_ms + self.duration_ms


def plan_faults(
    seed: int, length_ms: int, mean_pause_ms: int = MEAN_PAUSE_MS
) -> list[PlannedFault]:
    """Return the faults of a run, by time; the same for the same arguments.

    Parameters
    ----------
    mean_pause_ms
        Time between the beginnings of two series of faults, on average.

    Examples
    --------
    >>> plan_faults(3, 60_000) == plan_faults(3, 60_000)
    True
    """
    random = Random(seed)
    faults: list[PlannedFault] = []
    at_ms = random.randint(200, 1500)
    while at_ms < length_ms:
        faults.extend(_plan_series(random, at_ms))
        at_ms += int(random.expovariate(1 / mean_pause_ms)) + 1
    return sorted(
        (fault for fault in faults if fault.end_ms <= length_ms), key=lambda fault: fault.at_ms
    )


def _plan_series(random: Random, at_ms: int) -> list[PlannedFault]:
    kind = random.choice(list(FaultKind))
    count = random.randint(2, _MAX_SERIES) if random.random() < _SERIES_SHARE else 1
    is_same_target = random.random() < 0.5
    target = random.randrange(100)
    series = []
    for _ in range(count):
        series.append(PlannedFault(at_ms, kind, target, random.randint(*_DURATION_MS)))
        at_ms += random.randint(*_SERIES_GAP_MS)
        target = target if is_same_target else random.randrange(100)
    return series
