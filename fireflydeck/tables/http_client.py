"""HTTP client of the platform, with a bounded connection pool and errors mapped to failures."""

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar
from urllib.parse import quote

import anyio
import httpx
from attrs import field, frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason

__all__ = ["Call", "HttpClient", "Timeouts", "parse_json", "quote_key"]

T = TypeVar("T")

_MS_PER_S = 1000
_MAX_CONNECTIONS = 8
# Shorter than the time after which servers close an idle connection.
_KEEP_ALIVE_S = 20
_DEFAULT_RETRY_AFTER_MS = 1000
_OK_STATUSES = frozenset({200})
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@frozen(kw_only=True)
class Timeouts:
    """Time limits of calls to the platform.

    Parameters
    ----------
    connect_ms
        For getting a connection, new or from the pool.
    read_ms
        For the next bytes of the answer.
    total_ms
        For the whole call.
    """

    connect_ms: int = 1_000
    read_ms: int = 3_000
    total_ms: int = 10_000


@frozen(kw_only=True)
class Call:
    """One HTTP call to the platform.

    Parameters
    ----------
    step
        Name of the step in a failure, such as ``store.get``.
    path
        Quoted path, relative to the base URL.
    accepted
        Statuses whose answers are parsed; all others become failures.
    writes
        Whether the call may change the platform's state.
    """

    step: str
    method: str
    path: str
    accepted: frozenset[int] = _OK_STATUSES
    writes: bool = False
    params: Mapping[str, str | int] = field(factory=dict)
    content: bytes = b""


class HttpClient:
    """HTTP/1.1 client whose connections to the platform are shared by the services.

    Parameters
    ----------
    base_url
        URL of the platform, such as ``http://127.0.0.1:7000``.
    timeouts
        Time limits of each call.
    """

    def __init__(self, base_url: str, timeouts: Timeouts) -> None:
        self._base_url = base_url.rstrip("/")
        self._total_s = timeouts.total_ms / _MS_PER_S
        connect_s = timeouts.connect_ms / _MS_PER_S
        read_s = timeouts.read_ms / _MS_PER_S
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(connect=connect_s, pool=connect_s, read=read_s, write=read_s),
            limits=httpx.Limits(
                max_connections=_MAX_CONNECTIONS,
                max_keepalive_connections=_MAX_CONNECTIONS,
                keepalive_expiry=_KEEP_ALIVE_S,
            ),
            # Plain HTTP skips loading the certificate authorities, which takes time and memory.
            verify=self._base_url.startswith("https:"),
            trust_env=False,
        )

    async def call(self, call: Call, parse: Callable[[httpx.Response], T]) -> Result[T, Failure]:
        """Send the call and return the parsed answer.

        Parameters
        ----------
        parse
            Converts an answer with an accepted status to the result; raises `ValueError`,
            `KeyError` or `TypeError` for a malformed one.
        """
        try:
            with anyio.fail_after(self._total_s):
                response = await self._send(call)
        except _NOT_SENT_ERRORS as error:
            return Error(self._unavailable(call, repr(error), Ran.NO))
        except (httpx.TransportError, TimeoutError) as error:
            return Error(self._unavailable(call, repr(error), _ran_after_sending(call)))
        if response.status_code not in call.accepted:
            return Error(self._refusal(call, response))
        try:
            return Ok(parse(response))
        except (ValueError, KeyError, TypeError) as error:
            detail = f"malformed answer: {error!r:.200}"
            return Error(self._unavailable(call, detail, _ran_after_sending(call)))

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _send(self, call: Call) -> httpx.Response:
        return await self._client.request(
            call.method,
            self._base_url + call.path,
            params=call.params or None,
            content=call.content or None,
        )

    def _refusal(self, call: Call, response: httpx.Response) -> Failure:
        if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
            return Failure(
                Reason.TOO_MANY_REQUESTS,
                step=call.step,
                peer=self._base_url,
                retry_after_ms=_retry_after_ms(response),
            )
        refused = response.status_code == httpx.codes.SERVICE_UNAVAILABLE
        ran = Ran.NO if refused else _ran_after_sending(call)
        return self._unavailable(call, f"status {response.status_code}", ran)

    def _unavailable(self, call: Call, detail: str, ran: Ran) -> Failure:
        return Failure(
            Reason.STORE_UNAVAILABLE, step=call.step, peer=self._base_url, detail=detail, ran=ran
        )


def parse_json(response: httpx.Response) -> dict[str, Any]:
    """Return the JSON object of an answer.

    Raises
    ------
    ValueError
        If the body is not a JSON object.
    """
    plain = json.loads(response.content)
    if not isinstance(plain, dict):
        raise ValueError("not a JSON object")
    return plain


def quote_key(key: str) -> str:
    """Return the key quoted as one path segment.

    Examples
    --------
    >>> quote_key("entity/vm/..")
    'entity%2Fvm%2F%2E%2E'
    """
    return quote(key, safe="").replace(".", "%2E")


def _ran_after_sending(call: Call) -> Ran:
    return Ran.UNKNOWN if call.writes else Ran.NO


def _retry_after_ms(response: httpx.Response) -> int:
    try:
        return max(0, int(response.headers.get("retry-after", ""))) * _MS_PER_S
    except ValueError:
        return _DEFAULT_RETRY_AFTER_MS
