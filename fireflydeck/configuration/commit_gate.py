"""Commits of a controller: only while it is a member that all other controllers know."""

from collections.abc import Iterable

from anyio.abc import TaskGroup
from expression import Error, Result

from fireflydeck.configuration.attestation import Attestor
from fireflydeck.configuration.follower import ConfigurationFollower
from fireflydeck.configuration.store import VersionedStore
from fireflydeck.core import (
    Clock,
    Configuration,
    ConfigurationChange,
    Entity,
    EntityKey,
    Failure,
    Member,
    MemberRole,
    Ran,
    Reason,
)
from fireflydeck.kernel import Registry, Service
from fireflydeck.tables import Transaction

__all__ = ["CommitGate"]

_INTRODUCE_INTERVAL_MS = 300
_SETTLE_INTERVAL_MS = 500


class CommitGate(VersionedStore, Service):
    """The store of a controller, with the two conditions on which attestations rest.

    A commit is refused unless the base has this controller as an unfenced member and every other
    controller of the base has confirmed that it knows it. `commit_pending` is true while the
    outcome of a commit is unknown, until a read of the store shows it, and while a committed
    change is not yet applied here.

    Parameters
    ----------
    store
        Where changes are committed.
    follower
        The applied configuration.
    attestor
        Asks the other controllers.
    member_name
        Name of this controller in the configuration.
    """

    def __init__(
        self,
        store: VersionedStore,
        follower: ConfigurationFollower,
        attestor: Attestor,
        clock: Clock,
        member_name: str,
    ) -> None:
        self._store = store
        self._follower = follower
        self._attestor = attestor
        self._clock = clock
        self._member_name = member_name
        self._known_by: set[str] = set()
        self._pending = 0
        self._unsettled_base: Configuration | None = None
        self._committed_version = 0

    @property
    def name(self) -> str:
        """Name of the service."""
        return "commit-gate"

    @property
    def commit_pending(self) -> bool:
        """Whether a change was sent to the store that is not in force here yet."""
        is_unapplied = self._follower.current.version < self._committed_version
        return self._pending > 0 or self._unsettled_base is not None or is_unapplied

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Introduce this controller to the others in the background."""
        tasks.start_soon(self._run)

    def state(self) -> dict[str, object]:
        """Return who knows this controller, and whether it commits and a commit is pending."""
        return {
            "ready": self._refusal(self._follower.current) is None,
            "known_by": sorted(self._known_by),
            "commit_pending": self.commit_pending,
        }

    async def head_version(self) -> Result[int, Failure]:
        """Return the newest committed version."""
        return await self._store.head_version()

    async def load(self) -> Result[Configuration, Failure]:
        """Return the whole configuration at one version.

        One read of the head confirms the applied copy; only what is newer is read with it.
        """
        polled = await self._follower.poll()
        return polled.map(lambda _: self._follower.current)

    async def changes_since(self, version: int) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the committed changes that follow the version."""
        return await self._store.changes_since(version)

    async def commit(
        self,
        base: Configuration,
        *,
        puts: Iterable[Entity] = (),
        removes: Iterable[EntityKey] = (),
        origin: str = "",
        rule: str = "",
        extra: Transaction | None = None,
    ) -> Result[ConfigurationChange, Failure]:
        """Commit as the store does, under the conditions of the gate."""
        refusal = self._refusal(base)
        if refusal is not None:
            return Error(refusal)
        self._pending += 1
        try:
            result = await self._store.commit(
                base, puts=puts, removes=removes, origin=origin, rule=rule, extra=extra
            )
        except BaseException:
            self._unsettled_base = base
            raise
        finally:
            self._pending -= 1
        if result.is_ok():
            self._committed_version = max(self._committed_version, result.ok.version)
            self._follower.offer(result.ok)
        elif result.error.ran is Ran.UNKNOWN:
            self._unsettled_base = base
        return result

    async def settle(self) -> None:
        """Settle an unknown outcome by a commit of nothing that follows on the same base.

        Whichever of the two commits comes first, the other one can no longer take effect.
        """
        base = self._unsettled_base
        if base is None:
            return
        result = await self._store.commit(base, origin="controller", rule="settle-lost-answer")
        if result.is_ok() or result.error.reason is Reason.CONFLICT:
            poll = await self._follower.poll()
            if poll.is_ok():
                self._unsettled_base = None

    async def introduce(self) -> None:
        """Ask each other controller whether it knows this one."""
        version = self._own_version(self._follower.current)
        if version == 0:
            return
        for controller in self._others(self._follower.current):
            if controller.name not in self._known_by:
                state = await self._attestor.state_of(controller)
                if state.is_ok() and state.ok.version >= version:
                    self._known_by.add(controller.name)

    async def _run(self) -> None:
        while True:
            await self.introduce()
            await self.settle()
            pending = self._unsettled_base is not None
            await self._clock.sleep_ms(_SETTLE_INTERVAL_MS if pending else _INTRODUCE_INTERVAL_MS)

    def _own_version(self, configuration: Configuration) -> int:
        return configuration.entity_version(EntityKey(Member.kind, self._member_name))

    def _others(self, configuration: Configuration) -> list[Member]:
        return [
            member
            for member in configuration.all(Member)
            if member.role is MemberRole.CONTROLLER and member.name != self._member_name
        ]

    def _refusal(self, base: Configuration) -> Failure | None:
        own = base.get(Member, self._member_name)
        if own is None or own.fenced:
            return _refused("this controller is not registered")
        unaware = [c.name for c in self._others(base) if c.name not in self._known_by]
        if unaware:
            return _refused(f"not yet known by {', '.join(unaware)}")
        if self._unsettled_base is not None:
            return _refused("an earlier change is not settled yet")
        return None


def _refused(detail: str) -> Failure:
    return Failure(Reason.NOT_READY, step="configuration.commit", detail=detail)
