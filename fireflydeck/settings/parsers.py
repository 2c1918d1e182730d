"""Parsers for the values of settings; each of them raises `ValueError` for an invalid value."""

import ipaddress
from collections.abc import Callable

__all__ = [
    "choice_parser",
    "integer_parser",
    "parse_address",
    "parse_address_list",
    "parse_name",
    "parse_secret",
    "parse_text",
]

_MAX_PORT = 65_535
_MAX_NAME_LENGTH = 64
_MIN_SECRET_LENGTH = 16


def parse_address(value: str) -> str:
    """Return the value if it is an address of the form ``ip:port``.

    Examples
    --------
    >>> parse_address("127.0.0.1:8080")
    '127.0.0.1:8080'
    """
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError(value)
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= _MAX_PORT:
        raise ValueError(value)
    return value


def parse_address_list(value: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated list, which must not be empty.

    Examples
    --------
    >>> parse_address_list("127.0.0.1:1,127.0.0.1:2")
    ('127.0.0.1:1', '127.0.0.1:2')
    """
    return tuple(parse_address(part.strip()) for part in value.strip("()' ").split(","))


def integer_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for integers from `low` to `high`, both included."""

    def parse(value: str) -> int:
        number = int(value)
        if not low <= number <= high:
            raise ValueError(value)
        return number

    return parse


def choice_parser(*allowed: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given values."""

    def parse(value: str) -> str:
        if value not in allowed:
            raise ValueError(value)
        return value

    return parse


def parse_name(value: str) -> str:
    """Return the value if it is a name of 1 to 64 letters, digits, dots, underscores or hyphens."""
    alphanumeric = value.replace("-", "").replace("_", "").replace(".", "")
    if not alphanumeric.isalnum() or not alphanumeric.isascii() or len(value) > _MAX_NAME_LENGTH:
        raise ValueError(value)
    return value


def parse_secret(value: str) -> str:
    """Return the value if it has at least 16 characters."""
    if len(value) < _MIN_SECRET_LENGTH:
        raise ValueError
    return value


def parse_text(value: str) -> str:
    """Return the value unchanged."""
    return value
