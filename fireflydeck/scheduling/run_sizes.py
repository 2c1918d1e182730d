"""Sizes of the runs of a pool, to tell which waiting tasks will soon find room without help."""

from collections import Counter
from collections.abc import Sequence

from attrs import define, field

from fireflydeck.core.placement import Resources
from fireflydeck.policy.reservation import is_common_size
from fireflydeck.scheduling.servers import Server, reserved_resources

__all__ = ["RunSizes"]

_MAX_AGE_MS = 250
_MAX_SERVERS = 64
"""Number of servers whose runs are counted; more would not change the result noticeably."""


@define(eq=False)
class RunSizes:
    """Number of runs by what they reserve, on a sample of the servers of each pool."""

    _counts: dict[str, Counter[Resources]] = field(factory=dict, init=False)
    _counted_ms: dict[str, int] = field(factory=dict, init=False)
    _common: dict[tuple[str, Resources], bool] = field(factory=dict, init=False)

    def are_common(
        self, pool: str, servers: Sequence[Server], demand: Resources, now_ms: int
    ) -> bool:
        """Return whether runs that are at least as large as a demand are common in a pool."""
        if now_ms - self._counted_ms.get(pool, -_MAX_AGE_MS) >= _MAX_AGE_MS:
            self._counted_ms[pool] = now_ms
            self._counts[pool] = _count_runs(servers)
            self._common = {key: known for key, known in self._common.items() if key[0] != pool}
        known = self._common.get((pool, demand))
        if known is None:
            known = is_common_size(demand, self._counts[pool])
            self._common[pool, demand] = known
        return known


def _count_runs(servers: Sequence[Server]) -> Counter[Resources]:
    stride = -(-len(servers) // _MAX_SERVERS)
    return Counter(
        reserved_resources(attempt.task.step)
        for server in servers[:: max(1, stride)]
        for attempt in server.attempts.values()
        if not attempt.task.step.long_running
    )
