"""Reading of JSON request bodies into value objects."""

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
    """Return the body's plain data.

    Raises
    ------
    HTTPException
        With status 400 if it is not JSON.
    """
    try:
        return json.loads(await request.body())
    except ValueError as error:
        raise HTTPException(_BAD_REQUEST, f"not JSON: {error}") from error


async def read_object(request: Request, cls: type[T]) -> T:
    """Return the body as an attrs object.

    Raises
    ------
    HTTPException
        With status 400 if it does not describe one.
    """
    try:
        return from_plain(await read_json(request), cls)
    except ConversionError as error:
        raise HTTPException(_BAD_REQUEST, str(error)) from error


async def read_update(request: Request, current: T) -> T:
    """Return the current attrs object with the fields that the body names replaced.

    Raises
    ------
    HTTPException
        With status 400 for an unknown field or a wrong type.
    """
    changes = await read_json(request)
    known = fields_dict(type(current))
    if not isinstance(changes, dict) or not changes.keys() <= known.keys():
        raise HTTPException(_BAD_REQUEST, f"fields are {', '.join(known)}")
    try:
        return evolve(from_plain({**to_plain(current), **changes}, type(current)))
    except ConversionError as error:
        raise HTTPException(_BAD_REQUEST, str(error)) from error
