"""Hypothesis strategy for documents that differ from a valid one in a single part."""

from typing import Any

from hypothesis import strategies as st

__all__ = ["mutated"]

_INVALID_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    1.5,
    10**19,
    2**63 - 1,
    "",
    "text",
    "0",
    [],
    [[]],
    [1, 2, 3, 4, 5, 6],
    {},
    {"": None},
)


@st.composite
def mutated(draw: st.DrawFn, document: Any) -> Any:
    """Generate copies of a document in which one part has been replaced or removed."""
    paths = list(_paths(document))
    path = draw(st.sampled_from(paths))
    return _replace(document, path, draw)


def _paths(document: Any, path: tuple[Any, ...] = ()) -> Any:
    yield path
    if isinstance(document, dict):
        for key, value in document.items():
            yield from _paths(value, (*path, key))
    if isinstance(document, list | tuple):
        for index, value in enumerate(document):
            yield from _paths(value, (*path, index))


def _replace(document: Any, path: tuple[Any, ...], draw: st.DrawFn) -> Any:
    if not path:
        return draw(st.sampled_from(_INVALID_VALUES))
    key, rest = path[0], path[1:]
    if not rest and draw(st.booleans()):
        return _without(document, key)
    changed = _replace(document[key], rest, draw)
    if isinstance(document, dict):
        return {**document, key: changed}
    return [changed if index == key else value for index, value in enumerate(document)]


def _without(document: Any, key: Any) -> Any:
    if isinstance(document, dict):
        return {name: value for name, value in document.items() if name != key}
    return [value for index, value in enumerate(document) if index != key]
