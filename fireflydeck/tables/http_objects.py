"""HTTP client of the platform's object store."""

import httpx
from expression import Result

from fireflydeck.core import Failure
from fireflydeck.tables.http_client import Call, HttpClient, parse_json, quote_key
from fireflydeck.tables.interfaces import ObjectStore

__all__ = ["HttpObjectStore"]

_OK_OR_MISSING = frozenset({200, 404})


class HttpObjectStore(ObjectStore):
    """Object store over HTTP.

    Parameters
    ----------
    client
        Client with the shared connections.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def put(self, key: str, content: bytes) -> Result[None, Failure]:
        """Create or replace an object."""
        call = Call(
            step="objects.put",
            method="PUT",
            path=f"/objects/{quote_key(key)}",
            writes=True,
            content=content,
        )
        return await self._client.call(call, lambda _: None)

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return an object's content."""
        path = f"/objects/{quote_key(key)}"
        call = Call(step="objects.get", method="GET", path=path, accepted=_OK_OR_MISSING)
        return await self._client.call(call, _parse_content)

    async def list(self, prefix: str) -> Result[tuple[str, ...], Failure]:
        """Return the keys with a prefix, in order."""
        call = Call(step="objects.list", method="GET", path="/objects", params={"prefix": prefix})
        return await self._client.call(call, _parse_keys)


def _parse_content(response: httpx.Response) -> bytes | None:
    return None if response.status_code == httpx.codes.NOT_FOUND else response.content


def _parse_keys(response: httpx.Response) -> tuple[str, ...]:
    keys = parse_json(response)["keys"]
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError("keys are not a list of strings")
    return tuple(keys)
