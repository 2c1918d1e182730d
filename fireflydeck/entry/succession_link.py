"""Hand-over of the lease between entry processes by messages over the peer link."""

from anyio import create_task_group

from fireflydeck.entry.peer_link import EntryPeerLink
from fireflydeck.entry.peer_messages import SuccessionNotice, SuccessionQuery
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.succession import Successors

__all__ = ["SuccessionLink"]

_QUERY_PATH = "/succession-query"
_NOTICE_PATH = "/succession"
_TIMEOUT_MS = 300
_MAX_QUERIED_PEERS = 3
_MAX_PEERS_QUERIED_FOR_LARGER_VM = 32
_YES = b"\1"
_NO = b"\0"


class SuccessionLink(Successors):
    """Finds a successor among the other processes, and answers such queries for this one.

    Parameters
    ----------
    link
        Sends and receives the messages; it knows which processes called recently.
    """

    def __init__(self, link: EntryPeerLink, lease: LeaseKeeper) -> None:
        self._link = link
        self._lease = lease
        link.add_handler(_QUERY_PATH, self._serve_query)
        link.add_handler(_NOTICE_PATH, self._serve_notice)

    async def find(self, term: int, *, from_smaller_vm: bool = False) -> str | None:
        """Query the processes that called this one most recently, concurrently.

        Return the address of the first one that answers that it could hold the lease, or `None`.
        Only a part of the processes is on large VMs, so more of them are queried for one of these.
        """
        candidates: list[str] = []
        content = SuccessionQuery(term, from_smaller_vm or None).encode()
        count = _MAX_PEERS_QUERIED_FOR_LARGER_VM if from_smaller_vm else _MAX_QUERIED_PEERS

        async def query_peer(peer: str) -> None:
            received = await self._link.post(peer, _QUERY_PATH, content, _TIMEOUT_MS)
            if received.is_ok() and received.ok == _YES:
                candidates.append(peer)
                tasks.cancel_scope.cancel()

        async with create_task_group() as tasks:
            for peer in self._link.peers()[:count]:
                tasks.start_soon(query_peer, peer)
        return candidates[0] if candidates else None

    async def hand_over(self, peer: str, term: int) -> None:
        """Notify the successor; if the notice is lost, the lease expires as it would without it."""
        await self._link.post(peer, _NOTICE_PATH, SuccessionNotice(term).encode(), _TIMEOUT_MS)

    async def _serve_query(self, content: bytes) -> bytes:
        query = SuccessionQuery.decode(content)
        can_take_over = await self._lease.can_take_over(
            query.term, from_smaller_vm=bool(query.from_smaller_vm)
        )
        return _YES if can_take_over else _NO

    async def _serve_notice(self, content: bytes) -> bytes:
        notice = SuccessionNotice.decode(content)
        await self._lease.accept_hand_over(notice.term)
        return b""
