"""A fleet of gateways, dispatchers and controllers on loopback, with stand-in processes."""

import csv
import io
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx
from attrs import define, field

from fireflydeck.testing.ports import free_address
from fireflydeck.testing.processes import ManagedProcess, wait_until

__all__ = ["EntryVm", "Fleet", "running_fleet"]

OPERATOR_KEY = "operator-key-for-tests-only"
PEER_SECRET = "peer-secret-for-tests-only"
_ROLES = ("controller", "dispatcher", "gateway")


@define
class EntryVm:
    """An entry VM with a process for each of its three roles.

    Attributes
    ----------
    operators_address, callers_address
        Addresses of the HTTP interfaces of the controller and the gateway.
    processes
        Processes by role.
    """

    name: str
    operators_address: str
    callers_address: str
    processes: dict[str, ManagedProcess] = field(factory=dict)

    def __getitem__(self, role: str) -> ManagedProcess:
        return self.processes[role]


@define
class Fleet:
    """The processes of a fleet and calls to their interfaces.

    Attributes
    ----------
    platform
        Address of the platform's stand-in.
    platform_overrides
        Platform addresses that replace `platform`, by entry VM, or by entry VM and role as in
        ``entry-1-gateway``.
    has_backend_servers
        Whether the backend servers of the sheet are started.
    """

    directory: Path
    sheet: str
    entry_vms: list[EntryVm] = field(factory=list)
    platform: str = ""
    platform_overrides: dict[str, str] = field(factory=dict)
    has_backend_servers: bool = True
    _standins: list[ManagedProcess] = field(factory=list)
    _client: httpx.AsyncClient = field(factory=lambda: httpx.AsyncClient(timeout=60))

    async def start(self, entry_vms: int) -> None:
        """Start stand-ins and entry VMs, apply the sheet and wait until all processes use it."""
        self._start_standins()
        await self._wait_for_http(f"http://{self.platform}/vms")
        for number in range(1, entry_vms + 1):
            self.add_entry_vm(f"entry-{number}")
        await self.wait_until_converged()
        applied = await self.operator("POST", "/sheet/apply", content=self.sheet.encode())
        applied.raise_for_status()
        await self.wait_until_converged()

    def add_entry_vm(self, name: str) -> EntryVm:
        """Add an entry VM and start its three processes."""
        vm = EntryVm(name=name, operators_address=free_address(), callers_address=free_address())
        self.entry_vms.append(vm)
        for role in _ROLES:
            vm.processes[role] = self._process(vm, role)
            vm.processes[role].start()
        return vm

    def restart(self, vm: EntryVm, role: str) -> None:
        """Restart the process of a role, as the VM's init system does."""
        vm.processes[role].start()

    async def stop(self) -> bool:
        """Stop all running processes gracefully; return whether all their exit codes were 0."""
        running = [p for vm in self.entry_vms for p in vm.processes.values()]
        codes = []
        for processes in (running, self._standins):
            alive = [process for process in processes if process.returncode is None]
            for process in alive:
                process.resume()
                process.terminate()
            for process in alive:
                codes.append(await process.wait_for_exit())
        await self._client.aclose()
        return all(code == 0 for code in codes)

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for process in [p for vm in self.entry_vms for p in vm.processes.values()]:
            if process.returncode is None:
                process.kill()
        for process in self._standins:
            if process.returncode is None:
                process.kill()

    async def wait_until_converged(self, timeout_ms: int = 10_000) -> int:
        """Wait until all running processes are registered and fresh at the same version.

        Controllers must also be ready to commit, which requires that all others know them.

        Returns
        -------
        int
            That version of the configuration.
        """

        async def common_version() -> int:
            versions = set()
            for process in [p for vm in self.entry_vms for p in vm.processes.values()]:
                if process.returncode is not None:
                    continue
                state = await process.state()
                services = state["services"] if state else {}
                configuration = services.get("configuration", {})
                registered = services.get("membership", {}).get("registered")
                is_ready = services.get("commit-gate", {}).get("ready", True)
                if not (registered and is_ready and configuration.get("fresh")):
                    return 0
                versions.add(configuration["version"])
            return versions.pop() if len(versions) == 1 else 0

        return await wait_until(
            common_version,
            timeout_ms=timeout_ms,
            what="same configuration version in all processes",
        )

    async def operator(
        self, method: str, path: str, *, vm: EntryVm | None = None, **arguments: Any
    ) -> httpx.Response:
        """Send a request to the operators' interface, by default of the first entry VM."""
        address = (vm or self.entry_vms[0]).operators_address
        headers = {"authorization": f"Bearer {OPERATOR_KEY}", **arguments.pop("headers", {})}
        url = f"http://{address}{path}"
        return await self._client.request(method, url, headers=headers, **arguments)

    async def grant_key(self, organisation: str) -> str:
        """Grant an API key to an organisation, wait until all processes know it, and return it."""
        answer = await self.operator("POST", f"/organisations/{organisation}/keys")
        answer.raise_for_status()
        await self.wait_until_converged()
        return answer.json()["key"]

    async def call(
        self,
        path: str,
        *,
        key: str = "",
        vm: EntryVm | None = None,
        method: str = "POST",
        content: bytes = b"",
        **headers: str,
    ) -> httpx.Response:
        """Send a request to the callers' interface, by default of the first entry VM.

        Underscores in header names are replaced by hyphens.
        """
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            fields["authorization"] = f"Bearer {key}"
        url = f"http://{(vm or self.entry_vms[0]).callers_address}{path}"
        return await self._client.request(method, url, content=content, headers=fields)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Configure the faults that the platform's stand-in injects."""
        answer = await self._client.put(f"http://{self.platform}/faults", json=faults)
        answer.raise_for_status()

    async def backend(self, vm: str, path: str, method: str = "GET", **arguments: Any) -> Any:
        """Send a request directly to a backend server."""
        url = f"http://{self.address_of(vm)}{path}"
        return await self._client.request(method, url, **arguments)

    async def backend_log(self) -> list[dict[str, Any]]:
        """Return the log entries of all backend servers, each with the name of its VM."""
        entries = []
        for row in self._vm_rows():
            answer = await self.backend(row["name"], "/-/log")
            entries += [{"vm": row["name"], **entry} for entry in answer.json()["entries"]]
        return entries

    def address_of(self, vm: str) -> str:
        """Return the address of a backend server."""
        return next(row["address"] for row in self._vm_rows() if row["name"] == vm)

    def _vm_rows(self) -> list[dict[str, str]]:
        lines = [line for line in self.sheet.splitlines() if not line.startswith("#")]
        rows = csv.DictReader(io.StringIO("\n".join(lines)))
        return [row for row in rows if row["kind"] == "vm"]

    def _start_standins(self) -> None:
        self.platform = free_address()
        sheet_path = self.directory / "sheet.csv"
        sheet_path.write_text(self.sheet, encoding="utf-8")
        commands = {
            "platform": ["platform", f"--listen={self.platform}"],
            "backend-servers": ["backend_servers", f"--sheet={sheet_path}"],
        }
        if not self.has_backend_servers:
            del commands["backend-servers"]
        for name, command in commands.items():
            process = ManagedProcess(name, ["standin", *command], self.directory)
            process.start()
            self._standins.append(process)

    def _process(self, vm: EntryVm, role: str) -> ManagedProcess:
        admin = free_address()
        name = f"{vm.name}-{role}"
        platform = self.platform_overrides.get(name) or self.platform_overrides.get(
            vm.name, self.platform
        )
        arguments = [
            role,
            f"--name={vm.name}",
            f"--data-centre={vm.name}",
            f"--platform={platform}",
            f"--peer-listen={free_address()}",
            f"--admin-listen={admin}",
        ]
        environ = {"FIREFLYDECK_PEER_SECRET": PEER_SECRET}
        if role == "controller":
            arguments.append(f"--listen={vm.operators_address}")
            environ["FIREFLYDECK_OPERATOR_KEY"] = OPERATOR_KEY
        elif role == "gateway":
            arguments.append(f"--listen={vm.callers_address}")
        return ManagedProcess(name, arguments, self.directory, environ, admin)

    async def _wait_for_http(self, url: str) -> None:
        async def has_answered() -> bool:
            try:
                return (await self._client.get(url)).status_code < 500
            except httpx.HTTPError:
                return False

        await wait_until(has_answered, what=f"answer of {url}")


@asynccontextmanager
async def running_fleet(directory: Path, sheet: str, entry_vms: int = 2) -> AsyncIterator[Fleet]:
    """Run a fleet; stop its processes at the end, and kill any that are still running."""
    fleet = Fleet(directory=directory, sheet=sheet)
    try:
        await fleet.start(entry_vms)
        yield fleet
        with anyio.CancelScope(shield=True):
            await fleet.stop()
    finally:
        fleet.kill_all()
