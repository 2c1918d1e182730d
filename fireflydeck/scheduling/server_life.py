"""State of one life of a backend server as known to the lease holder.

A server that starts again under its id knows nothing of before. Whatever was learned of its former
life, or granted to it, is kept in that life's object and is never applied to the next one.
"""

from collections import deque
from enum import StrEnum

from attrs import Factory, define

from fireflydeck.core.backend_orders import HeartbeatReport

__all__ = [
    "MAX_LEASE_MS",
    "MAX_ORDER_DELAY_MS",
    "SERVER_LEASE_MS",
    "RunCoverage",
    "ServerLife",
    "lease_duration_ms",
]

SERVER_LEASE_MS = 3000
"""Duration of the leases granted to backend servers."""
MAX_ORDER_DELAY_MS = 12_000
"""Longest time after which an order without an answer is carried out."""
_ORDER_TIMEOUT_MS = 900
"""Time in which an order that gets no answer is carried out, unless it is late."""
MAX_LEASE_MS = 6000
"""Longest lease that a backend server grants."""
_MIN_CLOCK_RATE = 0.98
"""Rate of the slowest clock that a backend server may have."""
_EXPIRY_MARGIN_MS = 60
"""Margin for rounding, added to the end of a lease."""


class RunCoverage(StrEnum):
    """How completely the runs on a backend server are known to the holder of the lease.

    `UNHEARD`: the server's present life has not answered a heartbeat with its fencing token.
    `PARTIAL`: it has, but more ends of runs are to be listed, so a run that is not listed may have
    ended. `COMPLETE`: every run that an earlier holder started there is known or has ended.
    """

    UNHEARD = "unheard"
    PARTIAL = "partial"
    COMPLETE = "complete"


def lease_duration_ms(lease_ms: int) -> int:
    """Return how long a lease lasts at most, in milliseconds on the holder's clock.

    Parameters
    ----------
    lease_ms
        Duration of the lease on the backend server's clock, which may run 2% slow.
    """
    return int(lease_ms / _MIN_CLOCK_RATE) + _EXPIRY_MARGIN_MS


_UNHEARD_LEASE_MS = MAX_ORDER_DELAY_MS + lease_duration_ms(MAX_LEASE_MS)
"""Time after which runs that orders for a former life have started in the next one are over."""


@define(eq=False, kw_only=True)
class ServerLife:
    """One life of a backend server, from one of its starts to the next.

    Parameters
    ----------
    fencing_token
        Token of all orders to this life. It is higher than that of any order for a former one.
    known_since_ms
        When the holder learned of this life, on its own clock.
    is_first
        Whether the holder has not learned of a restart of the server.
    born_ms
        Start time that identifies the life; 0 before its first answer.
    clock_ms, clock_read_ms
        The server's own clock as last read, and the local time at which that answer arrived;
        `None` before the first answer.
    lease_until_ms
        Latest end of a lease on the server, on its own clock.
    granted_ms
        When the last lease was granted, on the holder's clock.
    last_end
        Number of the newest end of a run that this process handled.
    stored_end
        Number up to which all ends are stored.
    acknowledged_end
        Number of the newest end that was acknowledged to the server as stored.
    unstored_ends
        Ends that wait for a commit, as pairs of the number of the end and that of the commit, which
        is `None` while the end is held back.
    stored_commit
        Number of the newest finished commit that this life was told of.
    coverage
        How completely its runs are known.
    """

    fencing_token: int
    known_since_ms: int
    is_first: bool = True
    born_ms: int = 0
    clock_ms: int = 0
    clock_read_ms: int | None = None
    lease_until_ms: int = 0
    granted_ms: int = 0
    last_end: int = 0
    stored_end: int = 0
    acknowledged_end: int = 0
    unstored_ends: deque[tuple[int, int | None]] = Factory(deque)
    stored_commit: int = 0
    coverage: RunCoverage = RunCoverage.UNHEARD

    @property
    def has_answered(self) -> bool:
        """Return whether it has answered a heartbeat with its fencing token.

        From then on, no order for a former life and none of an earlier holder has an effect.
        """
        return self.coverage != RunCoverage.UNHEARD

    def clock_at(self, now_ms: int) -> int:
        """Estimate the server's clock."""
        if self.clock_read_ms is None:
            return self.clock_ms
        return self.clock_ms + (now_ms - self.clock_read_ms)

    def min_clock_at(self, now_ms: int) -> int:
        """Return a lower bound of the server's clock, which may run 2% slow."""
        if self.clock_read_ms is None:
            return self.clock_ms
        return self.clock_ms + int((now_ms - self.clock_read_ms) * _MIN_CLOCK_RATE)

    def grant_lease(self, now_ms: int) -> int:
        """Record a new lease and return its end on the server's clock, in milliseconds."""
        until_ms = self.clock_at(now_ms) + SERVER_LEASE_MS
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.granted_ms = now_ms
        return until_ms

    def is_clock(self, clock_ms: int, *, sent_ms: int, now_ms: int) -> bool:
        """Return whether a clock reading is one of this life's clock.

        The clock of a later life starts anew.

        Parameters
        ----------
        sent_ms, now_ms
            When the order was sent whose answer has the reading, and when the answer arrived.
        """
        if self.clock_read_ms is None:
            return False
        earliest_ms = self.min_clock_at(sent_ms) - _EXPIRY_MARGIN_MS
        return earliest_ms <= clock_ms <= self.clock_at(now_ms) + _EXPIRY_MARGIN_MS

    def has_lease_expired(self, now_ms: int) -> bool:
        """Return whether every lease on the server has certainly expired."""
        if self.clock_read_ms is None:
            return now_ms >= self.known_since_ms + _UNHEARD_LEASE_MS
        return self.min_clock_at(now_ms) > self.lease_until_ms + _EXPIRY_MARGIN_MS

    def has_longest_lease_expired(self, now_ms: int) -> bool:
        """Return whether leases by the last grant have expired in whichever life it took effect.

        The clock of a later life, of which the holder has not heard, lets the grant extend its
        leases up to the longest one.
        """
        longest_ms = _ORDER_TIMEOUT_MS + lease_duration_ms(MAX_LEASE_MS)
        return self.has_lease_expired(now_ms) and now_ms >= self.granted_ms + longest_ms

    def record_report(self, report: HeartbeatReport, now_ms: int) -> None:
        """Record start time, clock and coverage by a report of this life.

        Before the first report, earlier holders may have extended the leases, and so may orders for
        a former life: a deadline on its clock extends them up to the longest lease.
        """
        if not self.has_answered:
            self.lease_until_ms = report.clock_ms + MAX_LEASE_MS
        if not report.has_more_ends:
            self.coverage = RunCoverage.COMPLETE
        elif not self.has_answered:
            self.coverage = RunCoverage.PARTIAL
        self.born_ms = report.born_ms
        if self.clock_read_ms is None or report.clock_ms >= self.clock_ms:
            self.clock_ms = report.clock_ms
            self.clock_read_ms = now_ms

    def record_stored_ends(self, commit_number: int) -> None:
        """Advance `stored_end` over the ends that a commit has stored.

        Parameters
        ----------
        commit_number
            Number of the newest finished commit.
        """
        self.stored_commit = max(self.stored_commit, commit_number)
        while self.unstored_ends:
            number, needed_commit = self.unstored_ends[0]
            if needed_commit is None or needed_commit > self.stored_commit:
                return
            self.stored_end = number
            self.unstored_ends.popleft()

    def release_end(self, number: int, commit_number: int) -> None:
        """Let an end that was held back wait for a commit; 0 if its state is stored already."""
        for position, (held_number, _) in enumerate(self.unstored_ends):
            if held_number == number:
                self.unstored_ends[position] = (number, commit_number)
                break
        self.record_stored_ends(self.stored_commit)

    def succeeded_by(self, *, fencing_token: int, now_ms: int) -> "ServerLife":
        """Return the next life, of which nothing is known yet."""
        return ServerLife(fencing_token=fencing_token, known_since_ms=now_ms, is_first=False)
