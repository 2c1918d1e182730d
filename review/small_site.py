"""A small deployment for the scripts of cases 6 to 10.

The entry processes run as separate processes with the command of the deploy file. The platform's
store and VM interface and the backend servers are the project's stand-ins, in this process.
"""

import asyncio
import itertools
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp
from aiohttp import web

from fireflydeck.core import SystemClock
from fireflydeck.core.placement import Resources
from fireflydeck.ownership.records import LEASE_ROW, decode_lease
from fireflydeck.platform.standin import BackendServerApp, StoreApp
from fireflydeck.platform.standin.documents import (
    CALLER_HEADERS,
    JOB_PATH_PREFIX,
    put_registration,
    settings_document,
)
from fireflydeck.standins.task_server import TaskServer

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

SERVER_CAPACITY = Resources(32_000, 65_536, 0)

_HOST = "127.0.0.1"
_OK = 200
_UNAVAILABLE = 503
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.02
_CALL_TIMEOUT_S = 3.0
_LABELS = ["a", "r1-1"]
_HEARTBEAT_S = 1.5
_MIN_LATE_S = 2.0
_MAX_LATE_S = 12.0
_ANSWER_S = 0.004
_TRANSACTION_S = 0.006
_CHUNK_BYTES = 65_536
_FIRST_PORT = 23_000
_PORT_COUNT = 9_000
_ROOT = Path(__file__).resolve().parent.parent

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CaseNotRunError(Exception):
    """The case could not be run, so that it shows nothing."""


class Record:
    """Writer of ``record.txt``: one line per event, with the seconds since the start."""

    def __init__(self, directory: Path) -> None:
        self._file = (directory / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_s:9.3f} {text}\n")
        self._file.flush()


class PartitionedLink:
    """TCP link from an entry process to a server, which a partition can interrupt.

    During a partition, bytes are held up and new connections get nowhere. When it ends, held bytes
    are delivered, unless their sender has reset the connection. What was sent on a connection that
    was opened during the partition is lost.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._is_open = asyncio.Event()
        self._is_open.set()
        self.on_bytes: Callable[[bytes], None] | None = None

    def cut(self) -> None:
        """Begin the partition."""
        self._is_open.clear()

    def heal(self) -> None:
        """End the partition."""
        self._is_open.set()

    async def listen(self, stack: AsyncExitStack) -> str:
        """Start to listen and return the address."""
        server = await asyncio.start_server(self._handle, _HOST, 0)
        stack.callback(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._is_open.is_set():
            await self._is_open.wait()
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, self.on_bytes)),
            asyncio.create_task(self._pump(target_reader, writer, None)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        writer.transport.abort()
        target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_bytes: Callable[[bytes], None] | None,
    ) -> None:
        """Forward one direction until its end; a reset by the sender raises an error."""
        chunks: asyncio.Queue[bytes] = asyncio.Queue()
        delivery = asyncio.create_task(self._deliver(chunks, writer))
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if on_bytes is not None:
                    on_bytes(chunk)
                chunks.put_nowait(chunk)
            chunks.put_nowait(b"")
            await delivery
        finally:
            delivery.cancel()

    async def _deliver(self, chunks: "asyncio.Queue[bytes]", writer: asyncio.StreamWriter) -> None:
        while True:
            chunk = await chunks.get()
            await self._is_open.wait()
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()


_port_offsets = itertools.count(os.getpid() * 97 % _PORT_COUNT)


def _free_address() -> str:
    """Return an address on loopback that nothing listens on, below the ephemeral ports."""
    for offset in itertools.islice(_port_offsets, _PORT_COUNT):
        port = _FIRST_PORT + offset % _PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
            return f"{_HOST}:{port}"
    raise CaseNotRunError("no free port")


class LateOrders:
    """Share of the orders that get no answer and are carried out seconds later."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._random = random.Random(1)
        self._until_s = 0.0

    def begin(self, duration_s: float) -> None:
        """Leave orders unanswered from now on, for a while."""
        self._until_s = time.monotonic() + duration_s

    def delay_s(self) -> float:
        """Return how late the next order is carried out, in seconds; 0 for one that is answered."""
        if time.monotonic() >= self._until_s or self._random.random() >= self._share:
            return 0.0
        return self._random.uniform(_MIN_LATE_S, _MAX_LATE_S)


class FaultyServerApp(BackendServerApp):
    """Backend server that may carry out orders late, or be unhealthy.

    Attributes
    ----------
    is_unhealthy
        Whether it refuses all starts.
    is_down
        Whether it is down; connections to it are reset.
    """

    def __init__(self, server_id: str, server: TaskServer, late_orders: LateOrders) -> None:
        super().__init__(server_id, server)
        self._late_orders = late_orders
        self.is_unhealthy = False
        self.is_down = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one order, or carry it out later."""
        if self.is_down:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        if self.is_unhealthy and request.path == "/-/run-start":
            return web.Response(status=_UNAVAILABLE)
        delay_s = self._late_orders.delay_s()
        if delay_s <= 0.0:
            return await super().handle(request)
        await request.read()
        await asyncio.sleep(delay_s)
        await self._answer(request)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)


class EntryProcess:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, name: str, directory: Path, store_address: str, vm_address: str) -> None:
        self.name = name
        self.address, self.readiness_address, internal, metrics = (
            _free_address() for _ in range(4)
        )
        settings = directory / f"{name}.json"
        settings.write_bytes(
            settings_document(
                name=name,
                caller_address=self.address,
                readiness_address=self.readiness_address,
                internal_port=int(internal.rpartition(":")[2]),
                store_address=store_address,
                vm_address=vm_address,
            )
        )
        deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["entry"]["run"].split()
        metrics_port = metrics.rpartition(":")[2]
        command = [
            f"--metrics_port={metrics_port}" if word.startswith("--metrics_port=") else word
            for word in command
        ]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environ = {
            **kept,
            "FIREFLYDECK_BOOT": str(settings),
            "PYTHONPATH": str(_ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (directory / f"{name}.log").open("wb") as log:
            self._process = subprocess.Popen(
                command, cwd=_ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the process serves callers."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s and self._process.poll() is None:
            try:
                async with session.get(f"http://{self.readiness_address}/-/readiness") as answer:
                    if answer.status == _OK:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(_POLL_S)
        raise CaseNotRunError(f"{self.name} did not become ready")


class SmallSite:
    """Stand-ins of the platform and its backend servers, and the entry processes.

    Attributes
    ----------
    slowness
        Factor on the time that the store takes for an answer.
    """

    def __init__(self, directory: Path, stack: AsyncExitStack, record: Record) -> None:
        self._directory = directory
        self.stack = stack
        self.record = record
        self.store = StoreApp()
        self.slowness = 1.0
        self.servers: dict[str, TaskServer] = {}
        self.server_apps: dict[str, FaultyServerApp] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.store_links: dict[str, PartitionedLink] = {}
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=0),
        )
        stack.push_async_callback(self.session.close)

    async def serve(self, handler: Handler) -> str:
        """Serve a stand-in on a free port and return its address."""
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, _HOST, 0).start()
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def add_server(
        self, server_id: str, *, duration_ms: int | None, late_orders: LateOrders | None = None
    ) -> str:
        """Add a backend server that is not registered yet, and return its address."""
        server = TaskServer(SystemClock(), SERVER_CAPACITY, name=server_id, duration_ms=duration_ms)
        self.servers[server_id] = server
        app = FaultyServerApp(server_id, server, late_orders or LateOrders(0.0))
        self.server_apps[server_id] = app
        return await self.serve(app.handle)

    async def write_registrations(
        self, addresses: dict[str, str], labels: dict[str, list[str]] | None = None
    ) -> None:
        """Register the backend servers again and again, each once in a heartbeat interval.

        Parameters
        ----------
        labels
            Labels of the backend servers that do not have the usual ones; may change meanwhile.
        """
        for sequence in itertools.count(1):
            for server_id, address in addresses.items():
                if not self.server_apps[server_id].is_down:
                    self.register(server_id, address, sequence, (labels or {}).get(server_id))
                await asyncio.sleep(_HEARTBEAT_S / len(addresses))

    def register(
        self, server_id: str, address: str, sequence: int, labels: list[str] | None = None
    ) -> None:
        """Write the registration of a backend server."""
        server = self.servers[server_id]
        put_registration(
            self.store.rows,
            server_id,
            address=address,
            sequence=sequence,
            clock_ms=server.clock_ms(),
            born_ms=server.born_ms,
            labels=labels or _LABELS,
        )

    async def start_entries(self, names: tuple[str, ...], vm_addresses: dict[str, str]) -> None:
        """Start the entry processes, each with a link of its own to the store.

        Parameters
        ----------
        vm_addresses
            Address of the VM interface for each process.
        """
        store_address = await self.serve(self._answer_store_call)
        for name in names:
            link = self.store_links[name] = PartitionedLink(store_address)
            address = await link.listen(self.stack)
            entry = EntryProcess(name, self._directory, address, vm_addresses[name])
            self.stack.callback(entry.kill)
            self.entries[name] = entry
        for entry in self.entries.values():
            await entry.wait_ready(self.session)

    async def _answer_store_call(self, request: web.BaseRequest) -> web.StreamResponse:
        is_transaction = request.path == "/-/rows-tx"
        pause_s = _ANSWER_S + (_TRANSACTION_S if is_transaction else 0.0)
        await asyncio.sleep(pause_s * self.slowness)
        return await self.store.handle(request)

    def holder(self) -> str:
        """Return the name of the process in the lease's row; empty if there is none."""
        row = self.store.rows.get(LEASE_ROW)
        return decode_lease(row.value).holder if row is not None else ""

    async def wait_holder(self, timeout_s: float, *, other_than: str = "") -> str:
        """Wait until the lease has another holder, and return its name."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            holder = self.holder()
            if holder and holder != other_than:
                return holder
            await asyncio.sleep(_POLL_S / 4)
        raise CaseNotRunError("no process took the lease over")

    async def call(
        self, entry: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send a caller's request; the status is 0 if there was no answer."""
        url = f"http://{self.entries[entry].address}{JOB_PATH_PREFIX}{path}"
        try:
            async with self.session.request(
                method, url, data=body, headers=CALLER_HEADERS
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""


def run_case(
    case: Path, run: Callable[[SmallSite, bool], Awaitable[list[str]]], limit_s: float
) -> None:
    """Run a case and exit with its result.

    Parameters
    ----------
    case
        Folder of the case.
    run
        Runs the case, with the disruption or without it, and returns what broke the rule.
    limit_s
        Time after which the case counts as not run, in seconds.
    """
    # The stand-ins' web server logs each connection that an entry process gives up.
    logging.disable(logging.CRITICAL)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case)
    record.add(f"disruption: {'yes' if is_troubled else 'no'}")

    async def main() -> list[str]:
        if (task := asyncio.current_task()) is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with TemporaryDirectory() as directory:
            async with AsyncExitStack() as stack:
                site = SmallSite(Path(directory), stack, record)
                async with asyncio.timeout(limit_s):
                    return await run(site, is_troubled)

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        # Any error of the script itself: the exit code of Python would be that of a broken rule.
        record.add(f"not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    for line in broken:
        record.add(f"BROKEN: {line}")
    record.add("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
