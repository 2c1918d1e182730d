"""In-memory hand-over of the lease between members."""

from collections.abc import Callable

from fireflydeck.ownership import LeaseKeeper
from fireflydeck.ownership.succession import Successors

__all__ = ["FakeSuccessors"]


class FakeSuccessors(Successors):
    """Calls the lease keepers of the other members directly.

    Attributes
    ----------
    searches
        Number of searches for a successor.
    is_notice_lost
        While set, the notification of a hand-over is lost.
    """

    def __init__(self, others: Callable[[], list[LeaseKeeper]]) -> None:
        self._others = others
        self.searches = 0
        self.is_notice_lost = False

    async def find(self, term: int, *, from_smaller_vm: bool = False) -> str | None:
        """Return the index of the first member that may take the lease over."""
        self.searches += 1
        for index, lease in enumerate(self._others()):
            if await lease.can_take_over(term, from_smaller_vm=from_smaller_vm):
                return str(index)
        return None

    async def hand_over(self, peer: str, term: int) -> None:
        """Notify a member of the hand-over."""
        if not self.is_notice_lost:
            await self._others()[int(peer)].accept_hand_over(term)
