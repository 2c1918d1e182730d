"""Clients of the platform's three services over shared HTTP connections."""

from attrs import frozen

from fireflydeck.tables.http_client import HttpClient, Timeouts
from fireflydeck.tables.http_objects import HttpObjectStore
from fireflydeck.tables.http_tables import HttpTableService
from fireflydeck.tables.http_vm_list import HttpVmList
from fireflydeck.tables.interfaces import ObjectStore, TableService, VmList

__all__ = ["Platform", "open_platform"]


@frozen
class Platform:
    """Clients of the platform's services."""

    tables: TableService
    objects: ObjectStore
    vm_list: VmList
    _client: HttpClient | None = None

    async def aclose(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.aclose()


def open_platform(base_url: str, timeouts: Timeouts | None = None) -> Platform:
    """Return clients of the platform's services; nothing is sent before the first call.

    Parameters
    ----------
    base_url
        URL of the platform, such as ``http://127.0.0.1:7000``.
    timeouts
        Time limits of each call.
    """
    client = HttpClient(base_url, timeouts or Timeouts())
    return Platform(
        HttpTableService(client), HttpObjectStore(client), HttpVmList(client), client=client
    )
