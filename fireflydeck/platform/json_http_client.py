"""HTTP client for the JSON interface of one server of the platform."""

from collections.abc import Mapping
from typing import Any

import orjson
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.platform.fields import FIELD_ERRORS, header_text, split_address

__all__ = ["HttpAnswer", "JsonHttpClient"]

_MS_PER_S = 1000
_CONNECT_TIMEOUT_FRACTION = 0.5
"""Fraction of the read timeout that is allowed for establishing a connection."""
_KEEP_ALIVE_S = 10.0
_JSON_HEADERS = {"Content-Type": "application/json"}


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

    An exchange that fails after the connection was made retires the whole pool, since its idle
    connections may be unresponsive too. Later exchanges use a new pool, and the old one is closed
    once its last exchange has ended.

    Parameters
    ----------
    address
        ``ip:port``.
    failure_reason
        Reason of the failures that `exchange` returns.
    max_connections
        Maximum number of open connections.
    """

    def __init__(self, address: str, *, failure_reason: Reason, max_connections: int) -> None:
        self._address = address
        self._failure_reason = failure_reason
        self._max_connections = max_connections
        self._session: ClientSession | None = None
        self._in_flight: dict[ClientSession, int] = {}

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of the server."""
        return self._address

    async def close(self) -> None:
        """Close all connections, including those with exchanges in progress."""
        sessions = set(self._in_flight)
        if self._session is not None:
            sessions.add(self._session)
        self._session = None
        for session in sessions:
            await session.close()

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
            The answer, whatever its status, or a failure with `Ran.NO` if the connection could not
            be made and `Ran.UNKNOWN` otherwise.
        """
        unusable = self._invalid_request(headers or {})
        if unusable is not None:
            return Error(self._failure(step, Ran.NO, unusable))
        session = self._acquire_session()
        timeout = _client_timeout(timeout_ms, read_timeout_ms)
        payload = None if body is None else orjson.dumps(body)
        try:
            async with session.request(
                method,
                f"http://{self._address}{path}",
                data=payload,
                params=params,
                headers={**_JSON_HEADERS, **(headers or {})},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return Ok(await _read(response))
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return Error(self._failure(step, Ran.NO, error))
        except (ClientError, TimeoutError, OSError) as error:
            self._retire_session(session)
            return Error(self._failure(step, Ran.UNKNOWN, error))
        finally:
            await self._release_session(session)

    def _invalid_request(self, headers: Mapping[str, str]) -> Exception | None:
        """Return why no request with these headers can be sent to the address, or `None`."""
        try:
            split_address(self._address)
            for value in headers.values():
                header_text(value)
        except FIELD_ERRORS as error:
            return error
        return None

    def _acquire_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(
                    limit=self._max_connections,
                    keepalive_timeout=_KEEP_ALIVE_S,
                    use_dns_cache=False,
                ),
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
            )
        self._in_flight[self._session] = self._in_flight.get(self._session, 0) + 1
        return self._session

    def _retire_session(self, session: ClientSession) -> None:
        if self._session is session:
            self._session = None

    async def _release_session(self, session: ClientSession) -> None:
        self._in_flight[session] -= 1
        if self._in_flight[session] > 0:
            return
        del self._in_flight[session]
        if self._session is not session:
            await session.close()

    def _failure(self, step: str, ran: Ran, error: BaseException) -> Failure:
        detail = f"{type(error).__name__}: {error}"
        return Failure(self._failure_reason, step, peer=self._address, detail=detail, ran=ran)


def _client_timeout(timeout_ms: int, read_timeout_ms: int | None) -> ClientTimeout:
    read_timeout_s = (timeout_ms if read_timeout_ms is None else read_timeout_ms) / _MS_PER_S
    return ClientTimeout(
        total=timeout_ms / _MS_PER_S,
        sock_connect=read_timeout_s * _CONNECT_TIMEOUT_FRACTION,
        sock_read=read_timeout_s,
    )


async def _read(response: ClientResponse) -> HttpAnswer:
    content = await response.read()
    try:
        body = orjson.loads(content) if content else {}
    except orjson.JSONDecodeError:
        body = {}
    return HttpAnswer(response.status, body if isinstance(body, dict) else {})
