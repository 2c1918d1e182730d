"""Small deployment on loopback, shared by the scripts of the third review.

The entry processes are started with the command of the deploy file. The store, the VM interface and
the listeners of the workers run in the process of the script.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp
from aiohttp import web

from fireflydeck.platform.standin import StoreApp, VmApp
from fireflydeck.platform.standin.documents import put_configuration, settings_document

__all__ = ["EXIT_BROKEN", "EXIT_HELD", "EXIT_NOT_RUN", "Record", "Site", "is_trouble", "run_case"]

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

_ROOT = Path(__file__).resolve().parent.parent
_HOST = "127.0.0.1"
_CALLER_HOST = "paint.example"
_API_KEY = "key-1"
_DEADLINE_MS = 3000
_POLL_S = 0.05
_READY_TIMEOUT_S = 20.0
_CASE_TIMEOUT_S = 110.0
_CALL_TIMEOUT_S = 4.0


def is_trouble() -> bool:
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address() -> str:
    """Return an ``ip:port`` on loopback that no process listens on."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"


class Record:
    """Writer of ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began_s

    def note(self, what: str, **details: object) -> None:
        """Write one line."""
        fields = " ".join(f"{name}={value}" for name, value in details.items())
        print(f"{self.now_s():8.3f} {what} {fields}".rstrip(), file=self._file, flush=True)


class Site:
    """The platform's stand-ins and the entry processes.

    Parameters
    ----------
    record
        Where requests and answers are noted.
    configuration
        Options of the sample configuration of the project's stand-in.
    entries
        Number of entry processes.
    """

    def __init__(
        self, record: Record, *, entries: int = 2, configuration: dict[str, Any] | None = None
    ) -> None:
        self.record = record
        self.store = StoreApp()
        self.vms = VmApp()
        self.callers: list[str] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self._entries = entries
        self._configuration = configuration or {}
        self._runners: list[web.ServerRunner] = []
        self._readiness: list[str] = []
        self._session: aiohttp.ClientSession | None = None
        self._folder = Path(tempfile.mkdtemp(prefix="fireflydeck-review-"))

    async def __aenter__(self) -> "Site":
        """Start everything and wait until all entry processes are ready."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        store_address = await self.serve(self.store.handle)
        vm_address = await self.serve(self.vms.handle)
        put_configuration(self.store.rows, **self._configuration)
        for number in range(1, self._entries + 1):
            self._start_entry(f"entry-{number}", store_address, vm_address)
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                for address in self._readiness:
                    while not await self._is_ready(address):
                        await asyncio.sleep(_POLL_S)
        except TimeoutError:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes and listeners."""
        await self.close()

    async def close(self) -> None:
        """End all processes and listeners."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self._runners:
            await runner.cleanup()
        if self._session is not None:
            await self._session.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._folder, ignore_errors=True)
        else:
            print(self._folder)

    async def serve(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> str:
        """Listen on a free port of loopback and return its address."""
        return (await self.listen(handler))[1]

    async def listen(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], port: int = 0
    ) -> tuple[web.ServerRunner, str]:
        """Listen on a port of loopback and return the listener, to be closed, and its address."""
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, _HOST, port).start()
        self._runners.append(runner)
        host, own_port = runner.addresses[0][:2]
        return runner, f"{host}:{own_port}"

    async def submit(self, job_id: str, steps: list[dict[str, Any]]) -> int:
        """Hand a job in and return the status; 0 if there was no answer."""
        body = {"spec": f"work of {job_id}", "steps": steps}
        status, _ = await self._call("POST", job_id, body)
        return status

    async def state(self, job_id: str) -> str:
        """Return the state of a job as a client is shown it; empty if there was no answer."""
        status, body = await self._call("GET", job_id, None)
        return str(body.get("state", status)) if body else str(status)

    async def cancel(self, job_id: str) -> int:
        """Cancel a job and return the status; 0 if there was no answer."""
        return (await self._call("DELETE", job_id, None))[0]

    async def _call(
        self, method: str, job_id: str, body: dict[str, Any] | None
    ) -> tuple[int, dict[str, Any]]:
        headers = {
            "Host": _CALLER_HOST,
            "Api-Key": _API_KEY,
            "X-Deadline-Ms": str(_DEADLINE_MS),
        }
        url = f"http://{self.callers[0]}/swatch/{job_id}"
        status, answer = 0, {}
        try:
            async with self._session.request(method, url, json=body, headers=headers) as response:
                status, answer = response.status, json.loads(await response.read() or b"{}")
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.record.note("client", call=method, job=job_id, status=status, answer=answer)
        return status, answer

    async def _is_ready(self, address: str) -> bool:
        try:
            async with self._session.get(f"http://{address}/-/readiness") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _start_entry(self, name: str, store_address: str, vm_address: str) -> None:
        """Start an entry process with the command of the deploy file, on free ports."""
        deploy = tomllib.loads((_ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        caller, readiness, internal, metrics = (free_address() for _ in range(4))
        settings = self._folder / f"{name}.json"
        settings.write_bytes(
            settings_document(
                name=name,
                caller_address=caller,
                readiness_address=readiness,
                internal_port=int(internal.rpartition(":")[2]),
                store_address=store_address,
                vm_address=vm_address,
            )
        )
        role = deploy["roles"]["entry"]
        command = role["run"].replace(role["metrics"].partition("/")[0], metrics.partition(":")[2])
        environ = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(_ROOT / "target/deps"),
            "FIREFLYDECK_BOOT": str(settings),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes.append(
                subprocess.Popen(command.split(), cwd=_ROOT, env=environ, stdout=log, stderr=log)
            )
        self.callers.append(caller)
        self._readiness.append(readiness)


def run_case(play: Callable[[], Awaitable[int]]) -> int:
    """Play a case and return the exit code of the script."""

    async def play_in_time() -> int:
        async with asyncio.timeout(_CASE_TIMEOUT_S):
            return await play()

    try:
        return asyncio.run(play_in_time())
    except (OSError, TimeoutError, RuntimeError) as error:
        print(f"the case could not run: {error!r}")
        return EXIT_NOT_RUN
