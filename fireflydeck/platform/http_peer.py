"""HTTP exchanges with one peer of the platform."""

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

__all__ = ["HttpAnswer", "HttpPeer"]

_MS_PER_S = 1000
_CONNECT_SHARE = 0.5
"""Part of an exchange's timeout that may pass until the connection stands."""
_KEEP_ALIVE_S = 10.0
_JSON_HEADERS = {"Content-Type": "application/json"}


@frozen
class HttpAnswer:
    """Status and decoded JSON body of an answer; the body is empty if it is no object."""

    status: int
    body: Mapping[str, Any]


class HttpPeer:
    """A peer at one address, with its own pool of connections.

    After an exchange without an answer all idle connections are given up: they may be silent too.

    Parameters
    ----------
    address
        ``ip:port``.
    reason
        Reason of failures to reach the peer.
    connections
        The most connections at a time.
    """

    def __init__(self, address: str, *, reason: Reason, connections: int) -> None:
        self._address = address
        self._reason = reason
        self._connections = connections
        self._session: ClientSession | None = None
        self._in_flight: dict[ClientSession, int] = {}

    @property
    def address(self) -> str:
        """``ip:port`` of the peer."""
        return self._address

    async def close(self) -> None:
        """Close all connections."""
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
        silence_ms: int | None = None,
        body: Any = None,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpAnswer, Failure]:
        """Send one request and read the whole answer.

        Parameters
        ----------
        timeout_ms
            Bound of the whole exchange.
        silence_ms
            Longest time without a byte of the answer, for answers that may be long.

        Failures carry `Ran.NO` if the connection could not be made, `Ran.UNKNOWN` otherwise.
        """
        session = self._acquire()
        timeout = _client_timeout(timeout_ms, silence_ms)
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
            self._abandon(session)
            return Error(self._failure(step, Ran.UNKNOWN, error))
        finally:
            await self._release(session)

    def _acquire(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(
                    limit=self._connections, keepalive_timeout=_KEEP_ALIVE_S, use_dns_cache=False
                ),
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
            )
        self._in_flight[self._session] = self._in_flight.get(self._session, 0) + 1
        return self._session

    def _abandon(self, session: ClientSession) -> None:
        if self._session is session:
            self._session = None

    async def _release(self, session: ClientSession) -> None:
        self._in_flight[session] -= 1
        if self._in_flight[session] > 0:
            return
        del self._in_flight[session]
        if self._session is not session:
            await session.close()

    def _failure(self, step: str, ran: Ran, error: BaseException) -> Failure:
        detail = f"{type(error).__name__}: {error}"
        return Failure(self._reason, step, peer=self._address, detail=detail, ran=ran)


def _client_timeout(timeout_ms: int, silence_ms: int | None) -> ClientTimeout:
    silence_s = (timeout_ms if silence_ms is None else silence_ms) / _MS_PER_S
    return ClientTimeout(
        total=timeout_ms / _MS_PER_S,
        sock_connect=silence_s * _CONNECT_SHARE,
        sock_read=silence_s,
    )


async def _read(response: ClientResponse) -> HttpAnswer:
    content = await response.read()
    try:
        body = orjson.loads(content) if content else {}
    except orjson.JSONDecodeError:
        body = {}
    return HttpAnswer(response.status, body if isinstance(body, dict) else {})
