"""Rows that tell a later holder of the lease where tasks may be running.

The row of the servers is written by every version of the program. The row of the work was added
later: a roster without it, or with one of another term, may have any task on any server.
"""

from collections.abc import Iterable
from typing import Any

import msgpack
from attrs import frozen

from fireflydeck.core.placement import Resources
from fireflydeck.core.rows import RowWrite
from fireflydeck.core.typed_values import mistyped_fields
from fireflydeck.ownership.records import ROSTER_ROW, ROSTER_WORK_ROW

__all__ = ["NO_WORK", "RosterEntry", "PossibleWork", "decode_entry", "decode_work", "roster_writes"]


@frozen
class PossibleWork:
    """Bounds on the tasks that may be running on a backend server, or on several.

    Parameters
    ----------
    queues
        Queues whose tasks may be running.
    may_be_other
        Whether it may also be tasks of other queues.
    capacity
        Capacity of the server or the servers; `None` if it is not known.
    """

    queues: frozenset[str] = frozenset()
    may_be_other: bool = True
    capacity: Resources | None = None

    @property
    def is_possible(self) -> bool:
        """Return whether any task may be running."""
        return self.may_be_other or bool(self.queues)

    def may_include(self, queue: str) -> bool:
        """Return whether a task of the queue may be running."""
        return self.may_be_other or queue in self.queues


NO_WORK = PossibleWork(may_be_other=False)
"""No task can be running."""


@frozen
class RosterEntry:
    """Backend server that may be running tasks, with the address at which it is asked."""

    server_id: str
    pool: str
    address: str
    work: PossibleWork = PossibleWork()


def roster_writes(entries: Iterable[RosterEntry], term: int) -> list[RowWrite]:
    """Return the writes that store the roster of a term."""
    servers = [[entry.server_id, entry.pool, entry.address] for entry in entries]
    work = {entry.server_id: _encode_work(entry.work) for entry in entries}
    return [
        RowWrite(ROSTER_ROW, msgpack.packb(servers)),
        RowWrite(ROSTER_WORK_ROW, msgpack.packb([term, work])),
    ]


def decode_entry(fields: Any, work: dict[str, PossibleWork]) -> RosterEntry:
    """Decode an entry of the row of the servers.

    Raises
    ------
    TypeError, ValueError
        If the fields are not those of an entry.
    """
    server_id, pool, address = fields
    entry = RosterEntry(server_id, pool, address)
    if mistyped_fields(entry):
        raise TypeError("not a roster entry")
    return RosterEntry(server_id, pool, address, work.get(server_id, PossibleWork()))


def decode_work(content: bytes, term: int) -> dict[str, PossibleWork]:
    """Decode the row of the work, by the id of the server; empty if another term wrote it.

    Raises
    ------
    ValueError
        If the content is not such a row.
    """
    try:
        written_term, work = msgpack.unpackb(content)
        if written_term != term:
            return {}
        return {server_id: _decode_work(fields) for server_id, fields in work.items()}
    except (TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"not the work of servers: {type(error).__name__}") from error


def _encode_work(work: PossibleWork) -> list[Any]:
    capacity = work.capacity
    return [
        sorted(work.queues),
        work.may_be_other,
        None if capacity is None else [capacity.cpu, capacity.memory_mb, capacity.accelerators],
    ]


def _decode_work(fields: Any) -> PossibleWork:
    queues, may_be_other, capacity = fields
    work = PossibleWork(
        frozenset(queues), may_be_other, None if capacity is None else Resources(*capacity)
    )
    if mistyped_fields(work):
        raise ValueError("a field is invalid")
    return work
