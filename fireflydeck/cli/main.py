"""Command line of the executable, with one subcommand for each role."""

import os
import sys
from typing import Any

import anyio
import fire

from fireflydeck import __version__
from fireflydeck.settings import SETTINGS, SettingsError, parse_settings, role_help

__all__ = ["main"]

EXIT_USAGE = 2
"""Exit code for an unknown command and for an invalid, unknown or missing setting."""

_DAEMONS = ("gateway", "dispatcher", "controller")


USAGE = """\
fireflydeck: fleet capacity and maintenance manager

usage: fireflydeck COMMAND [--SETTING=VALUE ...]

  entry        serve callers and schedule the fleet, with the platform's settings file
  gateway      serve callers
  dispatcher   queue work and send it to backend servers
  controller   serve operators and run maintenance
  ctl          run a command of the operators' client
  standin      run a stand-in for the platform or for backend servers

A role runs in the foreground until SIGTERM, which begins a graceful stop.
'fireflydeck COMMAND --help' shows more; 'fireflydeck --version' prints the version.
"""


class RoleCommands:
    """Commands that run a process of the system in one of its roles."""

    def gateway(self, **flags: Any) -> None:
        """Serve callers."""
        settings = _settings_or_exit("gateway", flags)
        from fireflydeck.roles.gateway import run_gateway  # noqa: PLC0415

        anyio.run(run_gateway, settings)

    def dispatcher(self, **flags: Any) -> None:
        """Queue work and send it to backend servers."""
        settings = _settings_or_exit("dispatcher", flags)
        from fireflydeck.roles.dispatcher import run_dispatcher  # noqa: PLC0415

        anyio.run(run_dispatcher, settings)

    def controller(self, **flags: Any) -> None:
        """Serve operators and run maintenance."""
        settings = _settings_or_exit("controller", flags)
        from fireflydeck.roles.controller import run_controller  # noqa: PLC0415

        anyio.run(run_controller, settings)


def _run_role(arguments: list[str]) -> None:
    role = arguments[0]
    if {"--help", "-h"} & set(arguments):
        print(
            f"fireflydeck {role} [--SETTING=VALUE ...]\n\n{getattr(RoleCommands, role).__doc__}\n"
        )
        print(f"Settings (flag, or FIREFLYDECK_ and the name in capitals):\n\n{role_help(role)}")
        return
    fire.Fire(RoleCommands, command=arguments, name="fireflydeck")


def _run_entry(arguments: list[str]) -> None:
    from fireflydeck.entry.role import run_entry  # noqa: PLC0415

    fire.Fire({"entry": run_entry}, command=arguments, name="fireflydeck")


def _run_ctl(arguments: list[str]) -> None:
    from fireflydeck.cli.ctl import run_ctl  # noqa: PLC0415

    run_ctl(arguments[1:])


def _run_standin(arguments: list[str]) -> None:
    from fireflydeck.cli.standin import StandinCommands  # noqa: PLC0415

    fire.Fire(StandinCommands, command=arguments[1:], name="fireflydeck standin")


def _settings_or_exit(role: str, flags: dict[str, Any]) -> dict[str, Any]:
    try:
        return parse_settings(SETTINGS, role, flags, os.environ)
    except SettingsError as error:
        print(f"fireflydeck {role}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def main() -> None:
    """Run the command line in `sys.argv`.

    Raises
    ------
    SystemExit
        With code 2 for an unknown command or an invalid setting, or with the code of the command.
    """
    arguments = sys.argv[1:]
    command = arguments[0] if arguments else ""
    if command == "--version":
        print(__version__)
    elif command == "entry":
        _run_entry(arguments)
    elif command in _DAEMONS:
        _run_role(arguments)
    elif command == "ctl":
        _run_ctl(arguments)
    elif command == "standin":
        _run_standin(arguments)
    elif command in ("", "--help", "-h", "help"):
        print(USAGE, end="")
    else:
        print(f"fireflydeck: unknown command {command!r}\n\n{USAGE}", end="", file=sys.stderr)
        sys.exit(EXIT_USAGE)
