"""Confirmation of the applied configuration by the controllers while the store does not answer.

Only controllers commit operators' changes, and a new controller commits nothing until every other
controller in its configuration has applied its registration. If every controller of the applied
version reports that it has applied no newer version and has no commit with an unknown outcome,
then no newer operator's change was committed when the request was sent.
"""

from abc import ABC, abstractmethod

import anyio
from anyio.abc import TaskGroup
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.configuration.follower import ConfigurationFollower
from fireflydeck.core import Clock, ConfigurationChange, Failure, Member, MemberRole, Reason
from fireflydeck.kernel import Registry, Service

__all__ = ["Attestation", "AttestationOptions", "Attestor", "ControllerState"]


@frozen(kw_only=True)
class ControllerState:
    """State of the configuration that a controller reports.

    Parameters
    ----------
    version
        Version that the controller has applied.
    commit_pending
        Whether the controller has sent the store a change whose outcome is unknown or which it
        has not applied yet.
    """

    version: int
    commit_pending: bool


class Attestor(ABC):
    """Client that requests the state of the configuration from other members."""

    @abstractmethod
    async def state_of(self, member: Member) -> Result[ControllerState, Failure]:
        """Return the member's state at some time after the call began."""

    @abstractmethod
    async def changes_of(
        self, member: Member, after_version: int
    ) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the changes that the member applied after the given version, in version order."""


@frozen(kw_only=True)
class AttestationOptions:
    """Time limits of the attestation.

    Parameters
    ----------
    interval_ms
        Time between checks whether an attestation is needed, and time limit for the replies of the
        controllers in one round.
    store_silence_ms
        Minimum time since the start of the last successful poll of the store at which the
        controllers are queried.
    """

    interval_ms: int = 1_000
    store_silence_ms: int = 1_800


class Attestation(Service):
    """Service that confirms the applied version with all controllers while the store is silent.

    Parameters
    ----------
    follower
        Follower whose applied version is confirmed.
    attestor
        Client that queries other members.
    clock
        Source of time.
    options
        Time limits.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        attestor: Attestor,
        clock: Clock,
        options: AttestationOptions | None = None,
    ) -> None:
        self._follower = follower
        self._attestor = attestor
        self._clock = clock
        self._options = options or AttestationOptions()
        self._last_failure = ""

    @property
    def name(self) -> str:
        """Name of the service."""
        return "attestation"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the task that watches for a silent store."""
        tasks.start_soon(self._run)

    def state(self) -> dict[str, object]:
        """Return the failure of the last round; empty after a success."""
        return {"last_failure": self._last_failure}

    async def confirm(self) -> Result[None, Failure]:
        """Query every controller once, and confirm the applied version if all attest it.

        The controllers are taken from the applied version. A controller that a newer version adds
        can commit only after all of these have applied that newer version, and then they no longer
        attest the older one.
        """
        queried_at_ms = self._clock.now_ms()
        applied = self._follower.current.version
        controllers = self._controllers()
        states = await self._query_controllers(controllers)
        newest = max(states, key=lambda name: states[name].version, default=None)
        if newest is not None and states[newest].version > applied:
            await self._catch_up(next(c for c in controllers if c.name == newest))
            return Error(_failure(Reason.CONFLICT, newest, "has a newer version"))
        for controller in controllers:
            state = states.get(controller.name)
            if state is None:
                return Error(_failure(Reason.PEER_UNREACHABLE, controller.name, "did not answer"))
            if state.commit_pending:
                return Error(_failure(Reason.CONFLICT, controller.name, "has a pending commit"))
        if not controllers:
            return Error(_failure(Reason.PEER_UNREACHABLE, "", "no controller is registered"))
        self._follower.confirm(applied, queried_at_ms)
        return Ok(None)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep_ms(self._options.interval_ms)
            age_ms = self._follower.confirmed_age_ms
            if age_ms < 0 or self._follower.store_silence_ms < self._options.store_silence_ms:
                continue
            result = await self.confirm()
            self._last_failure = str(result.error.detail) if result.is_error() else ""

    def _controllers(self) -> list[Member]:
        members = self._follower.current.all(Member)
        return [member for member in members if member.role is MemberRole.CONTROLLER]

    async def _query_controllers(self, controllers: list[Member]) -> dict[str, ControllerState]:
        states: dict[str, ControllerState] = {}

        async def ask(member: Member) -> None:
            result = await self._attestor.state_of(member)
            if result.is_ok():
                states[member.name] = result.ok

        with anyio.move_on_after(self._options.interval_ms / 1000):
            async with anyio.create_task_group() as tasks:
                for controller in controllers:
                    tasks.start_soon(ask, controller)
        return states

    async def _catch_up(self, controller: Member) -> None:
        after_version = self._follower.current.version
        changes = await self._attestor.changes_of(controller, after_version)
        if changes.is_ok():
            for change in changes.ok:
                self._follower.offer(change)


def _failure(reason: Reason, peer: str, detail: str) -> Failure:
    return Failure(reason, step="configuration.attest", peer=peer, detail=f"{peer} {detail}")
