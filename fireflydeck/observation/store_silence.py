"""Detection of a store that does not answer this process, from the calls that it makes anyway."""

from collections import deque
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from expression import Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import (
    ABSENT_VERSION,
    RowKey,
    RowStore,
    RowTransaction,
    VersionedRows,
)
from fireflydeck.kernel import EventLog, Registry, Service, keep_running

__all__ = ["MonitoredRowStore", "StoreProbe", "StoreSilence"]

T = TypeVar("T")

_PROBE_INTERVAL_MS = 250
_VERSION_INTERVAL_MS = 50
_MAX_VERSION_AGE_MS = 1000
_PROBE_TIMEOUT_MS = 1200
"""Equals the timeout of a submission's write, which a slower store could not confirm."""


class StoreSilence:
    """Whether the store is silent: a call timed out, and no call was answered since.

    A call that is not answered says nothing if another call was answered in the time in which its
    own answer was due: a store that loses single answers is not silent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_ms = clock.now_ms()
        self._is_silent = False
        # Versions of the store that answers named, with their times; the newest one comes last.
        self._seen_versions: deque[tuple[int, int]] = deque()
        self._began = anyio.Event()

    def version_seen_before(self, duration_ms: int) -> int:
        """Return the newest version of the store that an answer had named some time ago.

        Rows of this version or an older one were written earlier than `duration_ms` ago, which is
        at most a second.
        """
        until_ms = self._clock.now_ms() - duration_ms
        seen = (version for at_ms, version in self._seen_versions if at_ms <= until_ms)
        return max(seen, default=ABSENT_VERSION)

    @property
    def is_silent(self) -> bool:
        """Return whether a call has timed out since the last answer."""
        return self._is_silent

    @property
    def duration_ms(self) -> int:
        """Return the time since the last answer in milliseconds; 0 unless the store is silent."""
        return self._clock.now_ms() - self._answered_ms if self._is_silent else 0

    async def wait_silent(self) -> None:
        """Wait until the store is silent."""
        await self._began.wait()

    def record_answer(self, version: int = ABSENT_VERSION) -> None:
        """Record that a call was answered, with whatever result.

        Parameters
        ----------
        version
            Version of the store that the answer names.
        """
        self._answered_ms = self._clock.now_ms()
        self._record_version(version)
        if self._is_silent:
            self._is_silent = False
            self._began = anyio.Event()

    def _record_version(self, version: int) -> None:
        """Add a version to those seen; it replaces the last one if that was added shortly before.

        Of the versions that are older than any that is asked for, only the newest one is kept.
        """
        seen, now_ms = self._seen_versions, self._clock.now_ms()
        if seen and version <= seen[-1][1]:
            return
        if len(seen) > 1 and now_ms - seen[-2][0] < _VERSION_INTERVAL_MS:
            seen.pop()
        seen.append((now_ms, version))
        while len(seen) > 1 and seen[1][0] <= now_ms - _MAX_VERSION_AGE_MS:
            seen.popleft()

    def record_no_answer(self, due_ms: int) -> None:
        """Record that a call got no answer.

        Parameters
        ----------
        due_ms
            Earliest time at which the store should have answered, in milliseconds.
        """
        if self._answered_ms <= due_ms:
            self._is_silent = True
            self._began.set()


class MonitoredRowStore(RowStore):
    """Row store that records for each call whether it was answered.

    A call that certainly had no effect and failed with `STORE_UNAVAILABLE` counts neither way: the
    store may have refused it, or it was never sent.
    """

    def __init__(self, store: RowStore, silence: StoreSilence, clock: Clock) -> None:
        self._store = store
        self._silence = silence
        self._clock = clock

    async def commit(self, transaction: RowTransaction, *, timeout_ms: int) -> Result[int, Failure]:
        """Commit the transaction and return its version."""
        due_ms = self._clock.now_ms()
        result = await self._store.commit(transaction, timeout_ms=timeout_ms)
        return self._record(result, due_ms, result.default_value(ABSENT_VERSION))

    async def read(
        self, table: str, partition: str, *, first: str = "", before: str = "", timeout_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return all rows with ``first <= key < before``."""
        due_ms = self._clock.now_ms()
        result = await self._store.read(
            table, partition, first=first, before=before, timeout_ms=timeout_ms
        )
        return self._record(result, due_ms, result.map(_version).default_value(ABSENT_VERSION))

    async def read_changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return the rows of a table that changed after a version."""
        due_ms = self._clock.now_ms() + wait_ms
        result = await self._store.read_changes(table, after=after, wait_ms=wait_ms)
        return self._record(result, due_ms, result.map(_version).default_value(ABSENT_VERSION))

    def _record(self, result: Result[T, Failure], due_ms: int, version: int) -> Result[T, Failure]:
        if result.is_ok() or result.error.reason != Reason.STORE_UNAVAILABLE:
            self._silence.record_answer(version)
        elif result.error.ran == Ran.UNKNOWN:
            self._silence.record_no_answer(min(due_ms, self._clock.now_ms()))
        return result


def _version(rows: VersionedRows) -> int:
    return rows.version


class StoreProbe(Service):
    """Service that reads one row repeatedly while the store is silent, to notice its next answer.

    Without it, the silence would last until the calls in progress time out and are repeated, up to
    2 s after the store answers again.

    Parameters
    ----------
    store
        Store whose calls are recorded in `silence`.
    key
        Row to read; it need not exist.
    """

    def __init__(
        self, store: RowStore, silence: StoreSilence, clock: Clock, log: EventLog, *, key: RowKey
    ) -> None:
        self._store = store
        self._silence = silence
        self._clock = clock
        self._log = log
        self._key = key

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "store-probe"

    def state(self) -> dict[str, object]:
        """Return the state to dump."""
        return {"silent_ms": self._silence.duration_ms}

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to wait for silence."""
        tasks.start_soon(keep_running, self._clock, self._log, self.name, self.run)

    async def run(self) -> None:
        """Read while the store is silent, until cancelled.

        The reads overlap: one that is lost does not delay the next.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await self._silence.wait_silent()
                tasks.start_soon(self._read)
                await self._clock.sleep_ms(_PROBE_INTERVAL_MS)

    async def _read(self) -> None:
        await self._store.read_row(self._key, timeout_ms=_PROBE_TIMEOUT_MS)
