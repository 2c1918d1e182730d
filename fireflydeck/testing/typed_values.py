"""Check of decoded values against the declared types of their fields."""

import types
import typing
from typing import Any

import attrs

__all__ = ["mistyped_fields"]


def mistyped_fields(value: Any) -> list[str]:
    """Return the fields of an attrs value, at any depth, that don't have their declared type."""
    attrs.resolve_types(type(value))
    wrong = []
    for field in attrs.fields(type(value)):
        if not field.init:
            continue
        content = getattr(value, field.name)
        if not _matches(content, field.type):
            wrong.append(f"{type(value).__name__}.{field.name} = {content!r:.60}")
    return wrong


def _matches(content: Any, declared: Any) -> bool:
    origin, arguments = typing.get_origin(declared), typing.get_args(declared)
    if origin in (typing.Union, types.UnionType):
        return any(_matches(content, option) for option in arguments)
    if origin in (tuple, frozenset):
        return isinstance(content, origin) and _all_match(content, arguments[0])
    if declared is float:
        return type(content) in (int, float)
    if attrs.has(declared):
        return isinstance(content, declared) and not mistyped_fields(content)
    return type(content) is declared


def _all_match(contents: typing.Iterable[Any], declared: Any) -> bool:
    return all(_matches(content, declared) for content in contents)
