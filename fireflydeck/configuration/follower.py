"""Local copy of the committed configuration, kept up to date, and its freshness."""

from collections import deque

import anyio
from anyio.abc import TaskGroup
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.configuration.store import VersionedStore
from fireflydeck.configuration.view import ConfigurationListener, ConfigurationView
from fireflydeck.core import (
    Clock,
    Configuration,
    ConfigurationChange,
    Failure,
    Reason,
    VersionGapError,
)
from fireflydeck.kernel import Event, EventLog, Registry, Service

__all__ = ["ConfigurationFollower", "FollowerOptions"]

_NO_CONFIRMATION_MS = -1
_MAX_RECENT_CHANGES = 200


@frozen(kw_only=True)
class FollowerOptions:
    """Time limits of the follower.

    Parameters
    ----------
    poll_interval_ms
        Maximum time between polls of the head version.
    freshness_bound_ms
        Maximum time since the start of the last confirming read or query at which the
        configuration counts as fresh, so that work may start.
    read_timeout_ms
        Timeout of a poll.
    """

    poll_interval_ms: int = 1_000
    freshness_bound_ms: int = 3_000
    read_timeout_ms: int = 2_000


class ConfigurationFollower(ConfigurationView, Service):
    """Service that applies committed versions in order, received by polls and by pushes.

    A poll confirms the applied version as of the time at which the read began. A read that returns
    a version older than the applied one confirms nothing, because the store returned stale data.

    Parameters
    ----------
    store
        Store of the committed configuration.
    clock
        Source of time.
    log
        Log of the process.
    options
        Time limits.
    """

    def __init__(
        self,
        store: VersionedStore,
        clock: Clock,
        log: EventLog,
        options: FollowerOptions | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._options = options or FollowerOptions()
        self._current = Configuration()
        self._confirmed_at_ms = _NO_CONFIRMATION_MS
        self._store_reachable = False
        self._listeners: list[ConfigurationListener] = []
        self._poll_requested = anyio.Event()
        self._reported_fresh = False
        self._store_confirmed_at_ms = _NO_CONFIRMATION_MS
        self._recent_changes: deque[ConfigurationChange] = deque(maxlen=_MAX_RECENT_CHANGES)

    @property
    def name(self) -> str:
        """Name of the service."""
        return "configuration"

    @property
    def current(self) -> Configuration:
        """The newest applied configuration."""
        return self._current

    @property
    def store_reachable(self) -> bool:
        """Whether the last poll succeeded."""
        return self._store_reachable

    @property
    def store_silence_ms(self) -> int:
        """Milliseconds since the start of the last successful poll."""
        return self._clock.now_ms() - self._store_confirmed_at_ms

    @property
    def confirmed_age_ms(self) -> int:
        """Milliseconds since the start of the last confirming read or query; -1 if none."""
        if self._confirmed_at_ms == _NO_CONFIRMATION_MS:
            return _NO_CONFIRMATION_MS
        return self._clock.now_ms() - self._confirmed_at_ms

    def is_fresh(self) -> bool:
        """Return whether the applied version was confirmed within the freshness bound."""
        age_ms = self.confirmed_age_ms
        return 0 <= age_ms <= self._options.freshness_bound_ms

    def on_change(self, listener: ConfigurationListener) -> None:
        """Call the listener after each applied version, in version order."""
        self._listeners.append(listener)

    def offer(self, change: ConfigurationChange) -> None:
        """Apply a pushed change if it is the next one; request a poll if versions are missing."""
        if change.version <= self._current.version:
            self._log.emit(
                Event.CONFIGURATION_OLD_IGNORED,
                version=change.version,
                current=self._current.version,
            )
        elif change.version == self._current.version + 1:
            self._apply(change)
        else:
            self.request_poll()

    def confirm(self, version: int, queried_at_ms: int) -> None:
        """Record a confirmation that no newer version existed when the query was sent.

        Parameters
        ----------
        version
            The confirmed version; ignored unless it is the applied version.
        queried_at_ms
            Monotonic time in milliseconds at which the query was sent.
        """
        if version == self._current.version:
            self._confirmed_at_ms = max(self._confirmed_at_ms, queried_at_ms)

    def recent_changes(self, after_version: int) -> tuple[ConfigurationChange, ...]:
        """Return the applied changes after the given version, in version order.

        The result is empty if the change that directly follows it is not retained.
        """
        changes = tuple(change for change in self._recent_changes if change.version > after_version)
        is_contiguous = changes[:1] and changes[0].version == after_version + 1
        return changes if is_contiguous else ()

    def request_poll(self) -> None:
        """Request a poll before the interval ends."""
        self._poll_requested.set()

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Poll once, then start the task that polls periodically."""
        await self.poll()
        tasks.start_soon(self._run)

    def state(self) -> dict[str, object]:
        """Return the applied version, its freshness, and the reachability of the store."""
        return {
            "version": self._current.version,
            "fresh": self.is_fresh(),
            "confirmed_age_ms": self.confirmed_age_ms,
            "store_reachable": self._store_reachable,
        }

    async def poll(self) -> Result[None, Failure]:
        """Read the head version, and read and apply all versions up to it."""
        started_at_ms = self._clock.now_ms()
        with anyio.move_on_after(self._options.read_timeout_ms / 1000):
            result = await self._catch_up()
            self._store_reachable = result.is_ok()
            if result.is_ok():
                self._store_confirmed_at_ms = started_at_ms
                self.confirm(self._current.version, started_at_ms)
            return result
        self._store_reachable = False
        return Error(Failure(Reason.STORE_UNAVAILABLE, step="configuration.poll", peer="store"))

    async def _run(self) -> None:
        while True:
            with anyio.move_on_after(self._options.poll_interval_ms / 1000):
                await self._poll_requested.wait()
            self._poll_requested = anyio.Event()
            await self.poll()
            self._report_freshness()

    async def _catch_up(self) -> Result[None, Failure]:
        head = await self._store.head_version()
        if head.is_error():
            return Error(head.error)
        if head.ok < self._current.version:
            detail = f"read version {head.ok} after {self._current.version}"
            return Error(
                Failure(Reason.CONFLICT, step="configuration.poll", peer="store", detail=detail)
            )
        if self._current.version == 0 and head.ok > 0:
            return await self._reload()
        while self._current.version < head.ok:
            result = await self._apply_logged_changes()
            if result.is_error():
                return result
        return Ok(None)

    async def _apply_logged_changes(self) -> Result[None, Failure]:
        changes = await self._store.changes_since(self._current.version)
        if changes.is_error():
            return Error(changes.error)
        try:
            for change in changes.ok:
                if change.version > self._current.version:
                    self._apply(change)
        except VersionGapError:
            return await self._reload()
        return Ok(None) if changes.ok else await self._reload()

    async def _reload(self) -> Result[None, Failure]:
        loaded = await self._store.load()
        if loaded.is_error():
            return Error(loaded.error)
        if loaded.ok.version > self._current.version:
            self._set_current(loaded.ok)
        return Ok(None)

    def _apply(self, change: ConfigurationChange) -> None:
        self._set_current(self._current.apply(change))
        self._recent_changes.append(change)

    def _set_current(self, configuration: Configuration) -> None:
        previous, self._current = self._current, configuration
        self._log.emit(Event.CONFIGURATION_APPLIED, version=configuration.version)
        for listener in self._listeners:
            listener(previous, configuration)

    def _report_freshness(self) -> None:
        fresh = self.is_fresh()
        if fresh != self._reported_fresh:
            event = Event.CONFIGURATION_FRESH if fresh else Event.CONFIGURATION_STALE
            self._log.emit(event, version=self._current.version)
            self._reported_fresh = fresh
