"""Definition of a setting, and the parsing of flags and environment variables."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import field, frozen

__all__ = ["Setting", "SettingsError", "flag_of", "parse_settings", "variable_of"]

_VARIABLE_PREFIX = "FIREFLYDECK_"


class SettingsError(Exception):
    """Error for an invalid, unknown or missing setting; the message is one line for people."""


@frozen(kw_only=True)
class Setting:
    """Definition of one setting.

    Parameters
    ----------
    name
        Name in snake case.
    parse
        Parser of the text; raises `ValueError` for an invalid value.
    allowed
        Description of the allowed values, with the unit.
    doc
        Description of the setting.
    default
        Value if the setting is not given; `None` makes the setting required.
    secret
        Whether the value is read from the environment only and never shown.
    roles
        Roles that have the setting.
    """

    name: str
    parse: Callable[[str], Any]
    allowed: str
    doc: str
    default: Any = None
    secret: bool = False
    roles: tuple[str, ...] = field(converter=tuple)


def flag_of(setting: Setting) -> str:
    """Return the command-line flag of a setting.

    Examples
    --------
    >>> flag_of(Setting(name="log_level", parse=str, allowed="", doc="", roles=()))
    '--log-level'
    """
    return "--" + setting.name.replace("_", "-")


def variable_of(setting: Setting) -> str:
    """Return the name of the environment variable of a setting."""
    return _VARIABLE_PREFIX + setting.name.upper()


def parse_settings(
    definitions: tuple[Setting, ...],
    role: str,
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
) -> dict[str, Any]:
    """Return the validated values of a role's settings, by the name of the setting.

    A flag takes precedence over the environment variable.

    Parameters
    ----------
    definitions
        Settings of all roles.
    flags
        Values of the given flags, by the name of the setting.
    environ
        Environment variables.

    Raises
    ------
    SettingsError
        If a setting is invalid, unknown or missing. The message names the setting, the value and
        the allowed values.
    """
    settings = {setting.name: setting for setting in definitions if role in setting.roles}
    _check_sources(definitions, settings, role, flags, environ)
    return {name: _value_of(setting, flags, environ) for name, setting in settings.items()}


def _check_sources(
    definitions: tuple[Setting, ...],
    settings: Mapping[str, Setting],
    role: str,
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
) -> None:
    """Raise `SettingsError` for an unknown flag or variable, or a secret given as a flag."""
    for name in flags:
        if name not in settings:
            raise SettingsError(f"unknown setting --{name.replace('_', '-')} for {role}")
        if settings[name].secret:
            variable = variable_of(settings[name])
            raise SettingsError(f"--{name.replace('_', '-')} is a secret: set {variable} instead")
    known_variables = {variable_of(setting) for setting in definitions}
    for variable in environ:
        if variable.startswith(_VARIABLE_PREFIX) and variable not in known_variables:
            raise SettingsError(f"unknown setting {variable}")


def _value_of(setting: Setting, flags: Mapping[str, Any], environ: Mapping[str, str]) -> Any:
    if setting.name in flags:
        source, text = flag_of(setting), flags[setting.name]
    elif variable_of(setting) in environ:
        source, text = variable_of(setting), environ[variable_of(setting)]
    elif setting.default is None:
        raise SettingsError(
            f"missing setting {flag_of(setting)} (or {variable_of(setting)}): {setting.allowed}"
        )
    else:
        return setting.default
    try:
        return setting.parse(str(text))
    except ValueError:
        shown_text = "(hidden)" if setting.secret else repr(str(text))
        raise SettingsError(f"{source}={shown_text} is not allowed: {setting.allowed}") from None
