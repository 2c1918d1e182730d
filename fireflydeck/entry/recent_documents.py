"""Rendered documents that are shown again for a short time."""

from collections.abc import Callable
from typing import Generic, TypeVar

from fireflydeck.core import Clock

__all__ = ["RecentDocuments"]

_MAX_AGE_MS = 200
_MAX_DOCUMENTS = 4
"""Documents that are rendered within `_MAX_AGE_MS`; their keys come from clients."""

T = TypeVar("T")


class RecentDocuments(Generic[T]):
    """Bound on how often documents are rendered, whatever the rate of requests is.

    Rendering the state of a large fleet takes milliseconds in which the process does nothing else.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._documents: dict[str, T] = {}
        self._rendered_ms = 0

    def get(self, key: str, render: Callable[[], T]) -> T | None:
        """Return a document that is at most 200 ms old.

        Return `None` if too many others were rendered within that time.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._rendered_ms > _MAX_AGE_MS:
            self._documents.clear()
            self._rendered_ms = now_ms
        if key not in self._documents:
            if len(self._documents) >= _MAX_DOCUMENTS:
                return None
            self._documents[key] = render()
        return self._documents[key]
