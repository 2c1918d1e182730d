"""Buffering of decision records in memory and writing in batches to the object store."""

import json
import zlib
from collections import deque
from collections.abc import Iterable

from anyio.abc import TaskGroup
from attrs import frozen

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Clock
from fireflydeck.core.converter import to_plain
from fireflydeck.history.decision import Decision, DecisionBatch, Input, Subject
from fireflydeck.kernel import Event, EventLog, Metrics, Registry, Service
from fireflydeck.tables import ObjectStore

__all__ = ["History", "HistoryOptions", "batch_prefix"]

_MS_PER_MINUTE = 60_000


@frozen(kw_only=True)
class HistoryOptions:
    """Limits of the buffer of decision records.

    Parameters
    ----------
    max_pending_decisions
        Maximum number of decisions that wait in memory for the object store. If there are more, the
        oldest are dropped and counted in a metric.
    flush_interval_ms
        Time between batches. A killed process loses at most the decisions of this time and those of
        one write in progress.
    """

    max_pending_decisions: int = 20_000
    flush_interval_ms: int = 2_000


def batch_prefix(wall_ms: int) -> str:
    """Return the object key prefix of the batches of a minute.

    Parameters
    ----------
    wall_ms
        A wall time within the minute.

    Examples
    --------
    >>> batch_prefix(1_800_000_061_000)
    'history/30000001/'
    """
    return f"history/{wall_ms // _MS_PER_MINUTE}/"


class History(Service):
    """Records the decisions of this process.

    Parameters
    ----------
    member
        Name of this process in the configuration.
    view
        Configuration in force; each record contains its version.
    """

    def __init__(
        self,
        *,
        member: str,
        view: ConfigurationView,
        objects: ObjectStore,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        options: HistoryOptions | None = None,
    ) -> None:
        self._member = member
        self._view = view
        self._objects = objects
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._options = options or HistoryOptions()
        self._pending: deque[Decision] = deque()
        self._last_decision_number = 0
        self._written_batches = 0

    @property
    def name(self) -> str:
        """Name of the service."""
        return "history"

    def record(
        self,
        *subjects: Subject,
        rule: str,
        outcome: str,
        step: str,
        peer: str = "",
        inputs: Iterable[Input] = (),
    ) -> None:
        """Record one decision; subjects with an empty name are omitted."""
        self._last_decision_number += 1
        decision = Decision(
            number=self._last_decision_number,
            wall_ms=self._clock.wall_ms(),
            member=self._member,
            subjects=tuple(subject for subject in subjects if subject.name),
            rule=rule,
            outcome=outcome,
            step=step,
            peer=peer,
            version=self._view.current.version,
            inputs=inputs,
        )
        self._pending.append(decision)
        if len(self._pending) > self._options.max_pending_decisions:
            self._pending.popleft()
            self._metrics.count("history_dropped_total")

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the background task that writes batches."""
        tasks.start_soon(self._flush_periodically)

    async def stop(self) -> None:
        """Write the pending decisions in a single attempt."""
        await self.flush()

    def state(self) -> dict[str, int]:
        """Return the numbers of recorded and pending decisions and of written batches."""
        return {
            "recorded": self._last_decision_number,
            "pending": len(self._pending),
            "batches": self._written_batches,
        }

    async def flush(self) -> None:
        """Write the pending decisions as one batch; they remain pending if the write fails."""
        if not self._pending:
            return
        decisions = tuple(self._pending)
        key = f"{batch_prefix(decisions[0].wall_ms)}{self._member}-{decisions[0].number:012d}"
        plain = to_plain(DecisionBatch(decisions))
        content = zlib.compress(json.dumps(plain, separators=(",", ":")).encode())
        result = await self._objects.put(key, content)
        if result.is_error():
            self._log.emit(Event.HISTORY_WRITE_FAILED, pending=len(self._pending))
            return
        last = decisions[-1].number
        while self._pending and self._pending[0].number <= last:
            self._pending.popleft()
        self._written_batches += 1

    async def _flush_periodically(self) -> None:
        while True:
            await self._clock.sleep_ms(self._options.flush_interval_ms)
            await self.flush()
