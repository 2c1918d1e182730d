"""Read-only view of the configuration for other services."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from fireflydeck.core import Configuration

__all__ = ["ConfigurationListener", "ConfigurationView"]

ConfigurationListener = Callable[[Configuration, Configuration], None]
"""Callback that receives the previous and the new configuration after a version was applied."""


class ConfigurationView(ABC):
    """The configuration applied in this process, and whether it is fresh."""

    @property
    @abstractmethod
    def current(self) -> Configuration:
        """The newest applied configuration; its version never decreases."""

    @abstractmethod
    def is_fresh(self) -> bool:
        """Return whether work may be admitted and started under `current`.

        While this is `True`, `current` contains every change that was committed earlier than the
        freshness bound before the present time.
        """

    @abstractmethod
    def on_change(self, listener: ConfigurationListener) -> None:
        """Call the listener after each applied version, in version order."""
