"""Rows that tell a later holder of the lease where tasks may be running.

The row of the servers is written by every version of the program. The row of the work was added
later: without it, or with one of another term, any task may be on any server.
"""

import zlib
from collections.abc import Iterable, Mapping
from typing import Any

import msgpack
from attrs import evolve, frozen

from fireflydeck.core.placement import Resources
from fireflydeck.core.rows import RowWrite
from fireflydeck.core.typed_values import mistyped_fields
from fireflydeck.ownership.records import ROSTER_ROW, ROSTER_WORK_ROW

__all__ = [
    "ANY_WORK",
    "NO_WORK",
    "PossibleWork",
    "RosterEntry",
    "decode_entry",
    "decode_work",
    "servers_write",
    "work_write",
]


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
        Upper bound of the capacity of the server or the servers; `None` if it is not known.
    """

    queues: frozenset[str] = frozenset()
    may_be_other: bool = False
    capacity: Resources | None = None

    @property
    def is_possible(self) -> bool:
        """Return whether any task may be running."""
        return self.may_be_other or bool(self.queues)

    def may_include(self, queue: str) -> bool:
        """Return whether a task of the queue may be running."""
        return self.may_be_other or queue in self.queues


NO_WORK = PossibleWork()
"""No task can be running."""
ANY_WORK = PossibleWork(may_be_other=True)
"""Any task may be running."""


@frozen
class RosterEntry:
    """Backend server that may be running tasks, with the address at which it is asked."""

    server_id: str
    pool: str
    address: str


def servers_write(entries: Iterable[RosterEntry]) -> RowWrite:
    """Return the write of the row of the servers."""
    rows = [[entry.server_id, entry.pool, entry.address] for entry in entries]
    return RowWrite(ROSTER_ROW, msgpack.packb(rows))


def decode_entry(fields: Any) -> RosterEntry:
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
    return entry


def work_write(work_by_pool: Mapping[str, PossibleWork], term: int) -> RowWrite:
    """Return the write of the row of the work on each server of a pool, stored by a term."""
    pools = {pool: _encode_work(work) for pool, work in work_by_pool.items()}
    content = msgpack.packb([term, pools])
    return RowWrite(ROSTER_WORK_ROW, zlib.compress(content))


def decode_work(content: bytes, term: int) -> dict[str, PossibleWork] | None:
    """Decode the work on each server of a pool, by pool; `None` if another term stored it.

    Raises
    ------
    ValueError
        If the content is not such a row.
    """
    try:
        written_term, pools = msgpack.unpackb(zlib.decompress(content))
        if written_term != term:
            return None
        return {pool: _decode_work(fields) for pool, fields in pools.items()}
    except (TypeError, ValueError, AttributeError, zlib.error) as error:
        raise ValueError(f"not the work of pools: {type(error).__name__}") from error


def _encode_work(work: PossibleWork) -> list[Any]:
    capacity = work.capacity
    return [
        sorted(work.queues),
        work.may_be_other,
        None if capacity is None else [capacity.cpu, capacity.memory_mb, capacity.accelerators],
    ]


def _decode_work(fields: Any) -> PossibleWork:
    queues, may_be_other, capacity = fields
    work = PossibleWork(frozenset(queues), may_be_other)
    if capacity is not None:
        work = evolve(work, capacity=Resources(*capacity))
    if mistyped_fields(work):
        raise ValueError("a field is invalid")
    return work
