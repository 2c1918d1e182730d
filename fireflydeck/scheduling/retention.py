"""Removes the rows of jobs that ended long ago."""

from attrs import define

from fireflydeck.core import Clock
from fireflydeck.core.rows import RowKey, RowStore, RowTransaction
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.workload.records import (
    FLEET_PARTITION,
    OUTCOMES_TABLE,
    cancellation_key,
    decode_outcome_ms,
    job_key,
    outcome_key,
)

__all__ = ["Retention"]

_ROUND_MS = 10_000
_KEPT_TIMES = 2
"""Outcomes stay for this many times the time for which callers may ask for them."""
_MAX_JOBS = 40
"""Jobs of one round; each takes at most two entries of a transaction."""
_TIMEOUT_MS = 1200


@define(eq=False, kw_only=True)
class Retention:
    """Removes ended jobs: their own rows first, then the outcome.

    A job without an outcome would be run again, so the outcome goes only after the job's row has
    certainly gone.

    Parameters
    ----------
    status_ms
        Time for which callers may ask for an outcome.
    """

    store: RowStore
    lease: LeaseKeeper
    clock: Clock
    log: EventLog
    status_ms: int

    async def run(self) -> None:
        """Remove in rounds until cancelled."""
        while True:
            await self.clock.sleep_ms(_ROUND_MS)
            if self.lease.is_valid():
                await self.remove_old()

    async def remove_old(self) -> int:
        """Remove the oldest ended jobs; returns their number."""
        result = await self.store.read(OUTCOMES_TABLE, FLEET_PARTITION, timeout_ms=_TIMEOUT_MS)
        if result.is_error():
            return 0
        oldest_ms = self.clock.wall_ms() - self.status_ms * _KEPT_TIMES
        ended = [row.id.key for row in result.ok.rows if decode_outcome_ms(row.value) < oldest_ms][
            :_MAX_JOBS
        ]
        removed = [job_id for job_id in ended if await self._remove_job(job_id)]
        if not removed:
            return 0
        if await self.lease.commit([], [outcome_key(job_id) for job_id in removed]) is not None:
            return 0
        self.log.emit(Event.JOBS_REMOVED, jobs=len(removed))
        return len(removed)

    async def _remove_job(self, job_id: str) -> bool:
        """Remove a job's own rows; false as long as that is not certain."""
        keys: tuple[RowKey, ...] = (job_key(job_id), cancellation_key(job_id))
        transaction = RowTransaction(removals=keys)
        return (await self.store.commit(transaction, timeout_ms=_TIMEOUT_MS)).is_ok()
