"""Tells operators how far a wave of maintenance is."""

from fireflydeck.core import Failure, Reason
from fireflydeck.core.rows import ABSENT_VERSION, RowCondition, RowStore, RowTransaction, RowWrite
from fireflydeck.platform.documents import WaveState, encode_wave_state, wave_status_row

__all__ = ["report_wave"]

_TIMEOUT_MS = 1200


async def report_wave(store: RowStore, number: int, state: str) -> Failure | None:
    """Write the status of a wave; one that stands is replaced only by completion."""
    key = wave_status_row(number)
    is_first = state == WaveState.RUNNING
    transaction = RowTransaction(
        conditions=(RowCondition(key, ABSENT_VERSION),) if is_first else (),
        writes=(RowWrite(key, encode_wave_state(state)),),
    )
    result = await store.commit(transaction, timeout_ms=_TIMEOUT_MS)
    if result.is_ok() or (is_first and result.error.reason == Reason.CONFLICT):
        return None
    return result.error
