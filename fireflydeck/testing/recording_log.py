"""A log that keeps its events."""

from typing import Any

from fireflydeck.kernel import Event, EventLog

__all__ = ["RecordingLog"]


class RecordingLog(EventLog):
    """Keeps events with their fields instead of writing them."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[Event, dict[str, Any]]] = []

    def emit(self, event: Event, **fields: Any) -> None:
        """Keep one event."""
        self.events.append((event, fields))

    def kinds(self) -> set[Event]:
        """Return the events that came, each once."""
        return {event for event, _ in self.events}
