"""Division of an organisation's task limit among the dispatchers.

A stored row holds the limit, and the granted and wanted number of tasks of each dispatcher. Only
the dispatcher itself raises or lowers its grant. After a raise, the sum of all grants never exceeds
the limit.
"""

import hashlib
from collections.abc import Mapping
from typing import Any

from attrs import evolve, field, frozen

__all__ = [
    "AllotmentChange",
    "AllotmentRow",
    "AllotmentUsage",
    "fair_parts",
    "next_grant",
    "reclaim_grant",
]

_HEADROOM_DIVISOR = 4
"""The target grant exceeds the fair part by at most 1 task plus the fair part divided by this."""


def _positive_counts(counts: Mapping[str, int]) -> dict[str, int]:
    return {name: count for name, count in counts.items() if count > 0}


@frozen(kw_only=True)
class AllotmentRow:
    """The stored division of one organisation's limit; dispatchers with 0 tasks are left out.

    Parameters
    ----------
    limit
        Maximum number of running tasks of the organisation in the whole fleet.
    grants
        Maximum number of running tasks by dispatcher.
    wanted
        Number of tasks that each dispatcher runs or could start immediately.
    """

    limit: int
    grants: Mapping[str, int] = field(factory=dict, converter=_positive_counts)
    wanted: Mapping[str, int] = field(factory=dict, converter=_positive_counts)

    @classmethod
    def from_plain(cls, value: Mapping[str, Any]) -> "AllotmentRow":
        """Build the row from its stored value."""
        return cls(
            limit=int(value["limit"]),
            grants=dict(value.get("grants", {})),
            wanted=dict(value.get("wanted", {})),
        )

    def to_plain(self) -> dict[str, Any]:
        """Return the row as the value to store."""
        return {"limit": self.limit, "grants": dict(self.grants), "wanted": dict(self.wanted)}

    @property
    def free(self) -> int:
        """Return the part of the limit that is not granted; negative if the limit was lowered."""
        return self.limit - sum(self.grants.values())


@frozen(kw_only=True)
class AllotmentUsage:
    """Number of an organisation's running and waiting tasks at one dispatcher."""

    running: int
    waiting: int


@frozen(kw_only=True)
class AllotmentChange:
    """The next grant and wanted number of tasks of a dispatcher."""

    grant: int
    wanted: int

    def apply(self, row: AllotmentRow, dispatcher: str) -> AllotmentRow:
        """Return the row with the change applied for the dispatcher."""
        return evolve(
            row,
            grants={**row.grants, dispatcher: self.grant},
            wanted={**row.wanted, dispatcher: self.wanted},
        )


def fair_parts(limit: int, wanted: Mapping[str, int], turn: int) -> dict[str, int]:
    """Divide the limit by max-min fairness: equal parts, but no more than a dispatcher wants.

    Parameters
    ----------
    turn
        Number that selects the dispatchers that get the remainder of an uneven division.

    Examples
    --------
    >>> fair_parts(10, {"a": 1, "b": 20, "c": 6}, turn=0)["a"]
    1
    >>> sum(fair_parts(10, {"a": 1, "b": 20, "c": 6}, turn=0).values())
    10
    """
    parts: dict[str, int] = {}
    remaining = max(0, limit)
    by_wanted = sorted(_positive_counts(wanted).items(), key=lambda item: (item[1], item[0]))
    for index, (name, wanted_tasks) in enumerate(by_wanted):
        level = remaining // (len(by_wanted) - index)
        if wanted_tasks > level:
            unsatisfied = dict(by_wanted[index:])
            return parts | _equal_parts(remaining, unsatisfied, turn)
        parts[name] = wanted_tasks
        remaining -= wanted_tasks
    return parts


def next_grant(
    row: AllotmentRow, dispatcher: str, usage: AllotmentUsage, turn: int
) -> AllotmentChange:
    """Return the change of the dispatcher's grant that brings it closer to its target.

    The target is the dispatcher's fair part, plus some headroom if the fair parts leave some of the
    limit unused. A grant is raised only by what the row has left, so that the limit holds. It is
    lowered to the target, but not below the running tasks, and only if the dispatcher wants
    nothing, the limit was lowered or another dispatcher wants more than its grant.

    Parameters
    ----------
    row
        The stored row.
    usage
        The dispatcher's own tasks.
    turn
        Slowly increasing number; each turn gives the remainder of an uneven division to other
        dispatchers.

    Examples
    --------
    >>> row = AllotmentRow(limit=8, grants={"d-2": 6}, wanted={"d-2": 6})
    >>> next_grant(row, "d-1", AllotmentUsage(running=0, waiting=5), turn=0)
    AllotmentChange(grant=2, wanted=5)
    """
    wanted_tasks = usage.running + min(usage.waiting, max(0, row.limit))
    wanted = {**row.wanted, dispatcher: wanted_tasks}
    target = _target_grant(row.limit, wanted, dispatcher, turn)
    grant = row.grants.get(dispatcher, 0)
    if target > grant:
        return AllotmentChange(grant=min(target, grant + max(0, row.free)), wanted=wanted_tasks)
    if wanted_tasks == 0 or row.free < 0 or _has_other_unmet_demand(row, dispatcher):
        grant = max(target, min(grant, usage.running))
    return AllotmentChange(grant=grant, wanted=wanted_tasks)


def reclaim_grant(row: AllotmentRow, dispatcher: str, still_running: int) -> AllotmentRow:
    """Return the row with the grant of a dead dispatcher reduced to its tasks that may still run.

    Parameters
    ----------
    still_running
        Number of its tasks that backend servers still report, or that may still run under a lease.

    Examples
    --------
    >>> row = AllotmentRow(limit=8, grants={"d-1": 5}, wanted={"d-1": 9})
    >>> reclaim_grant(row, "d-1", still_running=2).grants
    {'d-1': 2}
    """
    grant = min(row.grants.get(dispatcher, 0), max(0, still_running))
    return AllotmentChange(grant=grant, wanted=0).apply(row, dispatcher)


def _equal_parts(limit: int, wanted: Mapping[str, int], turn: int) -> dict[str, int]:
    level, extra = divmod(limit, len(wanted))
    ranked = sorted(wanted, key=lambda name: _rank_in_turn(name, turn))
    return {name: level + (index < extra) for index, name in enumerate(ranked)}


def _rank_in_turn(name: str, turn: int) -> bytes:
    return hashlib.sha256(f"{turn}/{name}".encode()).digest()


def _target_grant(limit: int, wanted: Mapping[str, int], dispatcher: str, turn: int) -> int:
    parts = fair_parts(limit, wanted, turn)
    part = parts.get(dispatcher, 0)
    if not part:
        return 0
    unused = max(0, limit) - sum(parts.values())
    return part + min(unused // len(parts), 1 + part // _HEADROOM_DIVISOR)


def _has_other_unmet_demand(row: AllotmentRow, dispatcher: str) -> bool:
    return any(
        wanted_tasks > row.grants.get(name, 0)
        for name, wanted_tasks in row.wanted.items()
        if name != dispatcher
    )
