"""Test support: controllers and operator interfaces that share a fake table service."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx

from fireflydeck.configuration import ConfigurationStore
from fireflydeck.controller import ConfigurationService, OperatorOptions, operator_app
from fireflydeck.core import (
    Configuration,
    ConfigurationChange,
    DataCentre,
    Organisation,
    Pool,
    Queue,
)
from fireflydeck.testing import FakeTableService, build_vm

KEY = "operators-key-of-the-tests"
MAX_BODY_BYTES = 100_000


class InstantClock:
    """Clock with a fixed time whose sleeps return immediately."""

    def now_ms(self) -> int:
        return 0

    def wall_ms(self) -> int:
        return 1_800_000_000_000

    async def sleep_ms(self, duration_ms: int) -> None:
        await anyio.lowlevel.checkpoint()


class OperatorSite:
    """One configuration store with any number of controllers."""

    def __init__(self) -> None:
        self.tables = FakeTableService()
        self.store = ConfigurationStore(self.tables, InstantClock())
        self.published: list[ConfigurationChange] = []
        self.snapshot: Configuration | None = None
        self.service = self.controller()
        self.client = self.connect(self.service)

    def controller(self) -> ConfigurationService:
        return ConfigurationService(self.store, self.tables, self.published.append)

    def controller_over(self, tables: FakeTableService) -> ConfigurationService:
        store = ConfigurationStore(tables, InstantClock())
        return ConfigurationService(store, tables, self.published.append)

    def connect(self, service: ConfigurationService, key: str = KEY) -> httpx.AsyncClient:
        options = OperatorOptions(operator_key=KEY, max_body_bytes=MAX_BODY_BYTES)
        snapshot = (lambda: self.snapshot) if self.snapshot else None
        transport = httpx.ASGITransport(operator_app(service, options, snapshot=snapshot))
        headers = {"authorization": f"Bearer {key}"} if key else {}
        return httpx.AsyncClient(transport=transport, base_url="http://c", headers=headers)

    async def load(self) -> Configuration:
        return (await self.store.load()).ok

    async def fill(self) -> None:
        entities = [
            DataCentre(name="dc-1"),
            DataCentre(name="dc-2"),
            Pool(name="records", max_unavailable=1),
            Pool(name="spare", spare=True),
            Queue(name="records", pool="records"),
            Organisation(name="museum", share=2, limit=8),
            *(
                build_vm(f"vm-{n}", address=f"127.0.0.1:{n}", data_centre=f"dc-{1 + n % 2}")
                for n in range(1, 5)
            ),
        ]
        result = await self.store.commit(Configuration(), puts=entities)
        assert result.is_ok()
        # The direct commit writes no allotment row; a change of the limit through the operator
        # interface does.
        answer = await self.client.put("/configuration/organisation/museum", json={"limit": 10})
        assert answer.status_code == 200


def on_site(case: Callable[[OperatorSite], Awaitable[Any]]) -> Any:
    """Run the test case on a site with a basic configuration."""

    async def run() -> Any:
        site = OperatorSite()
        await site.fill()
        return await case(site)

    return anyio.run(run)
