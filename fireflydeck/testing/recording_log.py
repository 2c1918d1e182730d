"""An event log that records its events in memory."""

from typing import Any

from fireflydeck.kernel import Event, EventLog

__all__ = ["RecordingLog"]


class RecordingLog(EventLog):
    """Event log that records events with their fields instead of writing them."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[Event, dict[str, Any]]] = []

    def emit(self, event: Event, **fields: Any) -> None:
        """Record an event."""
        self.events.append((event, fields))

    def emitted(self) -> set[Event]:
        """Return the set of events that were emitted."""
        return {event for event, _ in self.events}
