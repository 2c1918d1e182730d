"""Type checks for fields of decoded JSON.

Each function returns its argument, converted where its docstring says so, and raises `TypeError` or
`ValueError` if the argument has another type or form.
"""

from typing import Any

__all__ = ["FIELD_ERRORS", "address", "exact_int", "number", "string", "strings", "truncated_int"]

FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError, IndexError)
"""Errors that decoding a document of an unexpected structure may raise."""


def string(value: Any) -> str:
    """Return a string unchanged."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.40} is not a string")
    return value


def strings(values: Any) -> list[str]:
    """Return a list of strings as a new list."""
    if not isinstance(values, list):
        raise TypeError(f"{values!r:.40} is not a list")
    return [string(value) for value in values]


def address(value: Any) -> str:
    """Return an address of the form ``host:port`` unchanged."""
    host, colon, port = string(value).rpartition(":")
    if not (host and colon and port.isdigit()):
        raise ValueError(f"{value!r:.40} is not an address")
    return value


def exact_int(value: Any) -> int:
    """Return an integer unchanged; booleans and floats are rejected, even integral ones."""
    if type(value) is not int:
        raise TypeError(f"{value!r:.40} is not a whole number")
    return value


def number(value: Any) -> float:
    """Return an integer or a float unchanged; booleans are rejected."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r:.40} is not a number")
    return value


def truncated_int(value: Any) -> int:
    """Return a number without its fractional part."""
    return int(number(value))
