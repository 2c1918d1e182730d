"""Calls to the store for callers' requests, repeated for a limited time if they fail."""

from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import Clock, Failure, Ran, Reason
from fireflydeck.core.rows import RowKey, RowStore, RowTransaction, StoredRow
from fireflydeck.observation.store_silence import StoreSilence

__all__ = ["StoreCalls", "uncertain_if"]

_CALL_TIMEOUT_MS = 1200
_MIN_CALL_TIMEOUT_MS = 50
_RETRY_DELAY_MS = 80
_MAX_REFUSED_RETRY_MS = 400
"""How long a call that the store refuses is retried before the caller's request is refused."""
_MAX_UNCERTAIN_RETRY_MS = 800
"""How long a call without an answer is retried; `CallerInterface` then forwards the request."""


class StoreCalls:
    """Transactions and reads, which are retried until a deadline on the process's clock."""

    def __init__(self, store: RowStore, clock: Clock, silence: StoreSilence) -> None:
        self._store = store
        self._clock = clock
        self._silence = silence

    async def commit(self, transaction: RowTransaction, deadline_ms: int) -> Result[int, Failure]:
        """Commit a transaction, and retry for a limited time until the outcome is known.

        After a call without an answer, the refusal of a retry does not show that nothing is
        stored: the earlier call may still take effect. A conflict then means that it took effect,
        or that another caller's transaction did; it has `Ran.UNKNOWN`. While the store is silent, a
        transaction that is certainly not applied is not sent again, which would make its outcome
        unknown.
        """
        started_ms = self._clock.now_ms()
        uncertain: Failure | None = None
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            result = await self._store.commit(
                transaction,
                timeout_ms=max(_MIN_CALL_TIMEOUT_MS, min(_CALL_TIMEOUT_MS, remaining_ms)),
            )
            if result.is_ok():
                return result
            if result.error.reason == Reason.CONFLICT:
                return Error(uncertain_if(result.error, uncertain is not None))
            if result.error.ran == Ran.UNKNOWN:
                uncertain = result.error
            elapsed_ms = self._clock.now_ms() - started_ms
            limit_ms = _MAX_REFUSED_RETRY_MS if uncertain is None else _MAX_UNCERTAIN_RETRY_MS
            if elapsed_ms > limit_ms or self._clock.now_ms() + _RETRY_DELAY_MS >= deadline_ms:
                return Error(uncertain or result.error)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            if uncertain is None and self._silence.is_silent:
                return Error(result.error)

    async def read_row(self, key: RowKey, deadline_ms: int) -> Result[StoredRow | None, Failure]:
        """Return one row, or `None` if it does not exist, and retry for a limited time."""
        result = await self.read_range(
            key.table, key.partition, key.key, key.key + "\0", deadline_ms
        )
        return result.map(lambda rows: rows[0] if rows else None)

    async def read_range(
        self, table: str, partition: str, first: str, before: str, deadline_ms: int
    ) -> Result[tuple[StoredRow, ...], Failure]:
        """Read the rows with ``first <= key < before``, and retry for a limited time."""
        started_ms = self._clock.now_ms()
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            result = await self._store.read(
                table,
                partition,
                first=first,
                before=before,
                timeout_ms=max(_MIN_CALL_TIMEOUT_MS, min(_CALL_TIMEOUT_MS, remaining_ms)),
            )
            if result.is_ok():
                return Ok(result.ok.rows)
            elapsed_ms = self._clock.now_ms() - started_ms
            if (
                elapsed_ms > _MAX_UNCERTAIN_RETRY_MS
                or self._clock.now_ms() + _RETRY_DELAY_MS >= deadline_ms
            ):
                return Error(result.error)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)


def uncertain_if(failure: Failure, is_uncertain: bool) -> Failure:
    """Return a failure, with `Ran.UNKNOWN` if an earlier call may still take effect."""
    return evolve(failure, ran=Ran.UNKNOWN) if is_uncertain else failure
