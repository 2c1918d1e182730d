"""Graceful shutdown of backend servers, by their published protocol."""

import ssl
from abc import ABC, abstractmethod

import httpx
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Reason, Vm
from fireflydeck.core.converter import ConversionError, from_plain

__all__ = ["BackendControl", "BackendStatus", "HttpBackendControl"]

_TIMEOUT_S = 2.0


@frozen(kw_only=True)
class BackendStatus:
    """What a backend server says of itself.

    Parameters
    ----------
    running
        Tasks that run now.
    draining
        Whether it refuses new work.
    """

    running: int
    draining: bool


class BackendControl(ABC):
    """Begins and ends the graceful shutdown of backend servers; every call may be repeated."""

    @abstractmethod
    async def status(self, vm: Vm) -> Result[BackendStatus, Failure]:
        """Return the backend server's status."""

    @abstractmethod
    async def drain(self, vm: Vm) -> Result[None, Failure]:
        """Make it refuse new work and finish what runs."""

    @abstractmethod
    async def resume(self, vm: Vm) -> Result[None, Failure]:
        """Make it take new work again."""

    async def close(self) -> None:
        """Close open connections."""
        return


class HttpBackendControl(BackendControl):
    """Speaks HTTP to the backend servers.

    Parameters
    ----------
    transport
        Transport for tests; by default real connections.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport | None = None) -> None:
        # The servers speak plain HTTP; a context without certificates is cheap to make.
        no_certificates = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._client = httpx.AsyncClient(
            timeout=_TIMEOUT_S, transport=transport, trust_env=False, verify=no_certificates
        )

    async def status(self, vm: Vm) -> Result[BackendStatus, Failure]:
        """Return the backend server's status."""
        answer = await self._send("GET", vm, "/-/status")
        if answer.is_error():
            return Error(answer.error)
        try:
            return Ok(from_plain(answer.ok.json(), BackendStatus))
        except (ConversionError, ValueError) as error:
            return Error(_failure(Reason.ANSWER_INVALID, vm, "/-/status", str(error)))

    async def drain(self, vm: Vm) -> Result[None, Failure]:
        """Make it refuse new work and finish what runs."""
        return (await self._send("POST", vm, "/-/drain")).map(lambda _: None)

    async def resume(self, vm: Vm) -> Result[None, Failure]:
        """Make it take new work again."""
        return (await self._send("POST", vm, "/-/resume")).map(lambda _: None)

    async def close(self) -> None:
        """Close open connections."""
        await self._client.aclose()

    async def _send(self, method: str, vm: Vm, path: str) -> Result[httpx.Response, Failure]:
        url = f"http://{vm.address}{path}"
        try:
            answer = await self._client.request(method, url)
        except httpx.TransportError as error:
            detail = str(error) or type(error).__name__
            return Error(_failure(Reason.BACKEND_UNREACHABLE, vm, path, detail))
        if not answer.is_success:
            detail = f"HTTP status {answer.status_code}"
            return Error(_failure(Reason.ANSWER_INVALID, vm, path, detail))
        return Ok(answer)


def _failure(reason: Reason, vm: Vm, path: str, detail: str) -> Failure:
    return Failure(reason, step=f"backend{path}", peer=vm.address, detail=detail)
