"""Type and range checks for fields of decoded JSON.

Each function returns its argument, converted where its docstring says so, and raises `TypeError` or
`ValueError` if the argument has another type, form or range.
"""

import re
from ipaddress import IPv4Address
from typing import Any, TypeVar

__all__ = [
    "FIELD_ERRORS",
    "address",
    "amount",
    "exact_int",
    "header_text",
    "number",
    "split_address",
    "string",
    "strings",
    "truncated_int",
]

FIELD_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
"""Errors that decoding a document of an unexpected structure may raise.

`RecursionError` comes from the text of an error that contains a deeply nested value.
"""

_MAX_NUMBER = 10**15
"""Beyond any meaningful amount or time in milliseconds; integers in rows have at most 64 bits."""
_MAX_PORT = 65535
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_HEADER_PATTERN = re.compile(r"[!-~]+")
_SHOWN_CHARACTERS = 40
_Number = TypeVar("_Number", int, float)


def string(value: Any) -> str:
    """Return a string unchanged."""
    if not isinstance(value, str):
        raise TypeError(f"{_described(value)} is not a string")
    return value


def strings(values: Any) -> list[str]:
    """Return a list of strings as a new list."""
    if not isinstance(values, list):
        raise TypeError(f"{_described(values)} is not a list")
    return [string(value) for value in values]


def header_text(value: Any) -> str:
    """Return a string that can be sent as the value of an HTTP header unchanged."""
    if not _HEADER_PATTERN.fullmatch(string(value)):
        raise ValueError(f"{_described(value)} can't be sent in a header")
    return value


def address(value: Any) -> str:
    """Return an address of the form ``ip:port`` unchanged."""
    split_address(value)
    return value


def split_address(value: Any) -> tuple[str, int]:
    """Return the IPv4 address and the port of an address of the form ``ip:port``."""
    host, colon, port = string(value).rpartition(":")
    if not colon or not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"{_described(value)} has no valid port")
    return str(IPv4Address(host)), int(port)


def exact_int(value: Any) -> int:
    """Return an integer unchanged; booleans and floats are rejected, even integral ones."""
    if type(value) is not int:
        raise TypeError(f"{_described(value)} is not a whole number")
    return _in_range(value)


def amount(value: Any) -> int:
    """Return an integer that is not negative unchanged."""
    if exact_int(value) < 0:
        raise ValueError(f"{_described(value)} is negative")
    return value


def number(value: Any) -> float:
    """Return an integer or a float unchanged; booleans are rejected."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{_described(value)} is not a number")
    return _in_range(value)


def truncated_int(value: Any) -> int:
    """Return a number without its fractional part."""
    return int(number(value))


def _in_range(value: _Number) -> _Number:
    if not -_MAX_NUMBER <= value <= _MAX_NUMBER:
        raise ValueError(f"{_described(value)} is out of range")
    return value


def _described(value: Any) -> str:
    """Return a short text for an error; the content of lists and objects is left out."""
    if isinstance(value, list | dict):
        return f"a {type(value).__name__} of {len(value)}"
    return f"{value!r:.{_SHOWN_CHARACTERS}}"
