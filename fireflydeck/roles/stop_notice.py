"""Notification of all peers that this process is stopping and accepts no new work."""

from fireflydeck.kernel import Service
from fireflydeck.peers import PeerClient, PeerListener

__all__ = ["StopNotice"]


class StopNotice(Service):
    """Announces the stop of this process to its peers.

    It is registered last, so that it is the first service that stops in a graceful stop.

    Parameters
    ----------
    peers, listener
        Connections opened and accepted by this process.
    """

    def __init__(self, peers: PeerClient, listener: PeerListener) -> None:
        self._peers = peers
        self._listener = listener

    @property
    def name(self) -> str:
        """Name of the service."""
        return "stop-notice"

    async def stop(self) -> None:
        """Announce the stop to all peers."""
        self._peers.announce_stop()
        self._listener.announce_stop()
