"""Status rows of maintenance waves, which operators read."""

from fireflydeck.core import Failure, Reason
from fireflydeck.core.rows import ABSENT_VERSION, RowCondition, RowStore, RowTransaction, RowWrite
from fireflydeck.platform.documents import WaveState, encode_wave_state, wave_status_key

__all__ = ["store_wave_status"]

_TIMEOUT_MS = 1200


async def store_wave_status(store: RowStore, number: int, state: str) -> Failure | None:
    """Write the status of a wave.

    A stored status is replaced only by ``completed``: ``running`` is written only if there is no
    row yet, and an existing row then counts as success.

    Returns
    -------
    Failure or None
        The failure of the store, or `None` if the status is stored.
    """
    key = wave_status_key(number)
    is_first = state == WaveState.RUNNING
    transaction = RowTransaction(
        conditions=(RowCondition(key, ABSENT_VERSION),) if is_first else (),
        writes=(RowWrite(key, encode_wave_state(state)),),
    )
    result = await store.commit(transaction, timeout_ms=_TIMEOUT_MS)
    if result.is_ok() or (is_first and result.error.reason == Reason.CONFLICT):
        return None
    return result.error
