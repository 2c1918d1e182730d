"""Rows of the table service that record the VMs in periodic maintenance."""

from enum import StrEnum

from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Reason
from fireflydeck.core.converter import ConversionError, from_plain, to_plain
from fireflydeck.tables import ABSENT, Check, Delete, Put, Row, TableService, Transaction

__all__ = [
    "MaintenanceRow",
    "Stage",
    "StoredMaintenance",
    "delete_first_seen",
    "delete_row",
    "insert_row",
    "load_first_seen",
    "load_rows",
    "store_first_seen",
    "update_row",
]

_TABLE = "maintenance"
_VM_PREFIX = "vm/"
_SEEN_PREFIX = "seen/"
_PAGE_ROWS = 1000
_BATCH_ROWS = 50


class Stage(StrEnum):
    """Stage of the maintenance of a VM."""

    DRAIN = "drain"
    REBOOT = "reboot"


@frozen(kw_only=True)
class MaintenanceRow:
    """Record of a VM in periodic maintenance.

    Parameters
    ----------
    vm
        Name of the VM.
    entity_version
        Version of the VM's entity with which the stage began. Another version means that an
        operator has changed the VM.
    since_ms
        Wall time at which the stage began.
    """

    vm: str
    stage: Stage
    entity_version: int
    since_ms: int


@frozen(kw_only=True)
class StoredMaintenance:
    """A maintenance row and its version in the table service."""

    row: MaintenanceRow
    row_version: int


def insert_row(row: MaintenanceRow) -> Transaction:
    """Return the write that adds a row, on condition that the VM has none."""
    return _put_row(row, ABSENT)


def update_row(stored: StoredMaintenance, row: MaintenanceRow) -> Transaction:
    """Return the write that replaces a stored row, on condition that it is unchanged."""
    return _put_row(row, stored.row_version)


def delete_row(stored: StoredMaintenance) -> Transaction:
    """Return the write that removes a stored row, on condition that it is unchanged."""
    key = _VM_PREFIX + stored.row.vm
    return Transaction(
        checks=(Check(_TABLE, key, stored.row_version),), deletes=(Delete(_TABLE, key),)
    )


def delete_first_seen(vm: str) -> Transaction:
    """Return the write that removes the time at which the VM was first seen."""
    return Transaction(deletes=(Delete(_TABLE, _SEEN_PREFIX + vm),))


def _put_row(row: MaintenanceRow, version: int) -> Transaction:
    key = _VM_PREFIX + row.vm
    return Transaction(
        checks=(Check(_TABLE, key, version),), puts=(Put(_TABLE, key, to_plain(row)),)
    )


async def load_rows(tables: TableService) -> Result[dict[str, StoredMaintenance], Failure]:
    """Return the stored rows by VM name."""
    rows = await _scan(tables, _VM_PREFIX)
    if rows.is_error():
        return Error(rows.error)
    try:
        stored = [
            StoredMaintenance(row=from_plain(row.value, MaintenanceRow), row_version=row.version)
            for row in rows.ok
        ]
    except ConversionError as error:
        return Error(_unreadable(error.detail))
    return Ok({item.row.vm: item for item in stored})


async def load_first_seen(tables: TableService) -> Result[dict[str, int], Failure]:
    """Return, by VM name, the wall time at which each never maintained VM was first seen."""
    rows = await _scan(tables, _SEEN_PREFIX)
    return rows.map(
        lambda found: {row.key.removeprefix(_SEEN_PREFIX): int(row.value) for row in found}
    )


async def store_first_seen(
    tables: TableService, names: list[str], wall_ms: int
) -> Result[None, Failure]:
    """Store the wall time as the time at which the VMs were first seen.

    Fails with `CONFLICT` if a time is already stored for one of them.
    """
    for begin in range(0, len(names), _BATCH_ROWS):
        keys = [_SEEN_PREFIX + name for name in names[begin : begin + _BATCH_ROWS]]
        transaction = Transaction(
            checks=tuple(Check(_TABLE, key, ABSENT) for key in keys),
            puts=tuple(Put(_TABLE, key, wall_ms) for key in keys),
        )
        result = await tables.commit(transaction)
        if result.is_error():
            return result
    return Ok(None)


async def _scan(tables: TableService, prefix: str) -> Result[list[Row], Failure]:
    rows: list[Row] = []
    after = ""
    while True:
        page = await tables.scan(_TABLE, prefix=prefix, after=after, limit=_PAGE_ROWS)
        if page.is_error():
            return Error(page.error)
        rows.extend(page.ok)
        if len(page.ok) < _PAGE_ROWS:
            return Ok(rows)
        after = page.ok[-1].key


def _unreadable(detail: str) -> Failure:
    return Failure(Reason.INTERNAL, step="maintenance.load", peer="store", detail=detail)
