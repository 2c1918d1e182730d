"""Hand-over of the lease between members in memory."""

from collections.abc import Callable

from fireflydeck.ownership import LeaseKeeper
from fireflydeck.ownership.succession import Successors

__all__ = ["FakeSuccessors"]


class FakeSuccessors(Successors):
    """Reaches the leases of other members.

    Attributes
    ----------
    asked
        How often a successor was looked for.
    is_notice_lost
        While set, a hand-over reaches nobody.
    """

    def __init__(self, others: Callable[[], list[LeaseKeeper]]) -> None:
        self._others = others
        self.asked = 0
        self.is_notice_lost = False

    async def find(self, term: int) -> str | None:
        """Return the number of the first member that could hold the lease."""
        self.asked += 1
        for number, lease in enumerate(self._others()):
            if await lease.can_take_over(term):
                return str(number)
        return None

    async def hand_over(self, peer: str, term: int) -> None:
        """Tell a member."""
        if not self.is_notice_lost:
            await self._others()[int(peer)].accept_hand_over(term)
