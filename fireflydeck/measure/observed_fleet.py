"""Fleet with counters of the resource use of each process."""

import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.measure.counting_relay import CountingRelay
from fireflydeck.measure.fleet_sheet import FleetSize, build_fleet_sheet
from fireflydeck.measure.process_usage import read_usage
from fireflydeck.testing.fleet import Fleet

__all__ = ["ROLES", "ObservedFleet", "RoleUse", "observed_fleet"]

ROLES = ("gateway", "dispatcher", "controller")
_START_TIMEOUT_MS = 60_000


@frozen(kw_only=True)
class RoleUse:
    """Resource use of one process in a period, or since its start.

    Parameters
    ----------
    platform_bytes, peer_bytes
        Payload sent and received, in exchange with the platform and with peers.
    reads, writes
        Number of calls to the platform.
    """

    seconds: float
    processor_s: float
    resident_mb: float
    platform_bytes: int
    peer_bytes: int
    reads: int
    writes: int

    def since(self, earlier: "RoleUse") -> "RoleUse":
        """Return the use since an earlier moment; the memory is the current value."""
        return RoleUse(
            seconds=self.seconds - earlier.seconds,
            processor_s=self.processor_s - earlier.processor_s,
            resident_mb=self.resident_mb,
            platform_bytes=self.platform_bytes - earlier.platform_bytes,
            peer_bytes=self.peer_bytes - earlier.peer_bytes,
            reads=self.reads - earlier.reads,
            writes=self.writes - earlier.writes,
        )


@frozen
class ObservedFleet:
    """Running fleet with a relay for each of its processes."""

    fleet: Fleet
    relays: Mapping[str, CountingRelay]

    async def uses(self) -> dict[str, RoleUse]:
        """Return the total use of each process, by entry VM and role."""
        uses = {}
        for vm in self.fleet.entry_vms:
            for role in ROLES:
                name = f"{vm.name}-{role}"
                process, relay = vm[role], self.relays[name]
                usage, now_s = read_usage(process.pid), anyio.current_time()
                counts = relay.bytes_up + relay.bytes_down, relay.reads, relay.writes
                state = await process.state() or {}
                uses[name] = RoleUse(
                    seconds=now_s,
                    processor_s=usage.processor_s,
                    resident_mb=usage.resident_mb,
                    platform_bytes=counts[0],
                    peer_bytes=_peer_bytes(state),
                    reads=counts[1],
                    writes=counts[2],
                )
        return uses

    async def use_during(self, seconds: float) -> dict[str, RoleUse]:
        """Wait and return the use of each process during the wait."""
        before = await self.uses()
        await anyio.sleep(seconds)
        after = await self.uses()
        return {name: use.since(before[name]) for name, use in after.items()}


def _peer_bytes(state: dict) -> int:
    services = state.get("services", {})
    parts = [services.get("peer-listener", {}), *services.get("peers", [])]
    return sum(part.get("bytes_sent", 0) + part.get("bytes_received", 0) for part in parts)


@asynccontextmanager
async def observed_fleet(
    size: FleetSize, entry_vms: int, *, has_backend_servers: bool = True
) -> AsyncIterator[ObservedFleet]:
    """Run stand-ins, relays and entry VMs with a configuration of the given size.

    Yields once every process has applied the configuration.
    """
    with tempfile.TemporaryDirectory(prefix="fireflydeck-measure-") as directory:
        fleet = Fleet(
            directory=Path(directory),
            sheet=build_fleet_sheet(size),
            has_backend_servers=has_backend_servers,
        )
        async with anyio.create_task_group() as tasks:
            relays = await _start_relays(fleet, entry_vms, tasks)
            try:
                await fleet.start(entry_vms)
                await fleet.wait_until_converged(_START_TIMEOUT_MS)
                yield ObservedFleet(fleet, relays)
                with anyio.CancelScope(shield=True):
                    await fleet.stop()
            finally:
                fleet.kill_all()
                tasks.cancel_scope.cancel()


async def _start_relays(fleet: Fleet, entry_vms: int, tasks: TaskGroup) -> dict[str, CountingRelay]:
    relays = {}
    for number in range(1, entry_vms + 1):
        for role in ROLES:
            name = f"entry-{number}-{role}"
            relays[name] = CountingRelay(lambda: fleet.platform)
            await relays[name].start(tasks)
            fleet.platform_overrides[name] = relays[name].address
    return relays
