"""The settings of all roles; `docs/SETTINGS.md` is generated from this table."""

from fireflydeck.settings.parsers import (
    choice_parser,
    integer_parser,
    parse_address,
    parse_address_list,
    parse_name,
    parse_secret,
    parse_text,
)
from fireflydeck.settings.setting import Setting, flag_of, variable_of

__all__ = ["ROLES", "SETTINGS", "render_settings_page", "role_help"]

ROLES = ("gateway", "dispatcher", "controller", "ctl")
_DAEMONS = ("gateway", "dispatcher", "controller")
_ADDRESS_FORMAT = "an IP address and a port, such as 10.0.0.5:8080"
_ENTRY_FLAGS = (
    ("--metrics_port", "a port", "required", "Port of `/metrics` on the address of the VM."),
    (
        "--reservations",
        "0 or more",
        "`0`",
        "Number of waiting large tasks and gangs of a pool for which capacity is reserved; with 0 "
        "nothing is reserved, and tasks go to the server with the least free CPU. See "
        "[reservations](design/reservations.md).",
    ),
    (
        "--speculative_copies",
        "`True` or `False`",
        "`False`",
        "Whether tasks of speculative steps that take clearly longer than expected get a second "
        "run. See [speculative copies](design/speculative-copies.md).",
    ),
)
"""Flags of the entry role: flag, allowed values, default and meaning."""
_SECRET_FORMAT = "16 characters or more, from the environment only"

SETTINGS = (
    Setting(
        name="name",
        parse=parse_name,
        allowed="1 to 64 letters, digits, '.', '_' or '-'",
        doc="Name of this process, unique in the fleet; a replacement process needs a new name.",
        roles=_DAEMONS,
    ),
    Setting(
        name="data_centre",
        parse=parse_name,
        allowed="the name of a data centre",
        doc="Data centre in which this process runs.",
        roles=_DAEMONS,
    ),
    Setting(
        name="platform",
        parse=parse_address,
        allowed=_ADDRESS_FORMAT,
        doc="Address of the platform's table service, object store and VM list.",
        roles=_DAEMONS,
    ),
    Setting(
        name="listen",
        parse=parse_address,
        allowed=_ADDRESS_FORMAT,
        doc="Address to listen on for callers (gateway) or operators (controller).",
        roles=("gateway", "controller"),
    ),
    Setting(
        name="peer_listen",
        parse=parse_address,
        allowed=_ADDRESS_FORMAT,
        doc="Address to listen on for the other processes of the fleet.",
        roles=_DAEMONS,
    ),
    Setting(
        name="admin_listen",
        parse=parse_address,
        allowed=_ADDRESS_FORMAT,
        doc="Address to listen on for requests for metrics and the state dump.",
        roles=_DAEMONS,
    ),
    Setting(
        name="peer_secret",
        parse=parse_secret,
        allowed=_SECRET_FORMAT,
        doc="Shared secret with which the processes of the fleet authenticate to each other.",
        secret=True,
        roles=_DAEMONS,
    ),
    Setting(
        name="operator_key",
        parse=parse_secret,
        allowed=_SECRET_FORMAT,
        doc="Key that authenticates operators to the controllers.",
        secret=True,
        roles=("controller", "ctl"),
    ),
    Setting(
        name="controllers",
        parse=parse_address_list,
        allowed="comma-separated addresses, such as 10.0.0.5:8090,10.0.0.6:8090",
        doc="Addresses of the controllers for operators; the first that answers is used.",
        roles=("ctl",),
    ),
    Setting(
        name="log_format",
        parse=choice_parser("json", "console"),
        allowed="json or console",
        doc="Format of the log on standard error.",
        default="json",
        roles=_DAEMONS,
    ),
    Setting(
        name="log_level",
        parse=choice_parser("debug", "info", "warning", "error"),
        allowed="debug, info, warning or error",
        doc="Minimum severity of logged events.",
        default="info",
        roles=_DAEMONS,
    ),
    Setting(
        name="poll_interval_ms",
        parse=integer_parser(100, 10_000),
        allowed="100 to 10000 milliseconds",
        doc="Interval between reads of the configuration version.",
        default=1_000,
        roles=_DAEMONS,
    ),
    Setting(
        name="freshness_bound_ms",
        parse=integer_parser(500, 4_500),
        allowed="500 to 4500 milliseconds",
        doc="No work starts if the configuration was last confirmed longer ago than this.",
        default=3_000,
        roles=_DAEMONS,
    ),
    Setting(
        name="maintenance_interval_hours",
        parse=integer_parser(24, 8_760),
        allowed="24 to 8760 hours",
        doc="Interval within which each VM is maintained once.",
        default=504,
        roles=("controller",),
    ),
    Setting(
        name="max_body_bytes",
        parse=integer_parser(1_024, 67_108_864),
        allowed="1024 to 67108864 bytes",
        doc="Maximum size of the body of a request.",
        default=4_194_304,
        roles=("gateway",),
    ),
    Setting(
        name="max_answer_bytes",
        parse=integer_parser(1_024, 67_108_864),
        allowed="1024 to 67108864 bytes",
        doc="Maximum size of an answer of a backend server.",
        default=4_194_304,
        roles=("dispatcher",),
    ),
    Setting(
        name="certificate",
        parse=parse_text,
        allowed="path of a PEM file, or empty for plain HTTP",
        doc="Certificate chain of the listener for callers or operators.",
        default="",
        roles=("gateway", "controller"),
    ),
    Setting(
        name="private_key",
        parse=parse_text,
        allowed="path of a PEM file, or empty for plain HTTP",
        doc="Private key of the certificate.",
        default="",
        roles=("gateway", "controller"),
    ),
)

_ENTRY_SECTION = """
## Settings file of the entry role

The platform provides the file that `FIREFLYDECK_BOOT` names. The limits on clients are fields of
its `limits`, read and checked against each other, `memory_mb` and the limit on descriptors at the
start; the process exits with code 2 if they contradict each other.

- `memory_mb` (required): memory of the machine, in MB.
- `client_memory_mb` (above 0, at most half of `memory_mb`; default 22% of it): memory for the
  connections and requests of all listeners.
- `client_connections` (16 or more; default what fits 75% of the client memory and the limit on
  descriptors less 1,024): open connections of callers. The address for entry processes gets 0.4 of
  it, readiness and metrics 32 each.

The limits of one request are in the operators' configuration: `max_header_bytes`, `max_body_bytes`,
`header_timeout_ms`, `idle_timeout_ms`. Fixed bounds beside them: 128 header fields, two requests
parsed ahead, 100 bytes per second of a body after 5 s, 5 s without a read of a pending response,
16 KiB on the wire beyond the content of a body in chunks, 75 s between two requests.
"""


def role_help(role: str) -> str:
    """Return the description of a role's settings for ``--help``, one line per setting."""
    settings = [setting for setting in SETTINGS if role in setting.roles]
    lines = []
    for setting in settings:
        source = variable_of(setting) if setting.secret else flag_of(setting)
        default = "required" if setting.default is None else f"default {setting.default!r}"
        lines.append(f"{source}: {setting.doc} Allowed: {setting.allowed}; {default}.")
    return "\n".join(lines)


def render_settings_page() -> str:
    """Return the text of `docs/SETTINGS.md`."""
    lines = [
        "# Settings",
        "",
        "Each setting is a flag and an environment variable; the flag takes precedence. Secrets",
        "are read from the environment only. If a setting is invalid, unknown or missing, the",
        "process exits at its start with code 2.",
        "",
        "| flag | variable | roles | allowed | default | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for setting in SETTINGS:
        flag = "(none)" if setting.secret else f"`{flag_of(setting)}`"
        default = "required" if setting.default is None else f"`{setting.default}`"
        cells = (
            flag,
            f"`{variable_of(setting)}`",
            ", ".join(setting.roles),
            setting.allowed,
            default,
            setting.doc,
        )
        lines.append("| " + " | ".join(cells) + " |")
    lines += [
        "",
        "## Flags of `fireflydeck entry`",
        "",
        "The entry role has its settings in the platform's settings file, and these flags:",
        "",
        "| flag | allowed | default | meaning |",
        "|---|---|---|---|",
    ]
    lines += [f"| `{flag}` | " + " | ".join(cells) + " |" for flag, *cells in _ENTRY_FLAGS]
    return "\n".join(lines) + "\n\n" + _ENTRY_SECTION.lstrip("\n")
