"""Reload of the settings file on SIGHUP and when the file changes."""

import signal
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from fireflydeck.core import Clock
from fireflydeck.kernel import Event, EventLog, Registry, Service
from fireflydeck.platform.node_settings import (
    NodeSettings,
    NodeSettingsError,
    load_node_settings,
)

__all__ = ["SettingsWatch"]

_CHECK_INTERVAL_MS = 1000


class SettingsWatch(Service):
    """Service that reloads the settings file and keeps the last valid settings."""

    def __init__(self, path: Path, settings: NodeSettings, clock: Clock, log: EventLog) -> None:
        self._path = path
        self._settings = settings
        self._clock = clock
        self._log = log
        self._modified = _modification_time_ns(path)

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return "settings"

    @property
    def settings(self) -> NodeSettings:
        """Return the last settings that could be read."""
        return self._settings

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start to watch the signal and the file."""
        tasks.start_soon(self._watch_signal)
        tasks.start_soon(self._watch_file)

    async def _watch_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload("signal")

    async def _watch_file(self) -> None:
        while True:
            await self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            modified = _modification_time_ns(self._path)
            if modified != self._modified:
                self._modified = modified
                self._reload("file")

    def _reload(self, cause: str) -> None:
        try:
            settings = load_node_settings(self._path)
        except NodeSettingsError as error:
            self._log.emit(Event.SETTINGS_REJECTED, cause=cause, detail=str(error))
            return
        changed = settings != self._settings
        self._settings = settings
        self._log.emit(Event.SETTINGS_RELOADED, cause=cause, changed=changed)


def _modification_time_ns(path: Path) -> int:
    """Return the modification time of a file in nanoseconds; 0 if it can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
