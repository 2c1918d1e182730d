"""Orders to a backend server and its reports of what runs there."""

from abc import ABC, abstractmethod
from enum import StrEnum

from attrs import frozen
from expression import Result

from fireflydeck.core.errors import Failure

__all__ = [
    "BackendServerOrders",
    "EndedRun",
    "HoldReport",
    "RunEnd",
    "RunningTask",
    "StartOrder",
    "StartOutcome",
]


class StartOutcome(StrEnum):
    """Answers to a start; all but `ACCEPTED` mean that nothing was started."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    BUSY = "busy"
    OTHER_INSTANCE = "other-instance"


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class RunningTask:
    """A run at work.

    Parameters
    ----------
    percent
        Share of its work that is done; for a long-running task 100 once it is at work.
    gauge
        For a serving task its tail in milliseconds, otherwise its processor use; `None` if the
        backend server gives none.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    gauge: int | None = None


@frozen
class EndedRun:
    """A run that has ended; `number` grows from 1 in each life of the backend server."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@frozen(kw_only=True)
class HoldReport:
    """What runs on a backend server and what ended there and was not yet acknowledged."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@frozen(kw_only=True)
class StartOrder:
    """Order to start a run.

    Parameters
    ----------
    payload
        The caller's text.
    lease_until_ms
        End of the lease on the backend server's own clock.
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
    """Orders to one life of a backend server.

    A failure means that the outcome is unknown, unless it carries `Ran.NO`.
    """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""

    @abstractmethod
    async def start(self, order: StartOrder, *, timeout_ms: int) -> Result[StartOutcome, Failure]:
        """Order the start of a run."""

    @abstractmethod
    async def stop(
        self, *, task: str, run: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Order the stop of a run; true if the order was taken."""

    @abstractmethod
    async def pace(
        self, *, task: str, run: int, percent: int, fencing_token: int, timeout_ms: int
    ) -> Result[bool, Failure]:
        """Let a run work at a share of its speed; true if the order was taken."""

    @abstractmethod
    async def hold(
        self, *, fencing_token: int, acknowledged_end: int, lease_until_ms: int, wait_ms: int
    ) -> Result[HoldReport, Failure]:
        """Extend the lease of all that runs, and return both lists.

        Parameters
        ----------
        acknowledged_end
            Number of the newest end that is stored; ends up to it are forgotten there.
        lease_until_ms
            New end of the lease on the backend server's clock; 0 to leave it.
        wait_ms
            How long the answer may wait for an end.

        Failures: `NOT_OWNER` for a fencing token that is too low, `BACKEND_LOST` if another
        instance answers, `BACKEND_REFUSED` for any other refusal.
        """
