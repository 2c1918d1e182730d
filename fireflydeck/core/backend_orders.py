"""Interface for orders to a backend server, and its reports of running and ended runs."""

from abc import ABC, abstractmethod
from enum import StrEnum

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure

__all__ = [
    "ActiveRun",
    "BackendServerOrders",
    "EndedRun",
    "HeartbeatReport",
    "RunEnd",
    "StartAnswer",
    "StartOrder",
    "StartOutcome",
]


class StartOutcome(StrEnum):
    """Answer to a start order; all but `ACCEPTED` mean that nothing was started.

    `FENCED`: the fencing token is lower than one that the backend server has seen. `OLD_RUN`: the
    run's number is not higher than that of a run that ended or was stopped. `LATE`: the lease in
    the order has already expired. `NO_ROOM`: the free capacity is too small for the task.
    `NO_TICKET`: the order has no valid ticket of the placement advisor. `BUSY`: the backend server
    rejects calls at present. `OTHER_INSTANCE`: another instance uses the address.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    BUSY = "busy"
    OTHER_INSTANCE = "other-instance"


@frozen
class StartAnswer:
    """Answer to a start order.

    Parameters
    ----------
    clock_ms
        Time on the backend server's own clock, in milliseconds; `None` if the answer has none.
    """

    outcome: StartOutcome
    clock_ms: int | None = None


class RunEnd(StrEnum):
    """Way in which a run ended.

    For tasks that are not long-running, `DONE` finishes the task and `FAILED` counts as a failed
    attempt; no other end counts as one. `LAPSED`: the lease of the run expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class ActiveRun:
    """A run that is in progress.

    Parameters
    ----------
    percent
        Share of its work that is done; for a long-running task 100 once it is available, that is,
        does its work and is no longer starting up.
    gauge
        For a serving task its percentile latency in milliseconds, otherwise its processor use;
        `None` if the backend server reports none.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    gauge: int | None = None


@frozen
class EndedRun:
    """A run that has ended.

    Parameters
    ----------
    number
        Sequence number of the end; it starts at 1 in each incarnation of the backend server.
    """

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@frozen(kw_only=True)
class HeartbeatReport:
    """Runs in progress on a backend server, and ended runs that are not yet acknowledged.

    Parameters
    ----------
    ended
        The ended runs with the lowest numbers.
    has_more_ends
        Whether there may be further ended runs, which are listed once these are acknowledged. A run
        that is not listed may be one of them.
    clock_ms
        Time on the backend server's own clock.
    born_ms
        Start time that identifies the incarnation of the backend server.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    has_more_ends: bool = False


@frozen(kw_only=True)
class StartOrder:
    """Order to start a run.

    Parameters
    ----------
    payload
        Text that the caller submitted.
    lease_until_ms
        End of the lease on the backend server's own clock, in milliseconds.
    checkpoint
        Checkpoint to resume from; empty for none.
    ticket
        Ticket of the placement advisor; empty for none.
    """

    task: str
    run: int
    payload: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class BackendServerOrders(ABC):
    """Orders to one incarnation of a backend server.

    A failure means that the outcome is unknown, unless it carries `Ran.NO`.
    """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""

    @abstractmethod
    async def start(self, order: StartOrder, *, timeout_ms: int) -> Result[StartAnswer, Failure]:
        """Order the start of a run."""

    @abstractmethod
    async def stop(
        self, *, task: str, run: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Order the stop of a run; return whether the order was accepted."""

    @abstractmethod
    async def pace(
        self, *, task: str, run: int, percent: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Set the pace of a run, which is its speed in percent of the full speed.

        Parameters
        ----------
        percent
            The new pace, in percent.

        Returns
        -------
        Result[bool, Failure]
            Whether the order was accepted.
        """

    @abstractmethod
    async def send_heartbeat(
        self, *, fencing_token: int, acknowledged_end: int, lease_until_ms: int, wait_ms: int
    ) -> Result[HeartbeatReport, Failure]:
        """Send a heartbeat, which extends the lease of all runs and returns a report.

        Parameters
        ----------
        acknowledged_end
            Number of the newest end that is stored; the backend server discards ends up to it.
        lease_until_ms
            New end of the lease on the backend server's clock, in milliseconds; 0 leaves the lease
            unchanged.
        wait_ms
            How long the backend server may delay its answer to wait for the end of a run, in
            milliseconds.

        Returns
        -------
        Result[HeartbeatReport, Failure]
            The report, or a failure: `NOT_OWNER` for a fencing token that is too low,
            `BACKEND_LOST` if another instance answers, `BACKEND_REFUSED` for any other refusal.
        """
