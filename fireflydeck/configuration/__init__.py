"""Versioned configuration: commits, replication to the processes, and freshness checks."""

from fireflydeck.configuration.attestation import Attestation, Attestor, ControllerState
from fireflydeck.configuration.commit_gate import CommitGate
from fireflydeck.configuration.follower import ConfigurationFollower, FollowerOptions
from fireflydeck.configuration.membership import Membership, incarnation_name
from fireflydeck.configuration.store import LOG_LENGTH, ConfigurationStore, VersionedStore
from fireflydeck.configuration.view import ConfigurationListener, ConfigurationView

__all__ = [
    "LOG_LENGTH",
    "Attestation",
    "Attestor",
    "CommitGate",
    "ControllerState",
    "VersionedStore",
    "ConfigurationFollower",
    "ConfigurationListener",
    "ConfigurationStore",
    "ConfigurationView",
    "FollowerOptions",
    "Membership",
    "incarnation_name",
]
