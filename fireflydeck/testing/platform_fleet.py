"""Entry processes in front of stand-ins of the users' platform, on loopback."""

import json
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from aiohttp import web
from attrs import define, field

from fireflydeck.core import SystemClock
from fireflydeck.platform.standin import ServerApp, StoreApp, VmApp
from fireflydeck.standins.task_server import TaskServer
from fireflydeck.testing.fleet_builders import (
    CORES,
    configuration_document,
    put_operator_document,
    put_registration,
)
from fireflydeck.testing.processes import ManagedProcess

__all__ = ["PlatformFleet", "running_platform_fleet"]

_HOST = "127.0.0.1"
_BOUNDS = {
    "max_hold_ms": 6000,
    "stop_timeout_ms": 900,
    "lease_ms": 3000,
    "notice_ms": 4500,
    "grace_s": 6,
    "cancel_ms": 3000,
    "status_s": 120,
}


@define
class EntryProcess:
    """One entry process and the address at which it serves callers."""

    process: ManagedProcess
    address: str


@define
class PlatformFleet:
    """The stand-ins and the processes.

    Attributes
    ----------
    store
        The platform's store; its rows can be read and written directly.
    servers
        Backend servers by id.
    """

    directory: Path
    store: StoreApp = field(factory=StoreApp)
    vms: VmApp = field(factory=VmApp)
    servers: dict[str, TaskServer] = field(factory=dict)
    entries: list[EntryProcess] = field(factory=list)


@asynccontextmanager
async def running_platform_fleet(
    directory: Path, *, entries: int = 2, servers: int = 2
) -> AsyncIterator[PlatformFleet]:
    """Start everything; the processes are ended with the block."""
    fleet = PlatformFleet(directory)
    async with AsyncExitStack() as stack:
        store_address = await _serve(stack, fleet.store.handle)
        vm_address = await _serve(stack, fleet.vms.handle)
        put_operator_document(fleet.store.rows, "config", configuration_document())
        for number in range(1, servers + 1):
            server_id = f"i-{number}"
            server = TaskServer(SystemClock(), CORES)
            fleet.servers[server_id] = server
            address = await _serve(stack, ServerApp(server_id, server).handle)
            put_registration(fleet.store.rows, server_id, address=address)
        for number in range(1, entries + 1):
            entry = _entry_process(directory, f"entry-{number}", store_address, vm_address)
            fleet.entries.append(entry)
            entry.process.start()
            stack.callback(entry.process.kill)
        yield fleet


async def _serve(stack: AsyncExitStack, handler: object) -> str:
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, _HOST, 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def _entry_process(directory: Path, name: str, store_address: str, vm_address: str) -> EntryProcess:
    caller, readiness, internal, metrics = (_free_port() for _ in range(4))
    settings = {
        "node_name": name,
        "ip": _HOST,
        "zone": "zvolen",
        "listen_addresses": {
            "frontend": f"{_HOST}:{caller}",
            "readiness": f"{_HOST}:{readiness}",
        },
        "internal_port_range": [internal, internal],
        "heartbeat_ms": 1500,
        "limits": {"memory_mb": 300},
        "bounds": _BOUNDS,
        "platform": {"address": store_address, "transaction_ms": 6.0},
        "cloud_api": {"address": vm_address},
    }
    path = directory / f"{name}.json"
    path.write_text(json.dumps(settings))
    process = ManagedProcess(
        name,
        ["entry", f"--metrics_port={metrics}"],
        directory,
        environ={"FIREFLYDECK_BOOT": str(path)},
        admin=f"{_HOST}:{metrics}",
    )
    return EntryProcess(process, f"{_HOST}:{caller}")


def _free_port() -> int:
    with socket.socket() as listener:
        listener.bind((_HOST, 0))
        return listener.getsockname()[1]
