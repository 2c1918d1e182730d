"""Drivers of the table service's implementations, with the same faults, for contract tests."""

from abc import ABC, abstractmethod
from contextlib import asynccontextmanager

import anyio

from fireflydeck.standins.fault_proxy import ProxyFault, ProxyMode
from fireflydeck.standins.memory_tables import MemoryTables
from fireflydeck.standins.platform import PlatformFaults, PlatformStandIn
from fireflydeck.standins.runner import serve_fault_proxy, serve_platform
from fireflydeck.tables import Timeouts, open_platform
from fireflydeck.testing import FakeClock, FakeTableService, StoreFault

TIMEOUTS = Timeouts(connect_ms=2_000, read_ms=200, total_ms=5_000)


class Driver(ABC):
    """A table service with access to its rows and control of its faults."""

    def __init__(self, service, tables: MemoryTables):
        self.service = service
        self.tables = tables

    @abstractmethod
    async def inject_fault(self, fault: str) -> None:
        """Inject a fault, given by its name in the table of cases, for the next call."""

    @abstractmethod
    async def remove_fault(self) -> None:
        """Remove the fault and let delayed calls complete."""


class FakeDriver(Driver):
    def __init__(self):
        fake = FakeTableService()
        super().__init__(fake, fake.tables)

    async def inject_fault(self, fault):
        commit_fault = {
            "lost answer": StoreFault.ANSWER_LOST,
            "slow answer": StoreFault.ANSWER_LOST,
            "malformed answer": StoreFault.ANSWER_LOST,
            "rate limit": StoreFault.RATE_LIMITED,
        }.get(fault, StoreFault.OUTAGE)
        is_rate_limited = fault == "rate limit"
        self.service.next_commits = [commit_fault]
        self.service.next_reads = [
            StoreFault.RATE_LIMITED if is_rate_limited else StoreFault.OUTAGE
        ]

    async def remove_fault(self):
        self.service.next_commits = []
        self.service.next_reads = []


class HttpDriver(Driver):
    def __init__(self, service, stand_in, clock, proxy):
        super().__init__(service, stand_in.tables)
        self.stand_in = stand_in
        self.clock = clock
        self.proxy = proxy

    async def inject_fault(self, fault):
        platform_faults = {
            "outage": PlatformFaults(outage=True),
            "lost answer": PlatformFaults(lose_answers=1),
            "slow answer": PlatformFaults(delay_ms=1),
            "malformed answer": PlatformFaults(malformed=True),
            "rate limit": PlatformFaults(reads_per_s=0, writes_per_s=0),
        }
        proxy_faults = {
            "connection refused": ProxyFault(mode=ProxyMode.CUT),
            "answer dropped": ProxyFault(mode=ProxyMode.DROP_ANSWERS),
            "answer truncated": ProxyFault(mode=ProxyMode.TRUNCATE, truncate_bytes=10),
            "network frozen": ProxyFault(mode=ProxyMode.FREEZE),
        }
        if fault in platform_faults:
            self.stand_in.set_faults(platform_faults[fault])
        else:
            await self.proxy.set_fault(proxy_faults[fault])
        if fault == "connection refused":
            with anyio.fail_after(5):
                while self.proxy.connections:
                    await anyio.sleep(0.005)

    async def remove_fault(self):
        await self.proxy.set_fault(ProxyFault())
        await self.clock.advance_ms(1)


@asynccontextmanager
async def open_driver(kind: str):
    """Yield the driver of the implementation ``fake`` or ``http``."""
    if kind == "fake":
        yield FakeDriver()
        return
    clock = FakeClock()
    stand_in = PlatformStandIn(clock, lag_ms=0)
    async with serve_platform(stand_in) as address, serve_fault_proxy(address) as proxy:
        platform = open_platform(f"http://{proxy.address}", TIMEOUTS)
        yield HttpDriver(platform.tables, stand_in, clock, proxy)
        await platform.aclose()
