"""Commits of the lease holder, which take effect only while it holds the lease."""

from collections.abc import Callable

import anyio

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import ABSENT_VERSION, RowKey, RowWrite
from fireflydeck.ownership.lease_rows import LeaseRows
from fireflydeck.ownership.records import COMMIT_ROW, LEASE_ROW, Tenure, decode_lease

__all__ = ["FencedCommits"]

_RETRY_DELAY_MS = 100


class FencedCommits:
    """Sender of the holder's commits, one at a time.

    Parameters
    ----------
    current_tenure
        Returns the tenure of this process, or `None` if it does not hold the lease.
    end_tenure
        Ends the tenure; called with the reason when another process has taken the lease.
    """

    def __init__(
        self,
        rows: LeaseRows,
        clock: Clock,
        *,
        current_tenure: Callable[[], Tenure | None],
        end_tenure: Callable[[str], None],
    ) -> None:
        self._rows = rows
        self._clock = clock
        self._current_tenure = current_tenure
        self._end_tenure = end_tenure
        self._commits = 0
        self._lock = anyio.Lock()

    async def commit(self, writes: list[RowWrite], removals: list[RowKey]) -> Failure | None:
        """Write and remove rows of the lease's partition; retry until the outcome is known.

        Returns `None` once the changes are stored, a `NOT_OWNER` failure if this process does not
        hold the lease or loses it before that, or a `BAD_REQUEST` failure if the store refuses
        these changes for good.
        """
        async with self._lock:
            tenure = self._current_tenure()
            self._commits += 1
            while tenure is not None and self._current_tenure() is tenure:
                marker = f"{tenure.term}.{self._commits}".encode()
                failure = await self._rows.commit(marker, writes, removals)
                if failure is None:
                    return None
                if failure.reason != Reason.CONFLICT:
                    self._rows.health.record_failure(failure)
                if failure.reason == Reason.BAD_REQUEST:
                    return failure
                if failure.ran != Ran.UNKNOWN and failure.reason != Reason.CONFLICT:
                    await self._clock.sleep_ms(_RETRY_DELAY_MS)
                elif await self._last_stored_marker() == marker:
                    return None
        return Failure(Reason.NOT_OWNER, "lease.commit", detail="the lease was lost")

    async def _last_stored_marker(self) -> bytes:
        """Return the marker of the last commit that took effect, and update the commit version.

        Called after a conflict or a commit with unknown outcome: either an earlier commit of this
        process took effect, or the lease is lost. Returns an empty marker if the store does not
        answer or the tenure has ended.
        """
        rows = await self._rows.read()
        tenure = self._current_tenure()
        if rows is None or tenure is None:
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            return b""
        lease = rows.get(LEASE_ROW)
        if lease is not None and decode_lease(lease.value).term != tenure.term:
            self._end_tenure("taken by another process")
            return b""
        commits = rows.get(COMMIT_ROW)
        self._rows.commit_version = commits.version if commits else ABSENT_VERSION
        return commits.value if commits else b""
