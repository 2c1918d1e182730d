"""Message streams between the system's processes, and the ownership of pools."""

from fireflydeck.peers.client import PeerClient
from fireflydeck.peers.codec import decode, encode
from fireflydeck.peers.connection import ConnectionOptions
from fireflydeck.peers.identity import PeerIdentity, PeerStatus
from fireflydeck.peers.link import LinkOptions
from fireflydeck.peers.listener import PeerListener, PeerListenerOptions
from fireflydeck.peers.ownership import OwnerRanking, rank_owners
from fireflydeck.peers.session import PeerSession, SessionOptions
from fireflydeck.peers.stream import MessageStream
from fireflydeck.peers.submissions import RequestDispatcher, SubmissionServer

__all__ = [
    "ConnectionOptions",
    "LinkOptions",
    "MessageStream",
    "OwnerRanking",
    "PeerClient",
    "PeerIdentity",
    "PeerListener",
    "PeerListenerOptions",
    "PeerSession",
    "PeerStatus",
    "RequestDispatcher",
    "SessionOptions",
    "SubmissionServer",
    "decode",
    "encode",
    "rank_owners",
]
