"""Parsing and formatting of entity fields; names and formats are those of a sheet's columns."""

import re
from collections.abc import Mapping
from typing import Any

from fireflydeck.cli.ctl_client import CtlError, ExitCode
from fireflydeck.core import MaintenanceWindow
from fireflydeck.sheet import COLUMNS, SHEET_KINDS

__all__ = ["format_entity", "is_flag_set", "parse_fields", "parse_version"]

_YES_TEXTS = ("True", "true", "yes")
_NO_TEXTS = ("False", "false", "no")


def parse_fields(kind: str, texts: Mapping[str, str]) -> dict[str, Any]:
    """Return the values of the given flags by field of the entity.

    Parameters
    ----------
    kind
        Kind of the entity.
    texts
        Text of each given flag, by the name of the sheet's column.

    Raises
    ------
    CtlError
        If there is no such column, or the text is not allowed in it.

    Examples
    --------
    >>> parse_fields("pool", {"max_unavailable": "2", "spare": "yes"})
    {'max_unavailable': 2, 'spare': True}
    """
    columns = COLUMNS[SHEET_KINDS[kind]]
    values = {}
    for name, text in texts.items():
        column = columns.get(name)
        if column is None:
            allowed = ", ".join(f"--{item.replace('_', '-')}" for item in columns)
            raise CtlError(ExitCode.USAGE, f"unknown flag --{name} of {kind}: use one of {allowed}")
        try:
            values[column.field] = column.cell.parse(_normalise_yes_no(str(text)))
        except ValueError:
            message = f"--{name}={text!r} is not allowed: {column.cell.allowed}"
            raise CtlError(ExitCode.USAGE, message) from None
    return values


def _normalise_yes_no(text: str) -> str:
    if text in _YES_TEXTS:
        return "yes"
    return "no" if text in _NO_TEXTS else text


def parse_version(text: str) -> int | None:
    """Return the version in an ``--if-version`` flag, or `None` if the text is empty.

    Raises
    ------
    CtlError
        If the text is not a whole number with at most 15 digits.
    """
    if not str(text):
        return None
    if not re.fullmatch(r"[0-9]{1,15}", str(text)):
        raise CtlError(ExitCode.USAGE, f"--if-version={text!r}: a whole number, 0 or more")
    return int(text)


def is_flag_set(flag: Any) -> bool:
    """Return whether a flag was given without a value or with the value yes."""
    return str(flag) in _YES_TEXTS


def format_entity(entity: Mapping[str, Any]) -> dict[str, Any]:
    """Return the entity's fields without its kind, and with times as text."""
    shown = {name: value for name, value in entity.items() if name != "kind"}
    if entity["kind"] == MaintenanceWindow.kind:
        columns = COLUMNS[MaintenanceWindow]
        for name in ("start", "end"):
            column = columns[name]
            shown[name] = column.cell.format(shown.pop(column.field))
    return shown
