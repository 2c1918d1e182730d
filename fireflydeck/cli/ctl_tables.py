"""Text tables for the terminal of an operator, with a maximum width."""

from collections.abc import Mapping, Sequence
from typing import Any

__all__ = ["TABLE_WIDTH", "render_table"]

TABLE_WIDTH = 100
"""Maximum width of a line, in characters."""

_COLUMN_GAP = "  "
_TRUNCATION_MARK = "~"
_MIN_COLUMN_WIDTH = 4


def render_table(
    columns: Sequence[str], rows: Sequence[Mapping[str, Any]], width: int = TABLE_WIDTH
) -> str:
    """Return a table with a header line; cells that are too long are truncated and end in ``~``.

    Examples
    --------
    >>> print(render_table(["name", "share"], [{"name": "museum", "share": 2}]))
    NAME    SHARE
    museum  2
    >>> print(render_table(["name", "note"], [{"name": "a", "note": "much too long"}], width=12))
    NAME  NOTE
    a     much ~
    """
    lines = [[column.upper().replace("_", " ") for column in columns]]
    lines += [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = _shrink_widths(
        [max(len(line[n]) for line in lines) for n in range(len(columns))], width
    )
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        value = ", ".join(str(item) for item in value)
    return "".join(char if char.isprintable() else "?" for char in str(value))


def _shrink_widths(widths: list[int], width: int) -> list[int]:
    available = width - len(_COLUMN_GAP) * (len(widths) - 1)
    while sum(widths) > available and max(widths) > _MIN_COLUMN_WIDTH:
        longest = widths.index(max(widths))
        widths[longest] -= 1
    return widths


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    parts = [_truncate(cell, size).ljust(size) for cell, size in zip(cells, widths, strict=True)]
    return _COLUMN_GAP.join(parts).rstrip()


def _truncate(text: str, size: int) -> str:
    return text if len(text) <= size else text[: size - 1] + _TRUNCATION_MARK
