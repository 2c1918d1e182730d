"""In-memory backend server that runs tasks under leases and checks fencing tokens."""

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import (
    ActiveRun,
    EndedRun,
    HeartbeatReport,
    RunEnd,
    StartOrder,
    StartOutcome,
)
from fireflydeck.core.placement import Resources
from fireflydeck.standins.run_record import RunRecord

__all__ = ["TaskServer"]

_MAX_LEASE_MS = 6000


@define
class _Run:
    task: str
    run: int
    ends_at_ms: int | None
    record: RunRecord
    end: RunEnd = RunEnd.DONE


@define(eq=False)
class TaskServer:
    """In-memory backend server; `crash` restarts it.

    Parameters
    ----------
    duration_ms
        Run time of a task; `None` for tasks that end only by an order.
    clock_offset_ms, clock_rate
        Offset and rate of the server's clock relative to `clock`.
    name
        Name of the server in the records.
    born_ms
        Start time that the server reports; identifies its incarnation.
    starts
        Accepted starts: task and run.
    end_of_next
        How the runs that start from now on end.
    gauges
        Values that the server reports for running tasks, by task.
    paces
        Accepted pace orders: task and percent.
    max_listed_ends
        Number of ends that one report lists, the oldest first.
    records
        All runs, in the order of their starts.
    """

    clock: Clock
    capacity: Resources
    duration_ms: int | None = 600
    clock_offset_ms: int = 0
    clock_rate: float = 1.0
    name: str = ""
    born_ms: int = 1
    fencing_token: int = 0
    lease_until_ms: int = 0
    starts: list[tuple[str, int]] = field(factory=list)
    end_of_next: RunEnd = RunEnd.DONE
    gauges: dict[str, int] = field(factory=dict)
    paces: list[tuple[str, int]] = field(factory=list)
    max_listed_ends: int = 500
    records: list[RunRecord] = field(factory=list)
    _running: dict[tuple[str, int], _Run] = field(factory=dict)
    _ended: list[EndedRun] = field(factory=list)
    _unnoted: dict[int, RunRecord] = field(factory=dict)
    _last_number: int = 0
    _least_run: dict[str, int] = field(factory=dict)

    def clock_ms(self) -> int:
        """Return the time of the server's own monotonic clock."""
        return int(self.clock.now_ms() * self.clock_rate) + self.clock_offset_ms

    def crash(self, *, clock_ms: int | None = None) -> None:
        """Restart the server as a new incarnation without any state.

        Parameters
        ----------
        clock_ms
            Time at which its clock starts; by default the clock goes on.
        """
        self._advance()
        for run in self._running.values():
            run.record.ended_ms = self.clock.now_ms()
        self._unnoted.clear()
        self.born_ms += 1
        if clock_ms is not None:
            self.clock_offset_ms += clock_ms - self.clock_ms()
        self.fencing_token = 0
        self.lease_until_ms = 0
        self._running.clear()
        self._ended.clear()
        self._least_run.clear()
        self._last_number = 0

    def running(self) -> list[str]:
        """Return the names of the running tasks, sorted."""
        self._advance()
        return sorted(task for task, _ in self._running)

    def start(self, order: StartOrder) -> StartOutcome:
        """Start a run; return whether the order is accepted, or why not."""
        self._advance()
        if order.fencing_token < self.fencing_token:
            return StartOutcome.FENCED
        self.fencing_token = order.fencing_token
        if order.lease_until_ms <= self.clock_ms():
            return StartOutcome.LATE
        self._extend(order.lease_until_ms)
        if (order.task, order.run) in self._running:
            return StartOutcome.ACCEPTED
        if order.run <= self._least_run.get(order.task, 0):
            return StartOutcome.OLD_RUN
        ends_at_ms = None if self.duration_ms is None else self.clock.now_ms() + self.duration_ms
        now_ms = self.clock.now_ms()
        record = RunRecord(order.task, order.run, self.name, order.payload, now_ms)
        self.records.append(record)
        run = _Run(order.task, order.run, ends_at_ms, record, self.end_of_next)
        self._running[order.task, order.run] = run
        self.starts.append((order.task, order.run))
        return StartOutcome.ACCEPTED

    def stop(self, task: str, run: int, fencing_token: int) -> bool:
        """Stop a run; if it is not running, reject its start from now on.

        Returns `False` for a fencing token that is too low.
        """
        self._advance()
        if fencing_token < self.fencing_token:
            return False
        self.fencing_token = fencing_token
        self._least_run[task] = max(run, self._least_run.get(task, 0))
        if (task, run) in self._running:
            self._end((task, run), RunEnd.STOPPED, self.clock.now_ms())
        return True

    def pace(self, task: str, run: int, percent: int, fencing_token: int) -> bool:
        """Record the pace of a run; return whether the order is accepted."""
        if fencing_token < self.fencing_token or (task, run) not in self._running:
            return False
        self.paces.append((task, percent))
        return True

    def answer_heartbeat(
        self, fencing_token: int, acknowledged_end: int, lease_until_ms: int
    ) -> HeartbeatReport | None:
        """Extend the lease and report the runs; `None` for a fencing token that is too low."""
        self._advance()
        if fencing_token < self.fencing_token:
            return None
        self.fencing_token = fencing_token
        self._acknowledge(acknowledged_end)
        if lease_until_ms:
            self._extend(lease_until_ms)
        running = tuple(
            ActiveRun(task, run, "", 100, self.gauges.get(task)) for task, run in self._running
        )
        return HeartbeatReport(
            clock_ms=self.clock_ms(),
            born_ms=self.born_ms,
            running=running,
            ended=tuple(self._ended[: self.max_listed_ends]),
            has_more_ends=len(self._ended) > self.max_listed_ends,
        )

    def _extend(self, until_ms: int) -> None:
        latest_ms = self.clock_ms() + _MAX_LEASE_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, latest_ms))

    def _acknowledge(self, number: int) -> None:
        self._ended = [ended for ended in self._ended if ended.number > number]
        for acknowledged in [other for other in self._unnoted if other <= number]:
            self._unnoted.pop(acknowledged).noted_ms = self.clock.now_ms()

    def _advance(self) -> None:
        """End the runs that have finished or whose lease has expired, at the time when they did."""
        now_ms = self.clock.now_ms()
        lease_end_ms = self._lease_end_ms()
        for key, run in list(self._running.items()):
            if run.ends_at_ms is not None and run.ends_at_ms <= min(now_ms, lease_end_ms):
                self._end(key, run.end, run.ends_at_ms)
            elif lease_end_ms < now_ms:
                self._end(key, RunEnd.LAPSED, lease_end_ms)
        if lease_end_ms < now_ms:
            for record in self._unnoted.values():
                record.lapsed_before_noted = True

    def _lease_end_ms(self) -> int:
        """Return the end of the lease on `clock`, from which the server's clock is derived."""
        return int((self.lease_until_ms - self.clock_offset_ms) / self.clock_rate)

    def _end(self, key: tuple[str, int], end: RunEnd, at_ms: int) -> None:
        ended_run = self._running.pop(key)
        ended_run.record.ended_ms = at_ms
        ended_run.record.end = end
        self._last_number += 1
        self._unnoted[self._last_number] = ended_run.record
        task, run = key
        self._least_run[task] = max(run, self._least_run.get(task, 0))
        self._ended.append(EndedRun(self._last_number, task, run, end, ""))
