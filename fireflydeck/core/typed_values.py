"""Check of decoded values against the declared types of their fields."""

import types
import typing
from typing import Any

import attrs

__all__ = ["mistyped_fields"]

_PLAIN_TYPES = frozenset({bool, bytes, int, str, types.NoneType})


def mistyped_fields(value: Any) -> list[str]:
    """Return the fields of an attrs value, at any depth, that don't have their declared type."""
    wrong = []
    for field in attrs.fields(type(value)):
        if not field.init:
            continue
        content = getattr(value, field.name)
        if not _matches(content, field.type):
            wrong.append(f"{type(value).__name__}.{field.name}")
    return wrong


def _matches(content: Any, declared: Any) -> bool:
    if declared in _PLAIN_TYPES:
        return type(content) is declared
    if declared is float:
        return type(content) in (int, float)
    if typing.get_origin(declared) is not None:
        return _matches_generic(content, declared)
    if attrs.has(declared):
        return isinstance(content, declared) and not mistyped_fields(content)
    return type(content) is declared


def _matches_generic(content: Any, declared: Any) -> bool:
    """Return whether a value matches a union, or a container with the types of its items."""
    origin, arguments = typing.get_origin(declared), typing.get_args(declared)
    if origin in (typing.Union, types.UnionType):
        return any(_matches(content, option) for option in arguments)
    if not isinstance(content, origin):
        return False
    if origin is dict:
        return _all_match(content, arguments[0]) and _all_match(content.values(), arguments[1])
    return _all_match(content, arguments[0])


def _all_match(contents: typing.Iterable[Any], declared: Any) -> bool:
    return all(_matches(content, declared) for content in contents)
