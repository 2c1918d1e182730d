"""Conversion of JSON request bodies to attrs objects."""

import json
from typing import Any, TypeVar

from attrs import evolve, fields_dict
from starlette.exceptions import HTTPException
from starlette.requests import Request

from fireflydeck.core.converter import ConversionError, from_plain, to_plain

__all__ = ["read_json", "read_object", "read_update"]

T = TypeVar("T")

_BAD_REQUEST = 400


async def read_json(request: Request) -> Any:
    """Return the parsed JSON body.

    Raises
    ------
    HTTPException
        With status 400 if the body is not JSON.
    """
    try:
        return json.loads(await request.body())
    except ValueError as error:
        raise HTTPException(_BAD_REQUEST, f"not JSON: {error}") from error


async def read_object(request: Request, cls: type[T]) -> T:
    """Return the body as an object of an attrs class.

    Raises
    ------
    HTTPException
        With status 400 if the body does not describe such an object.
    """
    try:
        return from_plain(await read_json(request), cls)
    except ConversionError as error:
        raise HTTPException(_BAD_REQUEST, str(error)) from error


async def read_update(request: Request, current: T) -> T:
    """Return a copy of an attrs object with the fields in the body replaced.

    Raises
    ------
    HTTPException
        With status 400 for an unknown field or a wrong type.
    """
    changes = await read_json(request)
    known_fields = fields_dict(type(current))
    if not isinstance(changes, dict) or not changes.keys() <= known_fields.keys():
        raise HTTPException(_BAD_REQUEST, f"fields are {', '.join(known_fields)}")
    try:
        return evolve(from_plain({**to_plain(current), **changes}, type(current)))
    except ConversionError as error:
        raise HTTPException(_BAD_REQUEST, str(error)) from error
