"""Columns of the sheet: the fields that a sheet may set, by type of entity."""

import re
from abc import ABC, abstractmethod
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from types import MappingProxyType
from typing import Any

from attrs import frozen

from fireflydeck.core import DataCentre, Entity, MaintenanceWindow, Organisation, Pool, Queue, Vm

__all__ = ["COLUMNS", "SHEET_COLUMNS", "SHEET_KINDS", "Column"]

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MILLISECOND = timedelta(milliseconds=1)
_TIME_PATTERN = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d(\.\d{1,3})?)?Z")


class CellType(ABC):
    """Conversion between the text of a cell and a value."""

    allowed: str = ""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Return the value of the text.

        Raises
        ------
        ValueError
            If the text is not allowed.
        """

    @abstractmethod
    def format(self, value: Any) -> str:
        """Return the text of the value."""


class _Text(CellType):
    allowed = "text"

    def parse(self, text: str) -> str:
        return text

    def format(self, value: str) -> str:
        return value


class _Number(CellType):
    allowed = "a whole number of up to 15 digits"

    def parse(self, text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,15}", text):
            raise ValueError(text)
        return int(text)

    def format(self, value: int) -> str:
        return str(value)


class _YesNo(CellType):
    allowed = "yes or no"

    def parse(self, text: str) -> bool:
        if text not in ("yes", "no"):
            raise ValueError(text)
        return text == "yes"

    def format(self, value: bool) -> str:
        return "yes" if value else "no"


class _Time(CellType):
    allowed = "a time in UTC such as 2027-03-01T06:30Z"

    def parse(self, text: str) -> int:
        if not _TIME_PATTERN.fullmatch(text):
            raise ValueError(text)
        return (datetime.fromisoformat(text) - _EPOCH) // _MILLISECOND

    def format(self, value: int) -> str:
        moment = _EPOCH + value * _MILLISECOND
        return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


_TEXT, _NUMBER, _YES_NO, _TIME = _Text(), _Number(), _YesNo(), _Time()


@frozen
class Column:
    """Column of the sheet for one type of entity.

    Parameters
    ----------
    name
        Name of the column.
    field
        Name of the field of the entity.
    cell
        Conversion of the cells of the column.
    required
        Whether a new entity needs a value in this column.
    """

    name: str
    field: str
    cell: CellType
    required: bool = False


def _columns(*columns: Column) -> Mapping[str, Column]:
    return MappingProxyType({column.name: column for column in columns})


COLUMNS: Mapping[type[Entity], Mapping[str, Column]] = MappingProxyType(
    {
        DataCentre: _columns(Column("region", "region", _TEXT)),
        Pool: _columns(
            Column("max_unavailable", "max_unavailable", _NUMBER),
            Column("spare", "spare", _YES_NO),
        ),
        Queue: _columns(
            Column("pool", "pool", _TEXT, required=True),
            Column("open_to_all", "open_to_all", _YES_NO),
            Column("max_waiting", "max_waiting", _NUMBER),
        ),
        Organisation: _columns(
            Column("share", "share", _NUMBER), Column("limit", "limit", _NUMBER)
        ),
        Vm: _columns(
            Column("pool", "pool", _TEXT, required=True),
            Column("data_centre", "data_centre", _TEXT, required=True),
            Column("rack", "rack", _TEXT),
            Column("address", "address", _TEXT, required=True),
            Column("cores", "cores", _NUMBER),
            Column("memory_mb", "memory_mb", _NUMBER),
            Column("slots", "slots", _NUMBER),
            Column("connections", "connections", _NUMBER),
            Column("accelerators", "accelerators", _NUMBER),
        ),
        MaintenanceWindow: _columns(
            Column("data_centre", "data_centre", _TEXT, required=True),
            Column("start", "start_ms", _TIME, required=True),
            Column("end", "end_ms", _TIME, required=True),
        ),
    }
)
"""Columns by type of entity, in the order of an exported sheet.

A sheet cannot set the states of VMs and data centres, the times at which VMs were last maintained,
or keys.
"""

SHEET_KINDS: Mapping[str, type[Entity]] = MappingProxyType({cls.kind: cls for cls in COLUMNS})
"""Types of entity by the text in the ``kind`` column."""

SHEET_COLUMNS: tuple[str, ...] = (
    "kind",
    "name",
    "remove",
    *dict.fromkeys(name for columns in COLUMNS.values() for name in columns),
)
"""All columns of a sheet, in the order of an exported sheet."""
