"""Entry processes on loopback with stand-ins of the platform, for the cases of the review."""

import asyncio
import contextlib
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from aiohttp import web
from attrs import define, evolve, field

from fireflydeck.core import SystemClock
from fireflydeck.core.placement import Resources
from fireflydeck.ownership.records import LEASE_ROW, decode_lease
from fireflydeck.platform.standin import BackendServerApp, StoreApp, VmApp
from fireflydeck.platform.standin.documents import (
    CALLER_HEADERS,
    JOB_PATH_PREFIX,
    put_registration,
    settings_document,
)
from fireflydeck.standins.run_record import RunRecord
from fireflydeck.standins.task_server import TaskServer

__all__ = [
    "CAPACITY",
    "EXIT_BROKEN",
    "EXIT_HELD",
    "EXIT_NOT_RUN",
    "HOST",
    "Entry",
    "Fleet",
    "Record",
    "main",
    "running_fleet",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CAPACITY = Resources(32_000, 65_536, 0)
"""Capacity of a backend server of the users' sites."""
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

_OK = 200
_LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_open_files": 4100,
    "link_mbps": 1000.0,
}
"""Limits of an entry VM in the sample of the settings file."""
_MAX_CASE_S = 110.0
"""Time for a case, so that it and the end of its processes take less than 120 s."""
_READY_TIMEOUT_S = 15.0
_POLL_S = 0.02
_MS_PER_S = 1000
_CALL_TIMEOUT_S = 3.0
_MAX_SUBMISSIONS = 6
_RETRY_S = 0.5
_DATA_CENTRE = "zvolen"
_FAR_DATA_CENTRE = "banska"
_ONE_WAY_MS = 1.4
"""Delay of a link between two data centres of the users' sites."""
_PAGE_RUNS = 500
"""Number of ended runs that a backend server lists in one answer."""


_FIRST_PORT = 24_000
_PORT_COUNT = 7_000
"""Number of ports to choose from; all are below the system's range of ephemeral ports."""
_first_offset = os.getpid() * 89 % _PORT_COUNT
_ports = iter(range(_FIRST_PORT + _first_offset, _FIRST_PORT + _first_offset + _PORT_COUNT // 8))


class CaseNotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class PagingTaskServer(TaskServer):
    """Backend server that lists at most 500 ended runs at a time, the oldest first.

    Attributes
    ----------
    listed_ms
        Time at which an answer first listed the end of a run, by task and run.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.listed_ms: dict[tuple[str, int], int] = {}

    def answer_heartbeat(self, *args: Any) -> Any:
        """Return the report with the first page of the ended runs."""
        report = super().answer_heartbeat(*args)
        if report is None:
            return None
        page = report.ended[:_PAGE_RUNS]
        for ended in page:
            self.listed_ms.setdefault((ended.task, ended.run), now_ms())
        return evolve(report, ended=page)


class Record:
    """Log of what was sent, answered and run, written to `record.txt` beside the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start of the case."""
        line = f"{time.monotonic() - self._started_s:8.3f} s  {text}"
        print(line, file=self._file, flush=True)

    def write_runs(self, runs: list[RunRecord], first_ms: int) -> None:
        """Write the runs, with their times relative to `first_ms`."""
        for run in sorted(runs, key=lambda item: item.started_ms):
            ended = "-" if run.ended_ms is None else str(run.ended_ms - first_ms)
            end = run.end.value if run.end else "none"
            self.write(
                f"run {run.task} number {run.run} on {run.server}: started at "
                f"{run.started_ms - first_ms} ms, ended at {ended} ms: {end}"
            )


@define(eq=False)
class Entry:
    """An entry process, started with the command of the deploy file."""

    name: str
    address: str
    readiness: str
    metrics: str
    settings: Path
    _process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        port = self.metrics.rpartition(":")[2]
        command = deploy["roles"]["entry"]["run"].replace("=7001", f"={port}")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "FIREFLYDECK_BOOT": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.settings.with_suffix(".log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *shlex.split(command), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process if it runs, and wait for its exit."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


@define(eq=False)
class Fleet:
    """Entry processes and the stand-ins that they use."""

    store: StoreApp
    record: Record
    session: aiohttp.ClientSession
    servers: dict[str, TaskServer] = field(factory=dict)
    entries: list[Entry] = field(factory=list)

    async def call(
        self, entry: Entry, method: str, job_id: str, document: Any = None, prefix: str = ""
    ) -> tuple[int, dict[str, Any]]:
        """Send a caller's request; the status is 0 without an answer."""
        url = f"http://{entry.address}{prefix or JOB_PATH_PREFIX}{job_id}"
        data = None if document is None else orjson.dumps(document)
        try:
            async with self.session.request(
                method, url, data=data, headers=CALLER_HEADERS
            ) as answer:
                content = await answer.read()
                status, body = answer.status, orjson.loads(content) if content else {}
        except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as error:
            status, body = 0, {"error": type(error).__name__}
        self.record.write(f"{method} {job_id} to {entry.name}: {status} {body}")
        return status, body

    async def submit(self, job_id: str, document: Any, prefix: str = "") -> None:
        """Submit a job, and repeat that for a time until it is accepted."""
        for number in range(_MAX_SUBMISSIONS):
            entry = self.entries[number % len(self.entries)]
            status, _ = await self.call(entry, "POST", job_id, document, prefix)
            if status == _OK:
                return
            await asyncio.sleep(_RETRY_S)
        raise CaseNotRunError(f"job {job_id} was not accepted: {status}")

    def leader(self) -> Entry | None:
        """Return the process that holds the lease, by the lease's row in the store."""
        row = self.store.rows.get(LEASE_ROW)
        holder = decode_lease(row.value).holder if row is not None else ""
        return next((entry for entry in self.entries if entry.name == holder), None)

    async def kill_leader(self) -> Entry:
        """Kill the process that holds the lease."""
        leader = self.leader()
        if leader is None:
            raise CaseNotRunError("no process holds the lease")
        await leader.kill()
        self.record.write(f"SIGKILL to {leader.name}, the lease holder")
        return leader

    async def freeze_leader(self, duration_ms: int) -> None:
        """Suspend the process that holds the lease for a time."""
        leader = self.leader()
        if leader is None:
            raise CaseNotRunError("no process holds the lease")
        leader.send(signal.SIGSTOP)
        self.record.write(f"SIGSTOP to {leader.name}, the lease holder")
        await asyncio.sleep(duration_ms / _MS_PER_S)
        leader.send(signal.SIGCONT)
        self.record.write(f"SIGCONT to {leader.name}")

    def runs(self) -> list[RunRecord]:
        """Return all runs on all backend servers, up to date."""
        for server in self.servers.values():
            server.running()
        return [run for server in self.servers.values() for run in server.records]


async def wait_until(condition: Any, timeout_s: float, what: str) -> None:
    """Poll a condition until it is true."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise CaseNotRunError(f"{what}: not within {timeout_s} s")
        await asyncio.sleep(_POLL_S)


@contextlib.asynccontextmanager
async def running_fleet(
    record: Record,
    configuration: Any,
    servers: dict[str, tuple[str, TaskServer]],
    *,
    store: StoreApp | None = None,
    far_pool: str = "",
    entries: int = 3,
) -> AsyncIterator[Fleet]:
    """Start stand-ins and entry processes, and end them all afterwards.

    Parameters
    ----------
    configuration
        Writes the operator's configuration to the rows of the store.
    servers
        Pool and backend server, by id.
    far_pool
        Pool whose backend servers are in another data centre than the entry processes.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="review-")))
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        session = await stack.enter_async_context(aiohttp.ClientSession(timeout=timeout))
        fleet = Fleet(store or StoreApp(), record, session)
        store_address = await _serve(stack, fleet.store.handle)
        vm_address = await _serve(stack, VmApp().handle)
        configuration(fleet.store.rows)
        for server_id, (pool, server) in servers.items():
            fleet.servers[server_id] = server
            handler = BackendServerApp(server_id, server).handle
            is_far = pool == far_pool
            address = await _serve(stack, _after_round_trip(handler) if is_far else handler)
            put_registration(
                fleet.store.rows,
                server_id,
                address=address,
                service=pool,
                data_centre=_FAR_DATA_CENTRE if is_far else _DATA_CENTRE,
            )
        for number in range(1, entries + 1):
            entry = _entry(directory, f"edge-{number}", store_address, vm_address)
            fleet.entries.append(entry)
            stack.push_async_callback(entry.kill)
            await entry.start()
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while not all([await _is_ready(session, entry) for entry in fleet.entries]):
            if time.monotonic() > deadline_s:
                raise CaseNotRunError("the processes are not ready")
            await asyncio.sleep(_POLL_S)
        yield fleet


async def _is_ready(session: aiohttp.ClientSession, entry: Entry) -> bool:
    try:
        async with session.get(f"http://{entry.readiness}/-/readiness") as answer:
            return answer.status == _OK
    except (aiohttp.ClientError, TimeoutError):
        return False


def _after_round_trip(handler: Any) -> Any:
    """Return a request handler that adds the delay of the links between two data centres."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(2 * _ONE_WAY_MS / _MS_PER_S)
        return await handler(request)

    return handle


async def _serve(stack: contextlib.AsyncExitStack, handler: Any) -> str:
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, HOST, 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def _entry(directory: Path, name: str, store_address: str, vm_address: str) -> Entry:
    caller, readiness, internal, metrics = _free_addresses(4)
    document = orjson.loads(
        settings_document(
            name=name,
            caller_address=caller,
            readiness_address=readiness,
            internal_port=int(internal.rpartition(":")[2]),
            store_address=store_address,
            vm_address=vm_address,
        )
    )
    document["limits"] = _LIMITS
    path = directory / f"{name}.json"
    path.write_bytes(orjson.dumps(document))
    return Entry(name, caller, readiness, metrics, path)


def _free_addresses(count: int) -> list[str]:
    """Return addresses on loopback that no process listens on, each one only once."""
    addresses: list[str] = []
    for port in _ports:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            addresses.append(f"{HOST}:{port}")
        if len(addresses) == count:
            return addresses
    raise CaseNotRunError("no free port")


def now_ms() -> int:
    """Return the time on the clock of the stand-ins, in milliseconds."""
    return SystemClock().now_ms()


async def _run_case(case: Any, record: Record) -> list[str]:
    """Run a case within its time; a signal to this process cancels it and ends its processes."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(_MAX_CASE_S):
        return await case(record)


def main(case: Any, folder: Path) -> int:
    """Run a case, which returns what broke the rule, and return the exit code."""
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(_run_case(case, record))
    except (CaseNotRunError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"not run: {error!r}")
        print(f"not run: {error!r}")
        return EXIT_NOT_RUN
    except Exception:  # an error of the case itself does not show that the rule was broken
        record.write(f"not run: {traceback.format_exc()}")
        print("not run: error in the case, see its record")
        return EXIT_NOT_RUN
    for line in broken:
        record.write(f"broken: {line}")
    verdict = f"broken {len(broken)} times, first: {broken[0]}" if broken else "held"
    record.write(verdict)
    print(verdict)
    return EXIT_BROKEN if broken else EXIT_HELD
