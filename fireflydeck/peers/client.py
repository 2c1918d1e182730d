"""Client for the connections to the other members of the system."""

from collections.abc import Callable, Iterable
from random import Random

from anyio.abc import TaskGroup
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import (
    Answer,
    Clock,
    ConfigurationChange,
    Failure,
    FireflydeckError,
    Member,
    Request,
)
from fireflydeck.kernel import EventLog, Metrics, Registry, Service
from fireflydeck.peers.identity import PeerIdentity
from fireflydeck.peers.link import LinkOptions, LinkServices, PeerLink
from fireflydeck.peers.messages import HeartbeatReply, Message, Stopping

__all__ = ["PeerClient"]

_PRUNE_INTERVAL_MS = 1_000


@frozen
class _LinkKey:
    name: str
    address: str


class PeerClient(Service):
    """Service with one connection to each member that this process sends messages to.

    Parameters
    ----------
    identity
        Name, role and secret of this process.
    members
        Returns the members in the current configuration.
    random
        Random source for the jitter of the backoff.
    options
        Limits of connection attempts and of open connections.
    """

    def __init__(
        self,
        *,
        identity: PeerIdentity,
        members: Callable[[], Iterable[Member]],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        random: Random,
        options: LinkOptions | None = None,
    ) -> None:
        self._identity = identity
        self._members = members
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._random = random
        self._options = options or LinkOptions()
        self._links: dict[_LinkKey, PeerLink] = {}
        self._stopping: set[str] = set()
        self._services: LinkServices | None = None

    @property
    def name(self) -> str:
        """Name of the service."""
        return "peers"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Prepare for opening connections and start closing those to removed members."""
        self._services = LinkServices(
            identity=self._identity,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
            random=self._random,
            tasks=tasks,
            options=self._options,
        )
        tasks.start_soon(self._close_unused_links)

    async def stop(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()

    def state(self) -> list[dict[str, object]]:
        """Return the state of each connection."""
        return [link.dump() for link in self._links.values()]

    async def submit(self, member: Member, request: Request) -> Result[Answer, Failure]:
        """Send a request to a dispatcher and wait for its answer.

        Cancelling the wait cancels the request at the dispatcher. A failure of the connection has
        the reason `PEER_UNREACHABLE` with `Ran.NO` if no byte was sent, else `PEER_LOST` with
        `Ran.UNKNOWN`. A request that can't be sent because of its size or its id has the reason
        `BODY_TOO_LARGE` or `CONFLICT`. All other failures are reported by the dispatcher.
        """
        try:
            connection = await self._link(member).open()
        except FireflydeckError as error:
            return Error(error.failure)
        return await connection.submit(request)

    async def request_status(self, member: Member) -> Result[HeartbeatReply, Failure]:
        """Request the state of a member's configuration and wait for the reply.

        The age in the reply is the age when the member replied; the caller adds the time since the
        request.
        """
        try:
            connection = await self._link(member).open()
        except FireflydeckError as error:
            return Error(error.failure)
        return await connection.request_status()

    async def request_changes(
        self, member: Member, after_version: int
    ) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Request the changes that a member applied after a version."""
        try:
            connection = await self._link(member).open()
        except FireflydeckError as error:
            return Error(error.failure)
        reply = await connection.request_changes(after_version)
        return reply.map(lambda message: message.changes)

    async def send(self, member: Member, message: Message) -> Result[None, Failure]:
        """Send a message that has no answer; success means that it was queued."""
        try:
            connection = await self._link(member).open()
            await connection.send(message)
        except FireflydeckError as error:
            return Error(error.failure)
        return Ok(None)

    def broadcast(self, message: Message) -> int:
        """Queue a message to all other reachable members that are not fenced, without waiting.

        Returns
        -------
        int
            Number of members for which it was queued; a member whose queue is full is skipped.
        """
        queued = 0
        for member in self._members():
            if member.name == self._identity.name or member.fenced:
                continue
            if self._link(member).offer(message):
                queued += 1
            else:
                self._metrics.count("peer_broadcast_dropped_total", type=type(message).__name__)
        return queued

    def announce_stop(self) -> None:
        """Notify all other members that this process accepts no new work."""
        self.broadcast(Stopping())

    def is_alive(self, member: Member) -> bool:
        """Return whether the member is not known to be unreachable; opens no connection."""
        link = self._links.get(_LinkKey(member.name, member.address))
        return link is None or link.is_alive

    def is_stopping(self, member: Member) -> bool:
        """Return whether the member announced that it accepts no new work."""
        link = self._links.get(_LinkKey(member.name, member.address))
        return member.name in self._stopping or (link is not None and link.is_stopping)

    def mark_stopping(self, name: str) -> None:
        """Record that the member with that name accepts no new work."""
        self._stopping.add(name)

    def _link(self, member: Member) -> PeerLink:
        key = _LinkKey(member.name, member.address)
        link = self._links.get(key)
        if link is None:
            assert self._services is not None, "the service has not been started"
            link = self._links[key] = PeerLink(member, self._services)
        return link

    async def _close_unused_links(self) -> None:
        while True:
            await self._clock.sleep_ms(_PRUNE_INTERVAL_MS)
            members = tuple(self._members())
            self._stopping &= {member.name for member in members}
            known = {_LinkKey(member.name, member.address) for member in members}
            for key, link in list(self._links.items()):
                if key not in known and not link.in_flight:
                    link.close()
                    del self._links[key]
