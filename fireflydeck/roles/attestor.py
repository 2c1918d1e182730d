"""Queries to other members about their configuration, sent over the peer connections."""

from collections.abc import Callable

from expression import Error, Ok, Result

from fireflydeck.configuration import Attestor, ConfigurationFollower, ControllerState
from fireflydeck.core import ConfigurationChange, Failure, Member
from fireflydeck.peers import PeerClient

__all__ = ["PeerAttestor"]


class PeerAttestor(Attestor):
    """Attestor that queries other members with the peer client.

    Queries about this process itself are answered locally, without a connection.

    Parameters
    ----------
    peers
        Connections to other members.
    follower
        Follows the configuration in this process.
    member_name
        Name of this process in the configuration.
    commit_pending
        Returns whether this process waits for the outcome of a commit.
    """

    def __init__(
        self,
        peers: PeerClient,
        follower: ConfigurationFollower,
        member_name: str,
        commit_pending: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._follower = follower
        self._member_name = member_name
        self._commit_pending = commit_pending

    async def state_of(self, member: Member) -> Result[ControllerState, Failure]:
        """Return the member's configuration version and whether a commit is pending there."""
        if member.name == self._member_name:
            version = self._follower.current.version
            return Ok(ControllerState(version=version, commit_pending=self._commit_pending()))
        reply = await self._peers.request_status(member)
        if reply.is_error():
            return Error(reply.error)
        return Ok(ControllerState(version=reply.ok.version, commit_pending=reply.ok.commit_pending))

    async def changes_of(
        self, member: Member, after_version: int
    ) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the changes that the member applied after the version."""
        if member.name == self._member_name:
            return Ok(self._follower.recent_changes(after_version))
        return await self._peers.request_changes(member, after_version)
