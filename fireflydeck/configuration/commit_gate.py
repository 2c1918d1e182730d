"""Admission of a controller's commits: only while all other controllers know it as a member."""

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

_KNOWN_BY_INTERVAL_MS = 300
_RESOLVE_INTERVAL_MS = 500


class CommitGate(VersionedStore, Service):
    """Store of a controller that enforces the conditions on which attestations depend.

    A commit is refused unless the base contains this controller as an unfenced member and every
    other controller of the base has confirmed that it has applied the registration of this one. It
    is also refused while the outcome of an earlier commit is unknown.

    `commit_pending` is true while a commit is running, while the outcome of a commit is unknown,
    until a read of the store shows it, and while a committed change is not applied in this process
    yet.

    Parameters
    ----------
    store
        Store that changes are committed to.
    follower
        Follower of the applied configuration.
    attestor
        Client that queries the other controllers.
    clock
        Source of time.
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
        self._running_commits = 0
        self._unresolved_base: Configuration | None = None
        self._committed_version = 0

    @property
    def name(self) -> str:
        """Name of the service."""
        return "commit-gate"

    @property
    def commit_pending(self) -> bool:
        """Whether a change sent to the store may be committed without being applied here."""
        has_unapplied = self._follower.current.version < self._committed_version
        return self._running_commits > 0 or self._unresolved_base is not None or has_unapplied

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the task that queries the other controllers and resolves unknown outcomes."""
        tasks.start_soon(self._run)

    def state(self) -> dict[str, object]:
        """Return whether commits are allowed or pending, and which controllers know this one."""
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

        A poll of the follower reads the head version, which confirms the applied configuration,
        and only reads what is newer.
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
        """Commit the change to the store if the conditions of the gate are met."""
        refusal = self._refusal(base)
        if refusal is not None:
            return Error(refusal)
        self._running_commits += 1
        try:
            result = await self._store.commit(
                base, puts=puts, removes=removes, origin=origin, rule=rule, extra=extra
            )
        except BaseException:
            self._unresolved_base = base
            raise
        finally:
            self._running_commits -= 1
        if result.is_ok():
            self._committed_version = max(self._committed_version, result.ok.version)
            self._follower.offer(result.ok)
        elif result.error.ran is Ran.UNKNOWN:
            self._unresolved_base = base
        return result

    async def resolve_unknown_outcome(self) -> None:
        """Resolve an unknown outcome by committing an empty change on the same base.

        Both commits check the same base version. So as soon as one of them has taken effect, the
        other one can no longer take effect, even if it reaches the store later.
        """
        base = self._unresolved_base
        if base is None:
            return
        result = await self._store.commit(base, origin="controller", rule="settle-lost-answer")
        if result.is_ok() or result.error.reason is Reason.CONFLICT:
            poll = await self._follower.poll()
            if poll.is_ok():
                self._unresolved_base = None

    async def update_known_by(self) -> None:
        """Query each other controller that has not yet confirmed that it knows this one."""
        version = self._registration_version(self._follower.current)
        if version == 0:
            return
        for controller in self._other_controllers(self._follower.current):
            if controller.name not in self._known_by:
                state = await self._attestor.state_of(controller)
                if state.is_ok() and state.ok.version >= version:
                    self._known_by.add(controller.name)

    async def _run(self) -> None:
        while True:
            await self.update_known_by()
            await self.resolve_unknown_outcome()
            pending = self._unresolved_base is not None
            await self._clock.sleep_ms(_RESOLVE_INTERVAL_MS if pending else _KNOWN_BY_INTERVAL_MS)

    def _registration_version(self, configuration: Configuration) -> int:
        return configuration.entity_version(EntityKey(Member.kind, self._member_name))

    def _other_controllers(self, configuration: Configuration) -> list[Member]:
        return [
            member
            for member in configuration.all(Member)
            if member.role is MemberRole.CONTROLLER and member.name != self._member_name
        ]

    def _refusal(self, base: Configuration) -> Failure | None:
        own = base.get(Member, self._member_name)
        if own is None or own.fenced:
            return _not_ready("this controller is not registered")
        unaware = [c.name for c in self._other_controllers(base) if c.name not in self._known_by]
        if unaware:
            return _not_ready(f"not yet known by {', '.join(unaware)}")
        if self._unresolved_base is not None:
            return _not_ready("an earlier change is not settled yet")
        return None


def _not_ready(detail: str) -> Failure:
    return Failure(Reason.NOT_READY, step="configuration.commit", detail=detail)
