"""Injection of planned faults from outside the processes."""

import anyio
from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.platform.standin import HttpFault
from fireflydeck.platform.standin.documents import put_registration
from fireflydeck.soak.fault_plan import FaultKind, PlannedFault
from fireflydeck.soak.operator_promises import LinkFault
from fireflydeck.standins.fault_proxy import Direction, FaultProxy, ProxyFault, ProxyMode
from fireflydeck.testing.platform_fleet import EntryProcess, PlatformFleet

__all__ = ["FaultInjector"]

_DELAY_MS = 120
_MAX_SILENCE_MS = 700
"""Longest time without answers before a restart; the holder misses at most two heartbeats."""
_NEW_CLOCK_MS = 1000
"""Clock of a new life; most deadlines for the former one lie far ahead of it or behind it."""
_STORE_CALL_INTERVAL_MS = 40
"""Approximate time between two calls to the store; converts a duration to a number of calls."""

_LINK_FAULTS = {
    "delayed": ProxyFault(mode=ProxyMode.DELAY, delay_ms=_DELAY_MS),
    "cut": ProxyFault(mode=ProxyMode.CUT),
    "silent": ProxyFault(mode=ProxyMode.FREEZE),
    "one-way": ProxyFault(mode=ProxyMode.HALF_OPEN, dropped=Direction.TO_CLIENT),
    "answers-lost": ProxyFault(mode=ProxyMode.DROP_ANSWERS),
}
_STORE_FAULTS = {
    FaultKind.STORE_REFUSES: HttpFault.UNAVAILABLE,
    FaultKind.STORE_ANSWERS_LOST: HttpFault.ANSWER_LOST,
    FaultKind.STORE_GARBAGE: HttpFault.GARBAGE,
}


@define(eq=False)
class FaultInjector:
    """Injects faults; several may be active at a time, and on a link the latest one applies.

    Parameters
    ----------
    store_links, server_links
        Proxies from the entry processes to the store and to the backend servers.
    server_link_faults
        Past faults of the links to backend servers.
    """

    fleet: PlatformFleet
    store_links: list[FaultProxy]
    server_links: list[FaultProxy]
    clock: Clock
    server_link_faults: list[LinkFault] = field(factory=list)
    _active_link_faults: dict[FaultProxy, PlannedFault] = field(factory=dict)
    _locks: dict[str, anyio.Lock] = field(factory=dict)

    async def inject(self, fault: PlannedFault) -> None:
        """Inject a fault and wait until it is over."""
        kind = fault.kind
        if kind in (FaultKind.KILL, FaultKind.RESTART):
            await self._restart_process(fault)
        elif kind == FaultKind.PAUSE:
            await self._pause(fault)
        elif kind == FaultKind.RELOAD:
            self._entry(fault).process.reload()
        elif kind.startswith("store-link-"):
            await self._apply_link_fault(self.store_links, fault, kind.removeprefix("store-link-"))
        elif kind.startswith("server-link-"):
            await self._apply_server_link_fault(fault)
        elif kind == FaultKind.STORE_HISTORY_LOST:
            self.fleet.store.rows.forget_history()
        elif kind == FaultKind.SERVER_REBORN:
            self._crash_server(fault)
        elif kind == FaultKind.SERVER_REBORN_LATE_ORDERS:
            await self._crash_server_with_late_orders(fault)
        else:
            count = fault.duration_ms // _STORE_CALL_INTERVAL_MS
            self.fleet.store.faults.next.extend([_STORE_FAULTS[kind]] * count)

    def _entry(self, fault: PlannedFault) -> EntryProcess:
        return self.fleet.entries[fault.target % len(self.fleet.entries)]

    async def _restart_process(self, fault: PlannedFault) -> None:
        process = self._entry(fault).process
        async with self._locks.setdefault(process.name, anyio.Lock()):
            if fault.kind == FaultKind.KILL:
                process.kill()
                await self.clock.sleep_ms(fault.duration_ms)
            else:
                process.terminate()
                await process.wait_for_exit()
            process.start()

    async def _pause(self, fault: PlannedFault) -> None:
        process = self._entry(fault).process
        process.pause()
        try:
            await self.clock.sleep_ms(fault.duration_ms)
        finally:
            process.resume()

    async def _apply_link_fault(
        self, links: list[FaultProxy], fault: PlannedFault, effect: str
    ) -> None:
        link = links[fault.target % len(links)]
        self._active_link_faults[link] = fault
        await link.set_fault(_LINK_FAULTS[effect])
        await self.clock.sleep_ms(fault.duration_ms)
        if self._active_link_faults.get(link) is fault:
            await link.set_fault(ProxyFault())

    async def _apply_server_link_fault(self, fault: PlannedFault) -> None:
        effect = fault.kind.removeprefix("server-link-")
        from_ms = self.clock.now_ms()
        await self._apply_link_fault(self.server_links, fault, effect)
        servers = list(self.fleet.servers)
        server_id = servers[fault.target % len(servers)]
        self.server_link_faults.append(LinkFault(server_id, from_ms, self.clock.now_ms()))

    async def _crash_server_with_late_orders(self, fault: PlannedFault) -> None:
        """Leave orders unanswered, restart the server, and let its new life carry them out."""
        apps = list(self.fleet.server_apps.values())
        app = apps[fault.target % len(apps)]
        app.are_orders_late = True
        await self.clock.sleep_ms(min(fault.duration_ms, _MAX_SILENCE_MS))
        app.are_orders_late = False
        self._crash_server(fault, clock_ms=_NEW_CLOCK_MS)
        await self.clock.sleep_ms(max(0, fault.duration_ms - _MAX_SILENCE_MS))
        app.deliver_late()

    def _crash_server(self, fault: PlannedFault, clock_ms: int | None = None) -> None:
        servers = list(self.fleet.servers.items())
        number = fault.target % len(servers)
        server_id, server = servers[number]
        server.crash(clock_ms=clock_ms)
        address = self.server_links[number].address
        put_registration(
            self.fleet.store.rows,
            server_id,
            address=address,
            born_ms=server.born_ms,
            data_centre=self.fleet.data_centres[server_id],
        )
