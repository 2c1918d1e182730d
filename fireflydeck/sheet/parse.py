"""Reads a sheet and reports all of its bad rows at once."""

import csv
import io
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from attrs import field, frozen
from expression import Error, Ok, Result

from fireflydeck.core import Entity, EntityKey
from fireflydeck.sheet.columns import COLUMNS, SHEET_COLUMNS, SHEET_KINDS, Column

__all__ = ["Row", "RowProblem", "Sheet", "parse_sheet"]

_FIRST_LINE = re.compile(r"# fireflydeck sheet, configuration ([0-9]{1,15})[\s,]*")
_FIRST_LINE_ALLOWED = "'# fireflydeck sheet, configuration N' with the version exported"
_FIRST_ROW = 2
_MAX_SHOWN = 80


@frozen
class RowProblem:
    """One reason why a sheet is refused.

    Parameters
    ----------
    row
        Line of the file, the first is 1; 0 for the sheet as a whole.
    column
        Name of the column; empty for the row as a whole.
    value
        The refused text, cut to 80 characters.
    allowed
        What is allowed, in words.
    """

    row: int
    column: str
    value: str = field(converter=lambda text: text[:_MAX_SHOWN])
    allowed: str


@frozen
class Row:
    """One row of a sheet.

    Parameters
    ----------
    number
        Line of the file.
    kind
        Type of the entity.
    remove
        Whether the row asks to remove the entity.
    values
        Given values by field of the entity; cells left empty are not in it.
    """

    number: int
    kind: type[Entity]
    name: str
    remove: bool
    values: Mapping[str, Any]

    @property
    def key(self) -> EntityKey:
        """Identity of the entity."""
        return EntityKey(self.kind.kind, self.name)


@frozen
class Sheet:
    """A well-formed sheet.

    Parameters
    ----------
    version
        Version of the configuration that the sheet was exported from.
    """

    version: int
    rows: tuple[Row, ...]


def parse_sheet(text: str) -> Result[Sheet, tuple[RowProblem, ...]]:
    r"""Return the sheet, or every problem of its form; never raises.

    Examples
    --------
    >>> head = "# fireflydeck sheet, configuration 4"
    >>> parse_sheet(head + "\nkind,name,share\norganisation,museum,3\n").ok.rows[0].values
    {'share': 3}
    >>> parse_sheet(head + "\nkind,name,share\norganisation,museum,many\n").error
    (RowProblem(row=3, column='share', value='many', allowed='a whole number of up to 15 digits'),)
    """
    lines = text.removeprefix("\ufeff").splitlines()
    first = lines[0].strip('"') if lines else ""
    match = _FIRST_LINE.fullmatch(first)
    if match is None:
        return Error((RowProblem(1, "", first, _FIRST_LINE_ALLOWED),))
    try:
        records = _read_records("\n".join(lines[1:]))
    except csv.Error as error:
        return Error((RowProblem(0, "", str(error), "CSV separated by commas"),))
    if not records:
        return Error((RowProblem(_FIRST_ROW, "", "", "a row of column names"),))
    number, header = records[0]
    problems = tuple(_check_header(number, header))
    if problems:
        return Error(problems)
    return _parse_rows(int(match.group(1)), header, records[1:])


def _read_records(text: str) -> list[tuple[int, list[str]]]:
    reader = csv.reader(io.StringIO(text), strict=True)
    records = []
    number = _FIRST_ROW
    for cells in reader:
        stripped = [cell.strip() for cell in cells]
        if any(stripped) and not stripped[0].startswith("#"):
            records.append((number, stripped))
        number = reader.line_num + _FIRST_ROW
    return records


def _check_header(number: int, header: Sequence[str]) -> Iterable[RowProblem]:
    allowed = "each once of " + ", ".join(SHEET_COLUMNS)
    for index, name in enumerate(header):
        if name not in SHEET_COLUMNS or name in header[:index]:
            yield RowProblem(number, name, name, allowed)
    for name in ("kind", "name"):
        if name not in header:
            yield RowProblem(number, name, "", f"a column {name}")


def _parse_rows(
    version: int, header: Sequence[str], records: Sequence[tuple[int, list[str]]]
) -> Result[Sheet, tuple[RowProblem, ...]]:
    rows: list[Row] = []
    problems: list[RowProblem] = []
    first_line: dict[EntityKey, int] = {}
    for number, cells in records:
        row = _parse_row(number, header, cells, problems)
        if row is None:
            continue
        if row.key in first_line:
            allowed = f"each entity once; it is in row {first_line[row.key]}"
            problems.append(RowProblem(number, "name", row.name, allowed))
        first_line.setdefault(row.key, number)
        rows.append(row)
    return Error(tuple(problems)) if problems else Ok(Sheet(version, tuple(rows)))


def _parse_row(
    number: int, header: Sequence[str], cells: Sequence[str], problems: list[RowProblem]
) -> Row | None:
    if any(cells[len(header) :]):
        problems.append(RowProblem(number, "", ",".join(cells), f"{len(header)} cells"))
        return None
    given = dict(zip(header, cells, strict=False))
    kind = SHEET_KINDS.get(given.get("kind", ""))
    if kind is None:
        allowed = "one of " + ", ".join(SHEET_KINDS)
        problems.append(RowProblem(number, "kind", given.get("kind", ""), allowed))
        return None
    name = given.get("name", "")
    if not name:
        problems.append(RowProblem(number, "name", "", f"the name of a {kind.kind}"))
    remove = given.get("remove", "")
    if remove not in ("", "yes", "no"):
        problems.append(RowProblem(number, "remove", remove, "yes, no or empty"))
    values = _parse_values(number, kind, given, problems)
    return Row(number, kind, name, remove == "yes", values)


def _parse_values(
    number: int, kind: type[Entity], given: Mapping[str, str], problems: list[RowProblem]
) -> dict[str, Any]:
    values = {}
    for name, text in given.items():
        if not text or name in ("kind", "name", "remove"):
            continue
        column = COLUMNS[kind].get(name)
        if column is None:
            problems.append(RowProblem(number, name, text, f"empty for a {kind.kind}"))
            continue
        _parse_cell(number, column, text, values, problems)
    return values


def _parse_cell(
    number: int,
    column: Column,
    text: str,
    values: dict[str, Any],
    problems: list[RowProblem],
) -> None:
    try:
        values[column.field] = column.cell.parse(text)
    except (ValueError, OverflowError):
        problems.append(RowProblem(number, column.name, text, column.cell.allowed))
