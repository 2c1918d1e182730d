"""Fields of decoded JSON, checked for their type.

Each function raises `TypeError` or `ValueError` for another one.
"""

from typing import Any

__all__ = ["FIELD_ERRORS", "address", "integer", "number", "string", "strings", "whole"]

FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError, IndexError)
"""What decoding a document of another shape may raise."""


def string(value: Any) -> str:
    """Return a string."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.40} is not a string")
    return value


def strings(values: Any) -> list[str]:
    """Return a list of strings."""
    if not isinstance(values, list):
        raise TypeError(f"{values!r:.40} is not a list")
    return [string(value) for value in values]


def address(value: Any) -> str:
    """Return ``host:port``."""
    host, colon, port = string(value).rpartition(":")
    if not (host and colon and port.isdigit()):
        raise ValueError(f"{value!r:.40} is not an address")
    return value


def whole(value: Any) -> int:
    """Return a number that was written as a whole one."""
    if type(value) is not int:
        raise TypeError(f"{value!r:.40} is not a whole number")
    return value


def number(value: Any) -> float:
    """Return a number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r:.40} is not a number")
    return value


def integer(value: Any) -> int:
    """Return a number, cut down to a whole one."""
    return int(number(value))
