"""Random fault plans with single faults, series of one kind, and overlapping faults."""

from enum import StrEnum
from random import Random

from attrs import frozen

__all__ = ["MEAN_PAUSE_MS", "FaultKind", "PlannedFault", "plan_faults"]

MEAN_PAUSE_MS = 1600
"""Mean time between the starts of two consecutive single faults or series."""
_SERIES_SHARE = 0.25
"""Probability of a series instead of a single fault."""
_MAX_SERIES_LENGTH = 4
_SERIES_GAP_RANGE_MS = (150, 1200)
_DURATION_RANGE_MS = (300, 4500)


class FaultKind(StrEnum):
    """Kind of a fault, which determines the kind of its target.

    A target is an entry process, the link from an entry process to the store, the link to a
    backend server, the store itself or a backend server. `SERVER_REBORN_LATE_ORDERS`: orders to a
    server get no answer, it restarts with another clock, and its new life carries them out later.
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
    SERVER_REBORN_LATE_ORDERS = "server-reborn-late-orders"


@frozen
class PlannedFault:
    """Scheduled fault.

    Parameters
    ----------
    at_ms
        Time from the start of the traffic.
    target
        Number of the target, taken modulo the number of targets of the kind.
    duration_ms
        Length of the fault. `RESTART`, `RELOAD`, `STORE_HISTORY_LOST` and `SERVER_REBORN` are
        injected without regard to it, but a fault of any kind that would end after the run is not
        planned.
    """

    at_ms: int
    kind: FaultKind
    target: int
    duration_ms: int

    @property
    def end_ms(self) -> int:
        """End of the fault, from the start of the traffic."""
        return self.at_ms + self.duration_ms


def plan_faults(
    seed: int, length_ms: int, mean_pause_ms: int = MEAN_PAUSE_MS
) -> list[PlannedFault]:
    """Return the faults of a run, ordered by time; equal arguments give equal plans.

    Parameters
    ----------
    mean_pause_ms
        Mean time between the starts of two consecutive single faults or series.

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
    count = random.randint(2, _MAX_SERIES_LENGTH) if random.random() < _SERIES_SHARE else 1
    is_same_target = random.random() < 0.5
    target = random.randrange(100)
    series = []
    for _ in range(count):
        series.append(PlannedFault(at_ms, kind, target, random.randint(*_DURATION_RANGE_MS)))
        at_ms += random.randint(*_SERIES_GAP_RANGE_MS)
        target = target if is_same_target else random.randrange(100)
    return series
