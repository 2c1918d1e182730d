"""Parser of sheets that reports the problems of all rows together."""

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

_FIRST_LINE_PATTERN = re.compile(r"# fireflydeck sheet, configuration ([0-9]{1,15})[\s,]*")
_FIRST_LINE_ALLOWED = "'# fireflydeck sheet, configuration N' with the version exported"
_HEADER_LINE_NUMBER = 2
_MAX_SHOWN_LENGTH = 80


@frozen
class RowProblem:
    """A problem for which a sheet is refused.

    Parameters
    ----------
    row
        Line number in the file, starting at 1; 0 for the sheet as a whole.
    column
        Name of the column; empty for the row as a whole.
    value
        The refused text, cut to 80 characters.
    allowed
        Description of the allowed values.
    """

    row: int
    column: str
    value: str = field(converter=lambda text: text[:_MAX_SHOWN_LENGTH])
    allowed: str


@frozen
class Row:
    """Row of a sheet that describes one entity.

    Parameters
    ----------
    number
        Line number in the file, starting at 1.
    kind
        Type of the entity.
    name
        Name of the entity.
    remove
        Whether the row requests the removal of the entity.
    values
        Values by field of the entity; empty cells are omitted.
    """

    number: int
    kind: type[Entity]
    name: str
    remove: bool
    values: Mapping[str, Any]

    @property
    def key(self) -> EntityKey:
        """Key of the entity."""
        return EntityKey(self.kind.kind, self.name)


@frozen
class Sheet:
    """A well-formed sheet.

    Parameters
    ----------
    version
        Version of the configuration that the sheet was exported from.
    rows
        Rows in the order of the file.
    """

    version: int
    rows: tuple[Row, ...]


def parse_sheet(text: str) -> Result[Sheet, tuple[RowProblem, ...]]:
    r"""Return the sheet, or all problems of its format; never raise an exception.

    Examples
    --------
    >>> head = "# fireflydeck sheet, configuration 4"
    >>> parse_sheet(head + "\nkind,name,share\norganisation,museum,3\n").ok.rows[0].values
    {'share': 3}
    >>> parse_sheet(head + "\nkind,name,share\norganisation,museum,many\n").error
    (RowProblem(row=3, column='share', value='many', allowed='a whole number of up to 15 digits'),)
    """
    lines = text.removeprefix("\ufeff").splitlines()
    first_line = lines[0].strip('"') if lines else ""
    match = _FIRST_LINE_PATTERN.fullmatch(first_line)
    if match is None:
        return Error((RowProblem(1, "", first_line, _FIRST_LINE_ALLOWED),))
    try:
        records = _read_records("\n".join(lines[1:]))
    except csv.Error as error:
        return Error((RowProblem(0, "", str(error), "CSV separated by commas"),))
    if not records:
        return Error((RowProblem(_HEADER_LINE_NUMBER, "", "", "a row of column names"),))
    number, header = records[0]
    problems = tuple(_check_header(number, header))
    if problems:
        return Error(problems)
    return _parse_rows(int(match.group(1)), header, records[1:])


def _read_records(text: str) -> list[tuple[int, list[str]]]:
    reader = csv.reader(io.StringIO(text), strict=True)
    records = []
    number = _HEADER_LINE_NUMBER
    for cells in reader:
        stripped_cells = [cell.strip() for cell in cells]
        if any(stripped_cells) and not stripped_cells[0].startswith("#"):
            records.append((number, stripped_cells))
        number = reader.line_num + _HEADER_LINE_NUMBER
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
    first_row_numbers: dict[EntityKey, int] = {}
    for number, cells in records:
        row = _parse_row(number, header, cells, problems)
        if row is None:
            continue
        if row.key in first_row_numbers:
            allowed = f"each entity once; it is in row {first_row_numbers[row.key]}"
            problems.append(RowProblem(number, "name", row.name, allowed))
        first_row_numbers.setdefault(row.key, number)
        rows.append(row)
    return Error(tuple(problems)) if problems else Ok(Sheet(version, tuple(rows)))


def _parse_row(
    number: int, header: Sequence[str], cells: Sequence[str], problems: list[RowProblem]
) -> Row | None:
    if any(cells[len(header) :]):
        problems.append(RowProblem(number, "", ",".join(cells), f"{len(header)} cells"))
        return None
    cells_by_column = dict(zip(header, cells, strict=False))
    kind = SHEET_KINDS.get(cells_by_column.get("kind", ""))
    if kind is None:
        allowed = "one of " + ", ".join(SHEET_KINDS)
        problems.append(RowProblem(number, "kind", cells_by_column.get("kind", ""), allowed))
        return None
    name = cells_by_column.get("name", "")
    if not name:
        problems.append(RowProblem(number, "name", "", f"the name of a {kind.kind}"))
    remove = cells_by_column.get("remove", "")
    if remove not in ("", "yes", "no"):
        problems.append(RowProblem(number, "remove", remove, "yes, no or empty"))
    values = _parse_values(number, kind, cells_by_column, problems)
    return Row(number, kind, name, remove == "yes", values)


def _parse_values(
    number: int, kind: type[Entity], cells_by_column: Mapping[str, str], problems: list[RowProblem]
) -> dict[str, Any]:
    values = {}
    for name, text in cells_by_column.items():
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
