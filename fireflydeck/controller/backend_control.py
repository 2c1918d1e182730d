"""Client of the backend servers' HTTP interface for graceful shutdown."""

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
    """Status that a backend server reports.

    Parameters
    ----------
    running
        Number of running tasks.
    draining
        Whether the backend server refuses new tasks.
    """

    running: int
    draining: bool


class BackendControl(ABC):
    """Begins and cancels the graceful shutdown of backend servers; all calls are idempotent."""

    @abstractmethod
    async def status(self, vm: Vm) -> Result[BackendStatus, Failure]:
        """Return the status of the backend server on the VM."""

    @abstractmethod
    async def drain(self, vm: Vm) -> Result[None, Failure]:
        """Make the backend server refuse new tasks and finish the running ones."""

    @abstractmethod
    async def resume(self, vm: Vm) -> Result[None, Failure]:
        """Make the backend server accept new tasks again."""

    async def close(self) -> None:
        """Close all connections."""
        return


class HttpBackendControl(BackendControl):
    """Controls backend servers over HTTP.

    Parameters
    ----------
    transport
        HTTP transport, replaced in tests; by default real connections.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport | None = None) -> None:
        # The backend servers use plain HTTP. An empty TLS context saves loading the system's
        # certificates.
        empty_tls_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._client = httpx.AsyncClient(
            timeout=_TIMEOUT_S, transport=transport, trust_env=False, verify=empty_tls_context
        )

    async def status(self, vm: Vm) -> Result[BackendStatus, Failure]:
        """Return the status of the backend server on the VM."""
        answer = await self._send("GET", vm, "/-/status")
        if answer.is_error():
            return Error(answer.error)
        try:
            return Ok(from_plain(answer.ok.json(), BackendStatus))
        except (ConversionError, ValueError) as error:
            return Error(_failure(Reason.ANSWER_INVALID, vm, "/-/status", str(error)))

    async def drain(self, vm: Vm) -> Result[None, Failure]:
        """Make the backend server refuse new tasks and finish the running ones."""
        return (await self._send("POST", vm, "/-/drain")).map(lambda _: None)

    async def resume(self, vm: Vm) -> Result[None, Failure]:
        """Make the backend server accept new tasks again."""
        return (await self._send("POST", vm, "/-/resume")).map(lambda _: None)

    async def close(self) -> None:
        """Close all connections."""
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
