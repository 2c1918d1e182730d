"""HTTP client of the platform's VM list."""

import httpx
from expression import Result

from fireflydeck.core import Failure
from fireflydeck.core.converter import from_plain
from fireflydeck.tables.http_client import Call, HttpClient, parse_json
from fireflydeck.tables.interfaces import ListedVm, VmList

__all__ = ["HttpVmList"]


class HttpVmList(VmList):
    """VM list over HTTP.

    Parameters
    ----------
    client
        Client with the shared connections.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def vms(self) -> Result[tuple[ListedVm, ...], Failure]:
        """Return the listed VMs."""
        call = Call(step="vms.list", method="GET", path="/vms")
        return await self._client.call(call, _parse_vms)


def _parse_vms(response: httpx.Response) -> tuple[ListedVm, ...]:
    return tuple(from_plain(vm, ListedVm) for vm in parse_json(response)["vms"])
