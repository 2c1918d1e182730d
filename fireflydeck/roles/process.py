"""The services common to all roles: platform, configuration, peers, membership, admin server."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from attrs import define, field, frozen

from fireflydeck.configuration import (
    Attestation,
    CommitGate,
    ConfigurationFollower,
    ConfigurationStore,
    ConfigurationView,
    FollowerOptions,
    Membership,
    incarnation_name,
)
from fireflydeck.configuration.view import ConfigurationListener
from fireflydeck.core import Configuration, ConfigurationChange, Member, MemberRole
from fireflydeck.history import History
from fireflydeck.kernel import Kernel, configure_logging
from fireflydeck.peers import (
    LinkOptions,
    PeerClient,
    PeerIdentity,
    PeerListener,
    PeerListenerOptions,
    PeerSession,
    PeerStatus,
)
from fireflydeck.peers.messages import ChangesReply, Message, PushConfiguration, RequestChanges
from fireflydeck.roles.attestor import PeerAttestor
from fireflydeck.roles.stop_notice import StopNotice
from fireflydeck.tables import Platform, open_platform
from fireflydeck.web import HttpServer, HttpServerOptions, admin_app

__all__ = ["MemberView", "Process", "make_process"]

_MAX_FRAME_BYTES = 65 * 1024 * 1024
"""Exceeds the largest body or answer that the settings allow, together with its headers."""


class MemberView(ConfigurationView):
    """View of the configuration for a process that must be a member to start work.

    Parameters
    ----------
    follower
        Follows the configuration in this process.
    member_name
        Name of this process in the configuration.
    """

    def __init__(self, follower: ConfigurationFollower, member_name: str) -> None:
        self._follower = follower
        self._member_name = member_name

    @property
    def current(self) -> Configuration:
        """The newest applied configuration."""
        return self._follower.current

    def is_fresh(self) -> bool:
        """Return whether the configuration is fresh and has this process as an unfenced member."""
        member = self._follower.current.get(Member, self._member_name)
        return member is not None and not member.fenced and self._follower.is_fresh()

    def on_change(self, listener: ConfigurationListener) -> None:
        """Call the listener after each applied version."""
        self._follower.on_change(listener)


@define(kw_only=True)
class _GateReference:
    """Reference to the commit gate, which only a controller has."""

    gate: CommitGate | None = None

    def commit_pending(self) -> bool:
        return self.gate is not None and self.gate.commit_pending


@frozen(kw_only=True)
class Process:
    """Common services of one process; each role adds its own services to the kernel.

    Services start in the order of their registration and stop in reverse order. `run` registers the
    last services, which stop first.
    """

    kernel: Kernel
    settings: Mapping[str, Any]
    member_name: str
    platform: Platform
    store: ConfigurationStore
    follower: ConfigurationFollower
    listener: PeerListener
    peers: PeerClient
    attestor: PeerAttestor
    _gate: _GateReference = field(alias="gate")

    def push(self, change: ConfigurationChange) -> None:
        """Send a committed change to all members."""
        self.peers.broadcast(PushConfiguration(change=change))

    def make_history(self) -> History:
        """Create the history of decisions and add it to the kernel."""
        history = History(
            member=self.member_name,
            view=self.follower,
            objects=self.platform.objects,
            clock=self.kernel.clock,
            log=self.kernel.log,
            metrics=self.kernel.metrics,
        )
        self.kernel.add(history)
        return history

    def make_gate(self) -> CommitGate:
        """Create the commit gate of a controller and add it to the kernel."""
        gate = CommitGate(
            self.store, self.follower, self.attestor, self.kernel.clock, self.member_name
        )
        self._gate.gate = gate
        self.kernel.add(gate)
        return gate

    async def run(self) -> None:
        """Add the remaining services, run until a stop is requested, and close the platform."""
        kernel = self.kernel
        kernel.add(Attestation(self.follower, self.attestor, kernel.clock))
        options = HttpServerOptions(address=self.settings["admin_listen"])
        kernel.add(HttpServer("admin", admin_app(kernel), options))
        kernel.add(self._make_membership())
        kernel.add(StopNotice(self.peers, self.listener))
        try:
            await kernel.run_with_signals()
        finally:
            await self.platform.aclose()

    def _make_membership(self) -> Membership:
        member = Member(
            name=self.member_name,
            role=MemberRole(self.kernel.role),
            address=self.settings["peer_listen"],
            vm=self.settings["name"],
            data_centre=self.settings["data_centre"],
        )
        return Membership(
            member=member,
            address=lambda: self.listener.address,
            store=self.store,
            follower=self.follower,
            clock=self.kernel.clock,
            log=self.kernel.log,
            on_committed=self.push,
            on_fenced=self.kernel.request_stop,
        )


def make_process(role: MemberRole, settings: Mapping[str, Any]) -> Process:
    """Create the common services of a process and register them with its kernel.

    Parameters
    ----------
    role
        Role of the process.
    settings
        Validated settings of the role.
    """
    configure_logging(settings["log_format"], settings["log_level"])
    member_name = incarnation_name(f"{role}-{settings['name']}")
    kernel = Kernel(member_name, role)
    platform = open_platform(f"http://{settings['platform']}")
    store = ConfigurationStore(platform.tables, kernel.clock)
    options = FollowerOptions(
        poll_interval_ms=settings["poll_interval_ms"],
        freshness_bound_ms=settings["freshness_bound_ms"],
    )
    follower = ConfigurationFollower(store, kernel.clock, kernel.log, options)
    gate = _GateReference()
    identity = PeerIdentity(name=member_name, role=role, secret=settings["peer_secret"].encode())
    listener = _make_listener(kernel, identity, follower, gate, settings["peer_listen"])
    peers = PeerClient(
        identity=identity,
        members=lambda: _members(follower),
        clock=kernel.clock,
        log=kernel.log,
        metrics=kernel.metrics,
        random=Random(member_name),
        options=LinkOptions(max_frame_bytes=_MAX_FRAME_BYTES),
    )
    listener.on_peer_stopping(peers.mark_stopping)
    for service in (follower, listener, peers):
        kernel.add(service)
    return Process(
        kernel=kernel,
        settings=settings,
        member_name=member_name,
        platform=platform,
        store=store,
        follower=follower,
        listener=listener,
        peers=peers,
        attestor=PeerAttestor(peers, follower, member_name, gate.commit_pending),
        gate=gate,
    )


def _members(follower: ConfigurationFollower) -> Iterable[Member]:
    return follower.current.all(Member)


def _make_listener(
    kernel: Kernel,
    identity: PeerIdentity,
    follower: ConfigurationFollower,
    gate: _GateReference,
    address: str,
) -> PeerListener:
    def status() -> PeerStatus:
        return PeerStatus(
            version=follower.current.version,
            confirmed_age_ms=follower.confirmed_age_ms,
            store_reachable=follower.store_reachable,
            commit_pending=gate.commit_pending(),
        )

    async def send_changes(session: PeerSession, message: Message) -> None:
        assert isinstance(message, RequestChanges)
        changes = follower.recent_changes(message.after_version)
        await session.send(ChangesReply(sequence=message.sequence, changes=changes))

    listener = PeerListener(
        identity=identity,
        options=PeerListenerOptions(address=address, max_frame_bytes=_MAX_FRAME_BYTES),
        status=status,
        on_configuration=follower.offer,
        clock=kernel.clock,
        log=kernel.log,
        metrics=kernel.metrics,
    )
    listener.handle(RequestChanges, send_changes)
    return listener
