"""Asks the holder of the lease for the state of a job, by msgpack over HTTP."""

import msgpack
from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar, TCPConnector, web
from anyio.abc import TaskGroup

from fireflydeck.entry.state_source import StateSource
from fireflydeck.kernel import Registry, Service
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.scheduling.scheduler import Scheduler

__all__ = ["HolderLink"]

_TIMEOUT_S = 0.3
_PATH = "/job-state"
_CONNECTIONS = 8


class HolderLink(Service, StateSource):
    """Serves and asks for the states of jobs between the entry processes.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    """

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._lease: LeaseKeeper | None = None
        self._scheduler: Scheduler | None = None
        self._session: ClientSession | None = None
        self._runner: web.ServerRunner | None = None

    @property
    def name(self) -> str:
        """Name of the service."""
        return "holder-link"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Listen for other processes."""
        self._lease = registry.get("lease", LeaseKeeper)
        self._scheduler = registry.get("scheduler", Scheduler)
        self._session = ClientSession(
            connector=TCPConnector(limit=_CONNECTIONS),
            cookie_jar=DummyCookieJar(),
            timeout=ClientTimeout(total=_TIMEOUT_S),
        )
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port, reuse_address=True).start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def job_state(self, job_id: str) -> str | None:
        """Return a job's state from the holder of the lease; `None` if it doesn't know."""
        run = self._scheduler.current if self._scheduler else None
        if run is not None:
            return run.job_state(job_id)
        holder = self._lease.holder if self._lease else None
        if holder is None or not holder.holder or self._session is None:
            return None
        try:
            url = f"http://{holder.address}{_PATH}"
            async with self._session.post(url, data=msgpack.packb(job_id)) as response:
                return msgpack.unpackb(await response.read())
        except (ClientError, TimeoutError, OSError, ValueError):
            # Not an error: the caller reads the store instead.
            return None

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        run = self._scheduler.current if self._scheduler else None
        job_id = msgpack.unpackb(await request.read())
        state = run.job_state(job_id) if run is not None else None
        return web.Response(body=msgpack.packb(state))
