"""HTTP client for the JSON interface of one server of the platform."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import orjson
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.platform.fields import FIELD_ERRORS, header_text, split_address
from fireflydeck.platform.http_connection import ConnectionPool, RawAnswer

__all__ = ["HttpAnswer", "JsonHttpClient"]

_MS_PER_S = 1000
_CONNECT_TIMEOUT_FRACTION = 0.5
"""Fraction of the read timeout that is allowed for establishing a connection."""


@frozen
class HttpAnswer:
    """Status and decoded JSON body of an answer; the body is empty unless it is a JSON object."""

    status: int
    body: Mapping[str, Any]

    def text(self, name: str) -> str:
        """Return a text field of the body; empty if it is missing or no text."""
        value = self.body.get(name)
        return value if isinstance(value, str) else ""


class JsonHttpClient:
    """HTTP client that exchanges JSON with one address, with its own connection pool.

    An exchange that fails after the connection was made retires all connections, since the idle
    ones may be unresponsive too. Exchanges in progress on them are not interrupted.

    Parameters
    ----------
    address
        ``ip:port``.
    failure_reason
        Reason of the failures that `exchange` returns.
    max_connections
        Maximum number of connections in use.
    """

    def __init__(self, address: str, *, failure_reason: Reason, max_connections: int) -> None:
        self._address = address
        self._failure_reason = failure_reason
        self._max_connections = max_connections
        self._pool: ConnectionPool | None = None

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of the server."""
        return self._address

    async def close(self) -> None:
        """Close all connections, including those with exchanges in progress."""
        if self._pool is not None:
            self._pool.close()

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        step: str,
        timeout_ms: int,
        read_timeout_ms: int | None = None,
        body: Any = None,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpAnswer, Failure]:
        """Send one request and read the whole answer.

        Parameters
        ----------
        step
            Step that a failure names.
        timeout_ms
            Timeout of the whole exchange.
        read_timeout_ms
            Longest time without a byte of the answer, for answers that may be long; `None` for
            `timeout_ms`.
        body
            Value that is sent as JSON; `None` for no body.

        Returns
        -------
        Result[HttpAnswer, Failure]
            The answer, whatever its status, or a failure with `Ran.NO` if the request was not
            sent and `Ran.UNKNOWN` otherwise.
        """
        timeout_s = timeout_ms / _MS_PER_S
        read_timeout_s = timeout_s if read_timeout_ms is None else read_timeout_ms / _MS_PER_S
        try:
            request = self._encode_request(method, path, body, params, headers or {})
            pool = self._open_pool()
            connection = await pool.acquire(read_timeout_s * _CONNECT_TIMEOUT_FRACTION)
        except (OSError, *FIELD_ERRORS) as error:
            return Error(self._failure(step, Ran.NO, error))
        try:
            raw = await connection.exchange(
                request, timeout_s=timeout_s, read_timeout_s=read_timeout_s
            )
        except OSError as error:
            pool.retire()
            return Error(self._failure(step, Ran.UNKNOWN, error))
        finally:
            pool.release(connection)
        return Ok(_decode(raw))

    def _open_pool(self) -> ConnectionPool:
        if self._pool is None:
            host, port = split_address(self._address)
            self._pool = ConnectionPool(host, port, self._max_connections)
        return self._pool

    def _encode_request(
        self,
        method: str,
        path: str,
        body: Any,
        params: Mapping[str, str] | None,
        headers: Mapping[str, str],
    ) -> bytes:
        """Return the bytes of a request.

        Raises
        ------
        ValueError
            If the value of a header can't be sent.
        """
        target = f"{path}?{urlencode(params)}" if params else path
        content = b"" if body is None else orjson.dumps(body)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self._address}",
            "Content-Type: application/json",
            f"Content-Length: {len(content)}",
        ]
        lines += [f"{name}: {header_text(value)}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + content

    def _failure(self, step: str, ran: Ran, error: BaseException) -> Failure:
        detail = f"{type(error).__name__}: {error}"
        return Failure(self._failure_reason, step, peer=self._address, detail=detail, ran=ran)


def _decode(raw: RawAnswer) -> HttpAnswer:
    try:
        body = orjson.loads(raw.content) if raw.content else {}
    except orjson.JSONDecodeError:
        body = {}
    return HttpAnswer(raw.status, body if isinstance(body, dict) else {})
