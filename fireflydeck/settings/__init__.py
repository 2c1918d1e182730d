"""Settings that are read from command-line flags and environment variables, and their types."""

from fireflydeck.settings.catalogue import ROLES, SETTINGS, render_settings_page, role_help
from fireflydeck.settings.setting import Setting, SettingsError, parse_settings

__all__ = [
    "ROLES",
    "SETTINGS",
    "Setting",
    "SettingsError",
    "parse_settings",
    "render_settings_page",
    "role_help",
]
