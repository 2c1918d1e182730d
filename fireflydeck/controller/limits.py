"""Updates of allotment rows in the transaction that changes the limits of organisations."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from expression import Error, Ok, Result

from fireflydeck.controller.edit import Edit
from fireflydeck.core import Configuration, EntityKey, Failure, Organisation
from fireflydeck.tables import ABSENT, Check, Put, TableService, Transaction

__all__ = ["ALLOTMENTS_TABLE", "limit_transaction"]

ALLOTMENTS_TABLE = "allotments"
_NEW_ROW: Mapping[str, Any] = MappingProxyType({"grants": {}, "wanted": {}})


async def limit_transaction(
    tables: TableService, base: Configuration, edit: Edit
) -> Result[Transaction, Failure]:
    """Return the writes that copy the edit's changed limits to the allotment rows.

    Each row keeps its grants. The writes fail if another writer changed a row in the meantime. The
    row of a removed organisation stays, with limit 0, until the organisation's tasks have ended.

    Parameters
    ----------
    tables
        Table service that holds the allotment rows.
    base
        Configuration snapshot that the edit applies to.
    """
    checks: list[Check] = []
    puts: list[Put] = []
    for organisation, limit in _changed_limits(base, edit).items():
        read = await tables.get(ALLOTMENTS_TABLE, organisation)
        if read.is_error():
            return Error(read.error)
        row = read.ok
        checks.append(Check(ALLOTMENTS_TABLE, organisation, row.version if row else ABSENT))
        value = row.value if row else _NEW_ROW
        puts.append(Put(ALLOTMENTS_TABLE, organisation, {**value, "limit": limit}))
    return Ok(Transaction(checks=tuple(checks), puts=tuple(puts)))


def _changed_limits(base: Configuration, edit: Edit) -> dict[str, int]:
    limits = {}
    for entity in edit.puts:
        if isinstance(entity, Organisation) and _limit_in(base, entity.key) != entity.limit:
            limits[entity.name] = entity.limit
    for key in edit.removes:
        if key.kind == Organisation.kind:
            limits[key.name] = 0
    return limits


def _limit_in(base: Configuration, key: EntityKey) -> int | None:
    organisation = base.find(key)
    return organisation.limit if isinstance(organisation, Organisation) else None
