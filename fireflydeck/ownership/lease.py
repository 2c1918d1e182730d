"""Service that acquires, renews, releases and hands over the fleet's lease in the store."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import evolve

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.pool_overload import PoolOverload
from fireflydeck.core.rows import RowKey, RowStore, RowWrite, StoredRow
from fireflydeck.kernel import Event, EventLog, Registry, Service, keep_running
from fireflydeck.ownership.candidacy import lease_free_at_ms
from fireflydeck.ownership.fenced_commits import FencedCommits
from fireflydeck.ownership.larger_vm_search import LargerVmSearch
from fireflydeck.ownership.lease_rows import CALL_TIMEOUT_MS, LeaseRows
from fireflydeck.ownership.lease_validity import NOT_VALID
from fireflydeck.ownership.published_overload import PublishedOverload
from fireflydeck.ownership.records import (
    COMMIT_ROW,
    LEASE_ROW,
    TOKENS_PER_TERM,
    LeaseRecord,
    Tenure,
    decode_lease,
)
from fireflydeck.ownership.succession import Successors

__all__ = ["LeaseKeeper"]

_TTL_MS = 1500
_MAX_TTL_MS = 4000
_TTL_LATENCY_FACTOR = 5
"""A renewal may take this many times as long as the last one before the lease expires."""
_RENEWAL_INTERVAL_MS = 400
_WATCH_PAUSE_MS = 200
_MAX_WATCH_WAIT_MS = 500
_RETRY_DELAY_MS = 100
_MS_PER_S = 1000
_MIN_TIMEOUT_MS = 50
_HAND_OVER_FRACTION = 0.4
"""Fraction of the usual time to live without a confirmed renewal after which a successor is sought.
"""
_MAX_SUCCESSION_READ_MS = 50
"""A process whose read takes longer is no successor: while the store is slow, the first reads of a
successor would take longer than the lease lasts."""
_MIN_RESOLVE_MS = 200
_RESOLVE_LATENCY_FACTOR = 4
"""The outcome of a renewal is queried for this many times as long as the last renewal took, but at
least for `_MIN_RESOLVE_MS`, before a successor is sought."""
_MAX_RELEASE_ATTEMPTS = 4
_MAX_SUCCESSION_ATTEMPTS = 3
"""A delayed renewal of the previous holder may change the row between two attempts."""


class LeaseKeeper(Service):
    """Holder of the fleet's lease, or candidate for it; at most one process is the holder.

    Parameters
    ----------
    name
        Name of this process.
    address
        ``ip:port`` where other processes reach this one.
    candidate_delay_ms
        How long this process waits before it acquires a free lease, so that processes on larger
        VMs can acquire it first. It does not wait if the last holder's VM was as small.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        log: EventLog,
        *,
        name: str,
        address: str,
        candidate_delay_ms: int = 0,
    ) -> None:
        self._rows = LeaseRows(store, log)
        self._clock = clock
        self._log = log
        self._process_name = name
        self._address = address
        self._candidate_delay_ms = candidate_delay_ms
        self._record: LeaseRecord | None = None
        self._unchanged_since_ms = clock.now_ms()
        self._regained_ms: int | None = None
        self._larger_vm_search = LargerVmSearch()
        # Sequence number of the last renewal sent, and the time at which it was first sent.
        self._sent_renewal: tuple[int, int] | None = None
        self._renewal_latency_ms = 0
        self._validity = NOT_VALID
        self._tenure: Tenure | None = None
        self._ttl_ms = _TTL_MS
        self._stopping = False
        self._take_over_lock = anyio.Lock()
        self._change_listeners: list[Callable[[Tenure | None], None]] = []
        self._pending_source: Callable[[], dict[str, int] | None] = dict
        self._overload_source: Callable[[], dict[str, PoolOverload] | None] = dict
        self._published_overload = PublishedOverload(clock)
        self._successors: Successors | None = None
        self._fenced_commits = FencedCommits(
            self._rows, clock, current_tenure=lambda: self._tenure, end_tenure=self._end_tenure
        )

    @property
    def name(self) -> str:
        """Name of the service."""
        return "lease"

    @property
    def tenure(self) -> Tenure | None:
        """Return the tenure of this process, or `None` if it does not hold the lease."""
        return self._tenure

    @property
    def last_record(self) -> LeaseRecord | None:
        """Return the lease record as last seen; it names the holder."""
        return self._record

    @property
    def valid_until_ms(self) -> int:
        """Return the time until which this process holds the lease, in ms on its own clock."""
        return self._validity.until_ms

    def is_valid(self) -> bool:
        """Return whether this process holds a lease that has not expired."""
        return self._tenure is not None and not self._validity.is_over(self._clock.now_ms())

    def on_change(self, listener: Callable[[Tenure | None], None]) -> None:
        """Call `listener` with the new tenure, or `None`, whenever the tenure changes."""
        self._change_listeners.append(listener)

    def set_pending_source(self, source: Callable[[], dict[str, int] | None]) -> None:
        """Set the function that returns the pending jobs by queue, which renewals publish.

        While it returns `None`, the counts of the previous holder stay published.
        """
        self._pending_source = source

    def set_overload_source(self, source: Callable[[], dict[str, PoolOverload] | None]) -> None:
        """Set the function that returns the overloaded pools by name, which renewals publish.

        While it returns `None`, because the jobs are not known yet, no overload is published.
        """
        self._overload_source = source

    def overload_of(self, pool: str) -> PoolOverload | None:
        """Return the overload of a pool; `None` if there is none, or none published recently."""
        return self._published_overload.of_pool(pool)

    def set_successors(self, successors: Successors) -> None:
        """Set the possible successors for the case that only this process can't reach the store."""
        self._successors = successors

    def state(self) -> dict[str, object]:
        """Return the state to dump."""
        return {
            "term": self._tenure.term if self._tenure else 0,
            "holder": self._record.holder if self._record else "",
            "valid_for_ms": self._valid_for_ms(),
        }

    def _valid_for_ms(self) -> int:
        return self._validity.until_ms - self._clock.now_ms()

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to watch the lease."""
        tasks.start_soon(keep_running, self._clock, self._log, self.name, self._run)

    async def stop(self) -> None:
        """Release the lease, so that another process can take it over immediately."""
        self._stopping = True
        tenure = self._tenure
        if tenure is None:
            return
        self._end_tenure("released")
        is_released = False
        with anyio.move_on_after(CALL_TIMEOUT_MS / _MS_PER_S):
            is_released = await self._release(tenure.term)
        if not is_released:
            self._log.emit(Event.LEASE_NOT_RELEASED, term=tenure.term)

    async def _release(self, term: int) -> bool:
        """Mark the lease's row as free; return whether this process does not hold it any more.

        A renewal that was in flight may have changed the row, which is then read again.
        """
        for _ in range(_MAX_RELEASE_ATTEMPTS):
            record = self._record
            if record is None or record.term != term or record.holder != self._process_name:
                return True
            released = evolve(record, holder="", sequence=record.sequence + 1, overload={})
            failure = await self._rows.write_lease(released, CALL_TIMEOUT_MS)
            if failure is None:
                return True
            if failure.reason != Reason.CONFLICT:
                self._rows.health.record_failure(failure)
                await self._clock.sleep_ms(_RETRY_DELAY_MS)
            self._apply_rows(await self._rows.read() or {})
        return False

    def resign(self, tenure: Tenure, why: str) -> None:
        """End a tenure immediately, because another process is known to hold the lease.

        Does nothing if the tenure has ended already. `why` is logged.
        """
        if self._tenure is tenure:
            self._end_tenure(why)

    async def can_take_over(self, term: int, *, from_smaller_vm: bool = False) -> bool:
        """Return whether this process can take the lease over from the holder of the term.

        The store must answer it quickly, and its VM must be as large as the holder's.

        Parameters
        ----------
        from_smaller_vm
            Whether this process must be on a large VM.
        """
        if self._stopping or self._tenure is not None:
            return False
        if from_smaller_vm and self._candidate_delay_ms > 0:
            return False
        sent_ms = self._clock.now_ms()
        with anyio.move_on_after(_MAX_SUCCESSION_READ_MS / _MS_PER_S):
            rows = await self._rows.read()
            if rows is None or self._clock.now_ms() - sent_ms > _MAX_SUCCESSION_READ_MS:
                return False
            self._apply_rows(rows)
            record = self._record
            if record is None or record.term != term:
                return False
            return self._candidate_delay_ms <= record.candidate_delay_ms
        return False

    def _known_term(self) -> int:
        return self._record.term if self._record is not None else 0

    async def accept_hand_over(self, term: int) -> None:
        """Take the lease over from the holder of `term`, which has stopped giving orders."""
        self._log.emit(Event.LEASE_OFFERED, term=term, known=self._known_term())
        for _ in range(_MAX_SUCCESSION_ATTEMPTS):
            async with self._take_over_lock:
                if self._stopping or self._tenure is not None or self._known_term() != term:
                    return
                await self._take_over()
            if self._tenure is None:
                rows = await self._rows.read()
                self._apply_rows(rows or {})

    async def commit(self, writes: list[RowWrite], removals: list[RowKey]) -> Failure | None:
        """Write and remove rows of the lease's partition; see `FencedCommits.commit`."""
        return await self._fenced_commits.commit(writes, removals)

    async def _run(self) -> None:
        while not self._stopping:
            if self._tenure is not None:
                await self._renew()
            else:
                await self._watch()

    async def _renew(self) -> None:
        """Renew the lease; if that fails, resolve the outcome or hand the lease over."""
        record = self._record
        tenure = self._tenure
        if record is None or tenure is None:
            return
        sent_ms = self._clock.now_ms()
        pending = self._pending_source()
        renewed = evolve(
            record,
            sequence=record.sequence + 1,
            ttl_ms=self._validity.renewal_ttl_ms(sent_ms=sent_ms, least_ms=self._ttl_ms),
            pending=record.pending if pending is None else pending,
            overload=self._overload_source() or {},
        )
        if self._sent_renewal is None or self._sent_renewal[0] != renewed.sequence:
            self._sent_renewal = (renewed.sequence, sent_ms)
        result = await self._rows.write_lease(renewed, self._call_timeout_ms())
        if self._tenure is not tenure:
            return
        if result is None:
            latency_ms = self._record_renewal(renewed, sent_ms)
            if not await self._move_to_larger_vm(tenure):
                await self._clock.sleep_ms(max(_RETRY_DELAY_MS, _RENEWAL_INTERVAL_MS - latency_ms))
            return
        if result.reason != Reason.CONFLICT:
            self._rows.health.record_failure(result)
        is_unresolved = result.reason == Reason.CONFLICT or result.ran == Ran.UNKNOWN
        if is_unresolved and await self._resolve_renewal_with_timeout():
            return
        if await self._hand_over(tenure):
            return
        if not (is_unresolved and await self._resolve_renewal()):
            await self._clock.sleep_ms(_RETRY_DELAY_MS)

    def _record_renewal(self, renewed: LeaseRecord, sent_ms: int) -> int:
        """Record a renewal that the store has confirmed; return its latency in milliseconds."""
        latency_ms = self._clock.now_ms() - sent_ms
        earlier = self._record
        self._renewal_latency_ms = latency_ms
        self._confirm(renewed, sent_ms)
        if earlier is not None and renewed.ttl_ms != earlier.ttl_ms:
            self._log.emit(
                Event.LEASE_TTL_CHANGED,
                term=renewed.term,
                ttl_ms=renewed.ttl_ms,
                latency_ms=latency_ms,
                valid_for_ms=self._valid_for_ms(),
            )
        self._ttl_ms = min(_MAX_TTL_MS, max(_TTL_MS, latency_ms * _TTL_LATENCY_FACTOR))
        return latency_ms

    async def _resolve_renewal_with_timeout(self) -> bool:
        """Resolve the renewal within a time limit that follows from the last renewal's latency."""
        resolve_ms = max(_MIN_RESOLVE_MS, self._renewal_latency_ms * _RESOLVE_LATENCY_FACTOR)
        with anyio.move_on_after(resolve_ms / _MS_PER_S):
            return await self._resolve_renewal()
        return False

    async def _hand_over(self, tenure: Tenure) -> bool:
        """Hand the lease over to a process that reaches the store, if this one does not.

        Returns whether the tenure was ended for the hand-over.
        """
        if self._successors is None or self._tenure is not tenure:
            return False
        unconfirmed_ms = self._clock.now_ms() - self._validity.confirmed_ms
        if unconfirmed_ms < self._ttl_ms * _HAND_OVER_FRACTION:
            return False
        return await self._hand_over_to_peer(tenure)

    async def _move_to_larger_vm(self, tenure: Tenure) -> bool:
        """Hand the lease over to a process on a larger VM if there is one.

        Returns whether the tenure was ended for the hand-over.
        """
        if self._successors is None or self._candidate_delay_ms == 0:
            return False
        if not self._larger_vm_search.begin_if_due(self._clock.now_ms()):
            return False
        return await self._hand_over_to_peer(tenure, from_smaller_vm=True)

    async def _hand_over_to_peer(self, tenure: Tenure, *, from_smaller_vm: bool = False) -> bool:
        if self._successors is None:
            return False
        peer = await self._successors.find(tenure.term, from_smaller_vm=from_smaller_vm)
        if peer is None or self._tenure is not tenure:
            return False
        self._end_tenure("handed over", peer=peer)
        await self._successors.hand_over(peer, tenure.term)
        return True

    async def _resolve_renewal(self) -> bool:
        """Find out whether a renewal took effect or another process took the lease over.

        Returns whether the outcome is known; also false if the tenure has ended in the meantime.

        A renewal that took effect without an answer counts from the time when it was first sent:
        no other process can have seen it earlier.
        """
        rows = await self._rows.read()
        lease = rows.get(LEASE_ROW) if rows is not None else None
        if lease is None or self._tenure is None:
            return False
        record = decode_lease(lease.value)
        if record.term != self._tenure.term or record.holder != self._process_name:
            self._apply_lease(record, lease.version)
            self._end_tenure("taken by another process")
            return True
        took_effect = lease.version != self._rows.lease_version
        self._rows.lease_version = lease.version
        self._record = record
        if (
            took_effect
            and self._sent_renewal is not None
            and self._sent_renewal[0] == record.sequence
        ):
            self._confirm(record, self._sent_renewal[1])
        return True

    def _call_timeout_ms(self) -> int:
        return max(_MIN_TIMEOUT_MS, min(CALL_TIMEOUT_MS, self._ttl_ms - _RENEWAL_INTERVAL_MS))

    def _confirm(self, record: LeaseRecord, sent_ms: int) -> None:
        """Extend the lease by its time to live from when the renewal was sent."""
        self._rows.health.record_answer()
        self._record = record
        self._validity = self._validity.renewed(sent_ms=sent_ms, ttl_ms=record.ttl_ms)
        self._published_overload.publish(
            record.overload, term=record.term, sequence=record.sequence, sent_ms=sent_ms
        )

    async def _watch(self) -> None:
        """Follow the lease's row until the lease is free, then take it over."""
        was_failing = self._rows.health.is_failing
        sent_ms = self._clock.now_ms()
        rows = await self._rows.read()
        if rows is None:
            await self._clock.sleep_ms(_WATCH_PAUSE_MS)
            return
        if was_failing:
            self._regained_ms = self._clock.now_ms()
        self._apply_rows(rows)
        self._observe_overload(sent_ms)
        while not self._stopping and self._tenure is None:
            if self._is_free():
                async with self._take_over_lock:
                    if self._tenure is None and self._is_free():
                        await self._take_over()
                return
            await self._clock.sleep_ms(_WATCH_PAUSE_MS)
            sent_ms = self._clock.now_ms()
            changed = await self._rows.changes(self._watch_wait_ms())
            if changed is None:
                return
            self._apply_rows(changed)
            self._observe_overload(sent_ms)

    def _observe_overload(self, sent_ms: int) -> None:
        """Record the overload in the lease record after a read that was sent at a time."""
        record = self._record
        if record is not None:
            self._published_overload.observe(
                record.overload, term=record.term, sequence=record.sequence, sent_ms=sent_ms
            )

    def _watch_wait_ms(self) -> int:
        return max(1, min(_MAX_WATCH_WAIT_MS, self._free_at_ms() - self._clock.now_ms()))

    def _is_free(self) -> bool:
        """Return whether the lease may be acquired now."""
        return self._clock.now_ms() >= self._free_at_ms()

    def _free_at_ms(self) -> int:
        return lease_free_at_ms(
            self._record,
            name=self._process_name,
            unchanged_since_ms=self._unchanged_since_ms,
            candidate_delay_ms=self._candidate_delay_ms,
            regained_ms=self._regained_ms,
        )

    async def _take_over(self) -> None:
        """Try once to acquire the lease under the next term."""
        sent_ms = self._clock.now_ms()
        previous = self._record
        earlier_term = previous.term if previous else 0
        record = LeaseRecord(
            holder=self._process_name,
            address=self._address,
            term=earlier_term + TOKENS_PER_TERM,
            sequence=previous.sequence + 1 if previous else 1,
            ttl_ms=_TTL_MS,
            pending=previous.pending if previous else {},
            candidate_delay_ms=self._candidate_delay_ms,
        )
        result = await self._rows.acquire(record)
        if result.is_error():
            self._log.emit(
                Event.LEASE_NOT_TAKEN,
                term=record.term,
                reason=result.error.reason,
                detail=result.error.detail,
            )
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            return
        self._log.emit(
            Event.LEASE_TAKEN,
            term=record.term,
            version=result.ok,
            earlier_ttl_ms=previous.ttl_ms if previous else 0,
            unchanged_ms=sent_ms - self._unchanged_since_ms,
        )
        self._ttl_ms = _TTL_MS
        self._confirm(record, sent_ms)
        self._larger_vm_search.restart(self._clock.now_ms())
        self._tenure = Tenure(record.term, result.ok, self._clock.now_ms(), earlier_term)
        self._notify()

    def _end_tenure(self, why: str, *, peer: str = "") -> None:
        if self._tenure is None:
            return
        self._log.emit(
            Event.LEASE_LOST,
            term=self._tenure.term,
            why=why,
            peer=peer,
            valid_for_ms=self._valid_for_ms(),
        )
        self._tenure = None
        self._validity = NOT_VALID
        self._sent_renewal = None
        self._unchanged_since_ms = self._clock.now_ms()
        self._notify()

    def _notify(self) -> None:
        for listener in self._change_listeners:
            listener(self._tenure)

    def _apply_rows(self, rows: dict[RowKey, StoredRow]) -> None:
        commits = rows.get(COMMIT_ROW)
        if commits is not None:
            self._rows.commit_version = max(self._rows.commit_version, commits.version)
        lease = rows.get(LEASE_ROW)
        if lease is not None and lease.version > self._rows.lease_version:
            self._apply_lease(decode_lease(lease.value), lease.version)

    def _apply_lease(self, record: LeaseRecord, version: int) -> None:
        if self._record is None or record.holder != self._record.holder:
            self._log.emit(Event.LEASE_HOLDER_SEEN, holder=record.holder, term=record.term)
        self._record = record
        self._rows.lease_version = version
        self._unchanged_since_ms = self._clock.now_ms()
