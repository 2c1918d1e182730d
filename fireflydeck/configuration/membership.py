"""Registration of this process as a member in the configuration, and its removal at the stop."""

import secrets
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import evolve
from expression import Result

from fireflydeck.configuration.follower import ConfigurationFollower
from fireflydeck.configuration.store import VersionedStore
from fireflydeck.core import (
    Clock,
    Configuration,
    ConfigurationChange,
    EntityKey,
    Failure,
    Member,
)
from fireflydeck.kernel import Event, EventLog, Registry, Service

__all__ = ["Membership", "incarnation_name"]

_RETRY_DELAY_MS = 300
_RETRY_JITTER_MS = 400
_REMOVAL_TIMEOUT_MS = 3_000
_NAME_SUFFIX_BYTES = 3


def incarnation_name(name: str) -> str:
    """Return a member name with a random suffix, which differs at each start of the process."""
    return f"{name}-{secrets.token_hex(_NAME_SUFFIX_BYTES)}"


class Membership(Service):
    """Service that keeps one `Member` entity for this process while it runs.

    The registration removes the members with the same role on the same VM. They belong to earlier
    starts whose processes have ended, because the VM's init runs one process of each role. A
    process that is fenced or removed stops gracefully; its successor registers under a new name.

    Parameters
    ----------
    member
        Entity of this process; `address` sets its address at the start.
    address
        Returns the address of the peer listener.
    store
        Store that the registration is committed to.
    follower
        Follower of the applied configuration.
    clock
        Source of time.
    log
        Log of the process.
    on_committed
        Called with each change that this service committed.
    on_fenced
        Called when the process must stop because its member was fenced or removed.
    """

    def __init__(
        self,
        *,
        member: Member,
        address: Callable[[], str],
        store: VersionedStore,
        follower: ConfigurationFollower,
        clock: Clock,
        log: EventLog,
        on_committed: Callable[[ConfigurationChange], None],
        on_fenced: Callable[[], None],
    ) -> None:
        self._member = member
        self._address = address
        self._store = store
        self._follower = follower
        self._clock = clock
        self._log = log
        self._on_committed = on_committed
        self._on_fenced = on_fenced
        self._registered = False
        self._stopping = False

    @property
    def name(self) -> str:
        """Name of the service."""
        return "membership"

    @property
    def member(self) -> Member:
        """The entity of this process."""
        return self._member

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the task that registers the process as soon as the store answers."""
        self._member = evolve(self._member, address=self._address())
        self._follower.on_change(self._check_membership)
        tasks.start_soon(self._register)

    async def stop(self) -> None:
        """Remove the member; give up after a time limit if the store does not answer."""
        self._stopping = True
        with anyio.move_on_after(_REMOVAL_TIMEOUT_MS / 1000):
            while self._registered and (await self._commit_removal()).is_error():
                await self._wait_and_poll()

    def state(self) -> dict[str, object]:
        """Return the name of the member and whether it is registered."""
        return {"member": self._member.name, "registered": self._registered}

    async def _register(self) -> None:
        while not self._stopping:
            result = await self._commit_registration()
            if result.is_ok():
                return
            await self._wait_and_poll()

    async def _commit_registration(self) -> Result[ConfigurationChange, Failure]:
        base = self._follower.current
        result = await self._store.commit(
            base,
            puts=[self._member],
            removes=_earlier_members(base, self._member),
            origin="member",
            rule="member-registers",
        )
        if result.is_ok():
            self._registered = True
            self._log.emit(Event.MEMBER_REGISTERED, version=result.ok.version)
            self._publish(result.ok)
        return result

    async def _commit_removal(self) -> Result[ConfigurationChange, Failure]:
        base = self._follower.current
        result = await self._store.commit(
            base, removes=[self._member.key], origin="member", rule="member-leaves"
        )
        if result.is_ok():
            self._registered = False
            self._publish(result.ok)
        return result

    def _publish(self, change: ConfigurationChange) -> None:
        self._follower.offer(change)
        self._on_committed(change)

    async def _wait_and_poll(self) -> None:
        await self._clock.sleep_ms(_RETRY_DELAY_MS + secrets.randbelow(_RETRY_JITTER_MS))
        await self._follower.poll()

    def _check_membership(self, _: Configuration, configuration: Configuration) -> None:
        if not self._registered or self._stopping:
            return
        member = configuration.get(Member, self._member.name)
        if member is None or member.fenced:
            self._registered = False
            self._log.emit(Event.MEMBER_FENCED, version=configuration.version)
            self._on_fenced()


def _earlier_members(configuration: Configuration, member: Member) -> list[EntityKey]:
    """Return the keys of the members that earlier starts of the same process registered."""
    return [
        other.key
        for other in configuration.all(Member)
        if (other.vm, other.role) == (member.vm, member.role) and other.name != member.name
    ]
