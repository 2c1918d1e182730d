"""Operators' documents: configuration, evacuated data centres and maintenance waves."""

from fireflydeck.core import Clock
from fireflydeck.core.fleet_configuration import FleetConfiguration, MaintenanceWave
from fireflydeck.core.rows import RowStore, StoredRow
from fireflydeck.kernel import Event, EventLog
from fireflydeck.observation.table_follower import TableFollower
from fireflydeck.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    WAVE_PREFIX,
    DocumentError,
    decode_configuration,
    decode_wave,
)

__all__ = ["OperatorDocuments"]

_PAUSE_MS = 50


class OperatorDocuments(TableFollower):
    """Copy of the newest versions of the operators' documents."""

    def __init__(self, store: RowStore, clock: Clock, log: EventLog) -> None:
        super().__init__(store, clock, log, table=OPERATOR_TABLE, pause_ms=_PAUSE_MS)
        self._configuration: FleetConfiguration | None = None
        self._evacuated: set[str] = set()
        self._waves: dict[str, MaintenanceWave] = {}

    @property
    def name(self) -> str:
        """Name of the service."""
        return "operator-documents"

    @property
    def configuration(self) -> FleetConfiguration | None:
        """Return the newest configuration, or `None` if none was read yet."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version of the newest configuration; 0 if none was read yet."""
        return self._configuration.version if self._configuration else 0

    @property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres, which get no new work."""
        return frozenset(self._evacuated)

    @property
    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return the maintenance waves, ordered by number."""
        return tuple(sorted(self._waves.values(), key=lambda wave: wave.number))

    def state(self) -> dict[str, object]:
        """Return the state to dump."""
        return {
            "version": self.version,
            "age_ms": self.age_ms,
            "evacuated": sorted(self._evacuated),
            "waves": [wave.number for wave in self.waves],
        }

    def apply(self, row: StoredRow) -> None:
        """Apply one document; one that can't be decoded is logged and changes nothing."""
        key = row.id.key
        try:
            if key == CONFIGURATION_KEY:
                self._apply_configuration(row)
            elif key.startswith(EVACUATION_PREFIX):
                self._apply_evacuation(row)
            elif key.startswith(WAVE_PREFIX):
                self._apply_wave(row)
        except DocumentError as error:
            self._log.emit(
                Event.DOCUMENT_UNREADABLE, document=key, version=row.version, detail=str(error)
            )

    def _apply_configuration(self, row: StoredRow) -> None:
        if row.deleted:
            return
        configuration = decode_configuration(row.value)
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return
        self._configuration = configuration
        self._log.emit(Event.CONFIGURATION_APPLIED, version=configuration.version)

    def _apply_evacuation(self, row: StoredRow) -> None:
        data_centre = row.id.key.removeprefix(EVACUATION_PREFIX)
        if row.deleted:
            self._evacuated.discard(data_centre)
        else:
            self._evacuated.add(data_centre)
        self._log.emit(
            Event.EVACUATION_CHANGED,
            data_centre=data_centre,
            evacuated=not row.deleted,
            version=row.version,
        )

    def _apply_wave(self, row: StoredRow) -> None:
        if row.deleted:
            self._waves.pop(row.id.key, None)
            return
        wave = decode_wave(row.value)
        self._waves[row.id.key] = wave
        self._log.emit(Event.WAVE_REQUESTED, wave=wave.number, vms=len(wave.vms))
