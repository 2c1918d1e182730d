"""A fleet of entry processes on loopback, with stand-ins for the platform in this process."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import httpx
from aiohttp import web
from attrs import define, field

from fireflydeck.core import SystemClock
from fireflydeck.platform.standin import BackendServerApp, StoreApp, VmApp
from fireflydeck.platform.standin.documents import (
    put_configuration,
    put_registration,
    settings_document,
)
from fireflydeck.standins.task_server import TaskServer
from fireflydeck.testing.job_builders import (
    SERVER_CAPACITY,
)
from fireflydeck.testing.ports import free_address
from fireflydeck.testing.processes import ManagedProcess, wait_until

__all__ = ["EntryProcess", "LinkFactory", "PlatformFleet", "running_platform_fleet"]

LinkFactory = Callable[[str, str], Awaitable[str]]
"""Maps a link name and the address of a peer to the address at which the peer is reached."""

_HOST = "127.0.0.1"
_OK = 200


@define
class EntryProcess:
    """An entry process.

    Attributes
    ----------
    address
        Address of the callers' interface.
    readiness_address
        Address of the readiness endpoint.
    peer_address
        Address for the other entry processes.
    """

    process: ManagedProcess
    address: str
    readiness_address: str
    peer_address: str = ""

    async def is_ready(self) -> bool:
        """Return whether the process serves callers.

        Raises
        ------
        RuntimeError
            If the process has exited; the message contains its log.
        """
        if self.process.returncode is not None:
            log = self.process.log_path.read_text(encoding="utf-8", errors="replace")
            raise RuntimeError(
                f"{self.process.name} exited with code {self.process.returncode}\n{log}"
            )
        try:
            async with httpx.AsyncClient() as client:
                answer = await client.get(f"http://{self.readiness_address}/-/readiness")
        except httpx.TransportError:
            return False
        return answer.status_code == _OK


@define
class PlatformFleet:
    """Stand-ins of the platform and entry processes.

    Attributes
    ----------
    store
        The platform's store; its rows can be read and written directly.
    servers
        Backend servers, by id.
    server_apps
        HTTP interfaces of the backend servers, by id.
    data_centres
        Data centre of each backend server, by the id of the server.
    """

    directory: Path
    store: StoreApp = field(factory=StoreApp)
    vms: VmApp = field(factory=VmApp)
    servers: dict[str, TaskServer] = field(factory=dict)
    server_apps: dict[str, BackendServerApp] = field(factory=dict)
    data_centres: dict[str, str] = field(factory=dict)
    entries: list[EntryProcess] = field(factory=list)


@asynccontextmanager
async def running_platform_fleet(
    directory: Path,
    *,
    entries: int = 2,
    servers: int = 2,
    data_centres: tuple[str, ...] = ("zvolen",),
    link: LinkFactory | None = None,
    prepare: Callable[["PlatformFleet"], None] | None = None,
    limits: Mapping[str, float] | None = None,
) -> AsyncIterator[PlatformFleet]:
    """Start the fleet and wait until it is ready; kill the entry processes at the end.

    Parameters
    ----------
    data_centres
        Data centres to which the backend servers are assigned, round-robin.
    link
        Creates the link ``store-N`` from entry process N to the store and the link ``server-N``
        from all entry processes to backend server N; by default the connections are direct.
    prepare
        Called with the fleet before its entry processes start.
    limits
        Limits in the settings files of the entry processes; they replace the sample ones.
    """
    connect = link or _connect_directly
    fleet = PlatformFleet(directory)
    async with AsyncExitStack() as stack:
        store_address = await _serve(stack, fleet.store.handle)
        vm_address = await _serve(stack, fleet.vms.handle)
        put_configuration(fleet.store.rows)
        for number in range(1, servers + 1):
            server_id = f"i-{number}"
            server = TaskServer(SystemClock(), SERVER_CAPACITY, name=server_id)
            fleet.servers[server_id] = server
            app = fleet.server_apps[server_id] = BackendServerApp(server_id, server)
            own_address = await _serve(stack, app.handle)
            address = await connect(f"server-{number}", own_address)
            data_centre = data_centres[(number - 1) % len(data_centres)]
            fleet.data_centres[server_id] = data_centre
            put_registration(fleet.store.rows, server_id, address=address, data_centre=data_centre)
        if prepare is not None:
            prepare(fleet)
        for number in range(1, entries + 1):
            address = await connect(f"store-{number}", store_address)
            entry = _entry_process(directory, f"entry-{number}", address, vm_address, limits or {})
            fleet.entries.append(entry)
            entry.process.start()
            stack.callback(entry.process.kill)
        for entry in fleet.entries:
            await wait_until(entry.is_ready, what=f"readiness of {entry.process.name}")
        yield fleet


async def _connect_directly(_: str, address: str) -> str:
    return address


async def _serve(stack: AsyncExitStack, handler: object) -> str:
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, _HOST, 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def _entry_process(
    directory: Path,
    name: str,
    store_address: str,
    vm_address: str,
    limits: Mapping[str, float],
) -> EntryProcess:
    caller, readiness, internal, metrics = (free_address() for _ in range(4))
    settings = settings_document(
        name=name,
        caller_address=caller,
        readiness_address=readiness,
        internal_port=_port(internal),
        store_address=store_address,
        vm_address=vm_address,
        limits=limits,
    )
    path = directory / f"{name}.json"
    path.write_bytes(settings)
    process = ManagedProcess(
        name,
        ["entry", f"--metrics_port={_port(metrics)}", "--speculative_copies=True"],
        directory,
        environ={"FIREFLYDECK_BOOT": str(path)},
        admin=metrics,
    )
    return EntryProcess(process, caller, readiness, internal)


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
