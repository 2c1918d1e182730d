"""Conversion between attrs value objects and plain data (JSON or msgpack).

Unknown fields are ignored, so that old and new versions of the program can exchange objects during
a rolling update. Values of the wrong type are rejected.
"""

from enum import StrEnum
from typing import Any, TypeVar

from attrs import frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError, StructureHandlerNotFoundError

from fireflydeck.core.configuration import ENTITY_TYPES
from fireflydeck.core.entities import Entity

__all__ = ["ConversionError", "from_plain", "to_plain"]

T = TypeVar("T")


@frozen
class ConversionError(ValueError):
    """Error for plain data that does not describe an object of the expected type.

    Parameters
    ----------
    expected
        Name of the expected type.
    detail
        Underlying error.
    """

    expected: str
    detail: str

    def __str__(self) -> str:
        return f"not a {self.expected}: {self.detail}"


def _require_type(value: Any, expected: type[T]) -> T:
    """Return the value unchanged; raise `TypeError` for another type, also for bool as int."""
    if type(value) is expected:
        return value
    is_bool = isinstance(value, bool)
    if not isinstance(value, expected) or (is_bool and expected is not bool):
        raise TypeError(f"{value!r:.60} is not of type {expected.__name__}")
    return value


def _structure_enum(value: Any, enum: type[StrEnum]) -> StrEnum:
    return enum(_require_type(value, str))


def _structure_entity(value: Any, _: type) -> Entity:
    entity_type = ENTITY_TYPES.get(value.get("kind", ""))
    if entity_type is None:
        raise ValueError(f"unknown kind of entity {value.get('kind')!r:.60}")
    return _CONVERTER.structure(value, entity_type)


def _unstructure_entity(entity: Entity) -> dict[str, Any]:
    return {"kind": entity.kind, **_CONVERTER.unstructure(entity, type(entity))}


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=False)
    for primitive in (bool, int, str, bytes):
        converter.register_structure_hook(primitive, _require_type)
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_unstructure_hook(StrEnum, lambda value: value.value)
    return converter


_CONVERTER = _make_converter()
_ENTITY_CONVERTER = _CONVERTER.copy()
_ENTITY_CONVERTER.register_structure_hook_func(lambda cls: cls is Entity, _structure_entity)
_ENTITY_CONVERTER.register_unstructure_hook_func(lambda cls: cls is Entity, _unstructure_entity)


def to_plain(value: Any, cls: type | None = None) -> Any:
    """Convert a value to plain data (maps, lists, strings, numbers, bytes).

    Parameters
    ----------
    value
        An attrs object.
    cls
        Declared type, if it differs from the type of the value. With `Entity`, the field `kind`
        is added.
    """
    return _ENTITY_CONVERTER.unstructure(value, cls or type(value))


def from_plain(plain: Any, cls: type[T]) -> T:
    """Convert plain data to an object of type `cls`.

    Raises
    ------
    ConversionError
        If a field is missing or has the wrong type.

    Examples
    --------
    >>> from fireflydeck.core.entities import Pool
    >>> from_plain(to_plain(Pool(name="records")), Pool)
    Pool(name='records', max_unavailable=1, spare=False)
    """
    try:
        return _ENTITY_CONVERTER.structure(plain, cls)
    except (
        BaseValidationError,
        StructureHandlerNotFoundError,
        TypeError,
        ValueError,
        KeyError,
        AttributeError,
    ) as error:
        raise ConversionError(cls.__name__, repr(error)) from error
