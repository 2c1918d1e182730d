"""Registrations that backend servers write to the store."""

from collections.abc import Callable

from fireflydeck.core import Clock
from fireflydeck.core.placement import Registration
from fireflydeck.core.rows import RowStore, StoredRow
from fireflydeck.kernel import Event, EventLog
from fireflydeck.observation.table_follower import TableFollower
from fireflydeck.platform.documents import (
    REGISTRATION_TABLE,
    DocumentError,
    decode_registration,
)

__all__ = ["Registrations"]

_PAUSE_MS = 150


class Registrations(TableFollower):
    """Copy of the registrations of backend servers.

    Parameters
    ----------
    on_change
        Called with the backend server's id after its registration was added, changed or removed.
    """

    def __init__(
        self, store: RowStore, clock: Clock, log: EventLog, on_change: Callable[[str], None]
    ) -> None:
        super().__init__(store, clock, log, table=REGISTRATION_TABLE, pause_ms=_PAUSE_MS)
        self._on_server_change = on_change
        self._servers: dict[str, Registration] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "registrations"

    @property
    def servers(self) -> dict[str, Registration]:
        """Return the registrations by id of the backend server."""
        return self._servers

    def apply(self, row: StoredRow) -> None:
        """Apply one registration; one that can't be decoded is logged and counts as removed."""
        server_id = row.id.key
        if row.deleted:
            if self._servers.pop(server_id, None) is not None:
                self._on_server_change(server_id)
            return
        try:
            self._servers[server_id] = decode_registration(server_id, row.value)
        except DocumentError as error:
            self._servers.pop(server_id, None)
            self._log.emit(
                Event.REGISTRATION_UNREADABLE,
                server=server_id,
                version=row.version,
                detail=str(error),
            )
        self._on_server_change(server_id)
