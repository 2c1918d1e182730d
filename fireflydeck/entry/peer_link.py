"""Calls between entry processes by msgpack over HTTP.

They carry job states, forwarded requests, announcements of submissions, and the messages of added
handlers, such as those that hand the lease over.
"""

from collections.abc import Awaitable, Callable, Mapping

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    web,
)
from anyio.abc import TaskGroup
from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Ran
from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.core.rows import StoredRow
from fireflydeck.entry.bounded_listener import BoundedListener
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.client_budget import ClientBudget
from fireflydeck.entry.http_server_log import http_server_logger
from fireflydeck.entry.peer_interfaces import (
    ForwardResult,
    JobStateSource,
    RequestForwarder,
    SubmissionAnnouncer,
)
from fireflydeck.entry.peer_messages import (
    ForwardedRequest,
    StateAnswer,
    StateQuery,
    SubmissionNotice,
)
from fireflydeck.entry.request_body import BODY_ERRORS, drop_traceback, read_body
from fireflydeck.kernel import EventLog, Metrics, Registry, Service
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.scheduling.scheduler import Scheduler

__all__ = ["PeerHandler", "EntryPeerLink"]

PeerHandler = Callable[[bytes], Awaitable[bytes]]
"""Returns the answer to a message; raises `ValueError` for a message that it can't decode."""

_STATE_TIMEOUT_MS = 300
_FORWARD_TIMEOUT_MS = 1500
_STATE_PATH = "/job-state"
_FORWARD_PATH = "/forward"
_MIN_VERSION_PARAMETER = "min-configuration-version"
_SUBMISSION_PATH = "/submission"
_MAX_ANNOUNCEMENTS = 32
"""Beyond this number of unanswered announcements, the holder reads new jobs from the store only."""
_MAX_CONNECTIONS = 8
_MAX_MESSAGE_BYTES = 2**20
"""Limit on a message from another process; it holds a forwarded body of the largest legal size."""
_MESSAGE_LIMITS = RequestLimits(header_timeout_ms=3000, idle_timeout_ms=3000)
"""Time limits on messages; their senders wait for at most `_FORWARD_TIMEOUT_MS`."""
_MAX_FORWARD_PEERS = 2
_NOT_SERVED_STATUS = 503
"""Status of a peer's answer which shows that the request had no effect there."""
_PEER_EXPIRY_MS = 30_000
"""How long after its last call a process counts as a peer to forward to."""
_MS_PER_S = 1000


class EntryPeerLink(Service, JobStateSource, RequestForwarder, SubmissionAnnouncer):
    """Serves other entry processes, and sends them messages.

    The address of the lease holder is known from the lease's row, those of other processes from
    the job-state queries that they sent to this one.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    clients
        Budget for the connections of other processes; `None` for that of a sample machine.
    """

    def __init__(self, address: str, clock: Clock, clients: ClientBudget | None = None) -> None:
        self._address = address
        self._clients = clients
        self._clock = clock
        self._lease: LeaseKeeper | None = None
        self._scheduler: Scheduler | None = None
        self._session: ClientSession | None = None
        self._listener: BoundedListener | None = None
        self._last_call_ms: dict[str, int] = {}
        self._tasks: TaskGroup | None = None
        self._announcements_in_flight = 0
        self._request_handler: Callable[[CallerRequest], Awaitable[CallerAnswer]] | None = None
        self._handlers: dict[str, PeerHandler] = {}

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "peer-link"

    def set_request_handler(
        self, handler: Callable[[CallerRequest], Awaitable[CallerAnswer]]
    ) -> None:
        """Set the function that answers forwarded requests."""
        self._request_handler = handler

    def add_handler(self, path: str, handler: PeerHandler) -> None:
        """Add the handler for the messages to a path."""
        self._handlers[path] = handler

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to listen for other processes."""
        self._tasks = tasks
        self._lease = registry.get("lease", LeaseKeeper)
        self._scheduler = registry.get("scheduler", Scheduler)
        self._session = ClientSession(
            connector=TCPConnector(limit=_MAX_CONNECTIONS), cookie_jar=DummyCookieJar()
        )
        budget = self._clients or ClientBudget.for_sample_machine(EventLog(), Metrics())
        clients = budget.listener("peers", budget.limits.peer_connections, _peer_limits)
        self._listener = BoundedListener(
            self._address, self._serve, clients, logger=http_server_logger(budget.log)
        )
        await self._listener.start()

    async def stop(self) -> None:
        """Close all connections and the listener."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()
        if self._listener is not None:
            await self._listener.close()

    async def job_state(self, job_id: str) -> str | None:
        """Return a job's state as the lease holder knows it.

        Return `None` if the holder doesn't know the job or can't be reached.
        """
        current = self._scheduler.current if self._scheduler else None
        if current is not None:
            return current.job_state(job_id)
        holder = self._holder_address()
        if holder is None:
            return None
        content = StateQuery(job_id, self._address).encode()
        received = await self.post(holder, _STATE_PATH, content, _STATE_TIMEOUT_MS)
        return received.map(_decode_state).default_value(None)

    async def forward(self, request: CallerRequest, *, timeout_ms: int) -> ForwardResult:
        """Forward a request to the lease holder, then to recent peers.

        Stop when one gives a final answer, or after `_MAX_FORWARD_PEERS` peers.
        """
        peer_timeout_ms = min(_FORWARD_TIMEOUT_MS, timeout_ms // _MAX_FORWARD_PEERS)
        path = f"{_FORWARD_PATH}?{_MIN_VERSION_PARAMETER}={request.min_configuration_version}"
        content = ForwardedRequest.from_request(request).encode()
        is_uncertain = False
        for peer in self.peers()[:_MAX_FORWARD_PEERS]:
            received = await self.post(peer, path, content, peer_timeout_ms)
            answer = received.bind(_decode_answer)
            if answer.is_ok() and not answer.ok.is_store_unavailable:
                return ForwardResult(peer=peer, answer=answer.ok, is_uncertain=is_uncertain)
            if answer.is_ok():
                is_uncertain = is_uncertain or answer.ok.status != _NOT_SERVED_STATUS
            else:
                is_uncertain = is_uncertain or answer.error != Ran.NO
        return ForwardResult(is_uncertain=is_uncertain)

    def announce(self, row: StoredRow) -> None:
        """Send the row of a stored submission to the lease holder."""
        current = self._scheduler.current if self._scheduler else None
        if current is not None:
            current.job_tracker.apply_announced(row)
            return
        holder = self._holder_address()
        if (
            holder is None
            or self._tasks is None
            or self._announcements_in_flight >= _MAX_ANNOUNCEMENTS
        ):
            return
        self._announcements_in_flight += 1
        self._tasks.start_soon(self._send_announcement, holder, row)

    async def _send_announcement(self, holder: str, row: StoredRow) -> None:
        # The answer doesn't matter: without the announcement, the holder reads the row from the
        # changes of the store.
        try:
            content = SubmissionNotice.from_row(row).encode()
            await self.post(holder, _SUBMISSION_PATH, content, _STATE_TIMEOUT_MS)
        finally:
            self._announcements_in_flight -= 1

    def _holder_address(self) -> str | None:
        """Return the address of the lease holder; `None` if there is none or it is this process."""
        record = self._lease.last_record if self._lease else None
        if record is None or not record.holder or record.address == self._address:
            return None
        return record.address

    def peers(self) -> list[str]:
        """Return the addresses to forward to: the lease holder, then the most recent peers."""
        now_ms = self._clock.now_ms()
        self._last_call_ms = {
            peer: called_ms
            for peer, called_ms in self._last_call_ms.items()
            if now_ms - called_ms < _PEER_EXPIRY_MS
        }
        holder = self._holder_address()
        recent = sorted(self._last_call_ms, key=lambda peer: -self._last_call_ms[peer])
        first = [holder] if holder is not None else []
        return first + [peer for peer in recent if peer != holder]

    async def post(
        self, peer: str, path: str, content: bytes, timeout_ms: int
    ) -> Result[bytes, Ran]:
        """Send a message to a peer and return the body of its answer.

        Without an answer of status 200, the error shows whether the peer may have acted on the
        message: `Ran.NO` if it did not, `Ran.UNKNOWN` if it may have.
        """
        if self._session is None:
            return Error(Ran.NO)
        timeout = ClientTimeout(total=timeout_ms / _MS_PER_S)
        try:
            url = f"http://{peer}{path}"
            async with self._session.post(url, data=content, timeout=timeout) as response:
                received = await response.read()
        except ClientConnectorError:
            self._last_call_ms.pop(peer, None)
            return Error(Ran.NO)
        except (ClientError, TimeoutError, OSError):
            # Not logged here: the caller of this method has a fallback, and logs what it does.
            self._last_call_ms.pop(peer, None)
            return Error(Ran.UNKNOWN)
        return Ok(received) if response.status == 200 else Error(Ran.UNKNOWN)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path not in (_STATE_PATH, _FORWARD_PATH, _SUBMISSION_PATH, *self._handlers):
            return web.Response(status=404)
        if (request.content_length or 0) > _MAX_MESSAGE_BYTES:
            return web.Response(status=413)
        try:
            content = await read_body(request, _MAX_MESSAGE_BYTES)
        except BODY_ERRORS as error:
            drop_traceback(error)
            return web.Response(status=400)
        if content is None:
            return web.Response(status=413)
        return await self._answer_message(request, content)

    async def _answer_message(self, request: web.BaseRequest, content: bytes) -> web.StreamResponse:
        try:
            if request.path == _FORWARD_PATH and self._request_handler is not None:
                return await self._serve_forwarded(request.query, content)
            if request.path == _SUBMISSION_PATH:
                return self._serve_submission(SubmissionNotice.decode(content))
            if request.path in self._handlers:
                return web.Response(body=await self._handlers[request.path](content))
            return self._serve_state(StateQuery.decode(content))
        except ValueError as error:
            return web.Response(status=400, text=str(error))

    async def _serve_forwarded(
        self, query: Mapping[str, str], content: bytes
    ) -> web.StreamResponse:
        """Serve a request that another process forwarded.

        A process of an older build names no least version, and does not read that of the answer.
        """
        min_version = query.get(_MIN_VERSION_PARAMETER)
        request = ForwardedRequest.decode(content).to_request(int(min_version or 0))
        answer = await self._request_handler(request)
        if min_version is None:
            answer = evolve(answer, configuration_version=None)
        return web.Response(body=answer.encode())

    def _serve_state(self, query: StateQuery) -> web.StreamResponse:
        self._last_call_ms[query.sender] = self._clock.now_ms()
        current = self._scheduler.current if self._scheduler else None
        state = current.job_state(query.job_id) if current is not None else None
        return web.Response(body=StateAnswer(state).encode())

    def _serve_submission(self, notice: SubmissionNotice) -> web.StreamResponse:
        current = self._scheduler.current if self._scheduler else None
        if current is not None:
            current.job_tracker.apply_announced(notice.to_row())
        return web.Response()


def _peer_limits() -> RequestLimits:
    return _MESSAGE_LIMITS


def _decode_state(content: bytes) -> str | None:
    try:
        return StateAnswer.decode(content).state
    except ValueError:
        # A process of another version may answer in another format; the state is then read from
        # the store.
        return None


def _decode_answer(content: bytes) -> Result[CallerAnswer, Ran]:
    try:
        return Ok(CallerAnswer.decode(content))
    except ValueError:
        # A process of another version may answer in another format; it may have served the
        # request.
        return Error(Ran.UNKNOWN)
