"""Division of an organisation's upper limit among the dispatchers.

A row holds the limit, each dispatcher's grant and what each wants. Only a dispatcher itself raises
or cuts its own grant; the sum of all grants after a raise never exceeds the limit.
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
    "reclaim",
]

_HEADROOM_DIVISOR = 4


def _positive(counts: Mapping[str, int]) -> dict[str, int]:
    return {name: count for name, count in counts.items() if count > 0}


@frozen(kw_only=True)
class AllotmentRow:
    """The stored division of one organisation's limit; names with 0 are left out.

    Parameters
    ----------
    limit
        The most tasks of the organisation over the whole fleet.
    grants
        The most tasks by dispatcher.
    wanted
        Tasks that each dispatcher runs or would start at once.
    """

    limit: int
    grants: Mapping[str, int] = field(factory=dict, converter=_positive)
    wanted: Mapping[str, int] = field(factory=dict, converter=_positive)

    @classmethod
    def from_plain(cls, value: Mapping[str, Any]) -> "AllotmentRow":
        """Return the row that the stored value describes."""
        return cls(
            limit=int(value["limit"]),
            grants=dict(value.get("grants", {})),
            wanted=dict(value.get("wanted", {})),
        )

    def to_plain(self) -> dict[str, Any]:
        """Return the value to store."""
        return {"limit": self.limit, "grants": dict(self.grants), "wanted": dict(self.wanted)}

    @property
    def free(self) -> int:
        """Part of the limit that is not granted; negative after the limit was lowered."""
        return self.limit - sum(self.grants.values())


@frozen(kw_only=True)
class AllotmentUsage:
    """What one dispatcher runs and what waits there."""

    running: int
    waiting: int


@frozen(kw_only=True)
class AllotmentChange:
    """A dispatcher's next grant and wish."""

    grant: int
    wanted: int

    def apply(self, row: AllotmentRow, dispatcher: str) -> AllotmentRow:
        """Return the row with the change."""
        return evolve(
            row,
            grants={**row.grants, dispatcher: self.grant},
            wanted={**row.wanted, dispatcher: self.wanted},
        )


def fair_parts(limit: int, wanted: Mapping[str, int], turn: int) -> dict[str, int]:
    """Divide the limit: the same part for everyone, but to nobody more than it wants.

    Units that do not divide evenly go to other dispatchers in each turn.

    Examples
    --------
    >>> fair_parts(10, {"a": 1, "b": 20, "c": 6}, turn=0)["a"]
    1
    >>> sum(fair_parts(10, {"a": 1, "b": 20, "c": 6}, turn=0).values())
    10
    """
    parts: dict[str, int] = {}
    remaining = max(0, limit)
    by_wish = sorted(_positive(wanted).items(), key=lambda item: (item[1], item[0]))
    for index, (name, wish) in enumerate(by_wish):
        level = remaining // (len(by_wish) - index)
        if wish > level:
            unsatisfied = dict(by_wish[index:])
            return parts | _equal_parts(remaining, unsatisfied, turn)
        parts[name] = wish
        remaining -= wish
    return parts


def next_grant(
    row: AllotmentRow, dispatcher: str, usage: AllotmentUsage, turn: int
) -> AllotmentChange:
    """Return the grant that the dispatcher should have next.

    Parameters
    ----------
    row
        The stored row.
    usage
        The dispatcher's own tasks.
    turn
        Number that grows slowly; it moves indivisible units from one dispatcher to the next.

    Examples
    --------
    >>> row = AllotmentRow(limit=8, grants={"d-2": 6}, wanted={"d-2": 6})
    >>> next_grant(row, "d-1", AllotmentUsage(running=0, waiting=5), turn=0)
    AllotmentChange(grant=2, wanted=5)
    """
    wish = usage.running + min(usage.waiting, max(0, row.limit))
    wanted = {**row.wanted, dispatcher: wish}
    target = _target(row.limit, wanted, dispatcher, turn)
    grant = row.grants.get(dispatcher, 0)
    if target > grant:
        return AllotmentChange(grant=min(target, grant + max(0, row.free)), wanted=wish)
    if wish == 0 or row.free < 0 or _is_other_hungry(row, dispatcher):
        grant = max(target, min(grant, usage.running))
    return AllotmentChange(grant=grant, wanted=wish)


def reclaim(row: AllotmentRow, dispatcher: str, still_running: int) -> AllotmentRow:
    """Return the row without what a dead dispatcher no longer uses.

    Parameters
    ----------
    still_running
        Its tasks that backend servers still report, or may still run under a lease.

    Examples
    --------
    >>> row = AllotmentRow(limit=8, grants={"d-1": 5}, wanted={"d-1": 9})
    >>> reclaim(row, "d-1", still_running=2).grants
    {'d-1': 2}
    """
    grant = min(row.grants.get(dispatcher, 0), max(0, still_running))
    return AllotmentChange(grant=grant, wanted=0).apply(row, dispatcher)


def _equal_parts(limit: int, wanted: Mapping[str, int], turn: int) -> dict[str, int]:
    level, extra = divmod(limit, len(wanted))
    ranked = sorted(wanted, key=lambda name: _turn_rank(name, turn))
    return {name: level + (index < extra) for index, name in enumerate(ranked)}


def _turn_rank(name: str, turn: int) -> bytes:
    return hashlib.sha256(f"{turn}/{name}".encode()).digest()


def _target(limit: int, wanted: Mapping[str, int], dispatcher: str, turn: int) -> int:
    parts = fair_parts(limit, wanted, turn)
    part = parts.get(dispatcher, 0)
    if not part:
        return 0
    unused = max(0, limit) - sum(parts.values())
    return part + min(unused // len(parts), 1 + part // _HEADROOM_DIVISOR)


def _is_other_hungry(row: AllotmentRow, dispatcher: str) -> bool:
    return any(
        wish > row.grants.get(name, 0) for name, wish in row.wanted.items() if name != dispatcher
    )
