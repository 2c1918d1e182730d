"""Identity and configuration state that a process presents to its peers."""

from attrs import field, frozen

from fireflydeck.core import MemberRole

__all__ = ["PeerIdentity", "PeerStatus"]


@frozen(kw_only=True)
class PeerIdentity:
    """Name and role of this process, and the secret that proves its membership.

    Parameters
    ----------
    secret
        Secret shared by all members; excluded from `repr`.
    """

    name: str
    role: MemberRole
    secret: bytes = field(repr=False)


@frozen(kw_only=True)
class PeerStatus:
    """State of the configuration of this process, sent in heartbeat replies.

    Parameters
    ----------
    version
        Configuration version that is in force.
    confirmed_age_ms
        Milliseconds since the start of the store read that last confirmed that version; -1 if no
        read has confirmed it.
    store_reachable
        Whether the last call to the store was answered.
    commit_pending
        Whether a change was sent to the store and its outcome is not known yet.
    """

    version: int = 0
    confirmed_age_ms: int = -1
    store_reachable: bool = False
    commit_pending: bool = False
