"""The operators' client, ``fireflydeck ctl``."""

import json
import os
import sys
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import fire
import httpx
from attrs import frozen
from fire.decorators import SetParseFn

from fireflydeck.cli.ctl_client import ControllerClient, CtlError, ExitCode, SheetText
from fireflydeck.cli.ctl_commands import (
    CommandGroup,
    DataCentreCommands,
    EntityCommands,
    KeyCommands,
    MaintenanceCommands,
    ReadOnlyCommands,
    VmCommands,
)
from fireflydeck.cli.ctl_tables import render_table
from fireflydeck.core import VmState
from fireflydeck.settings import SETTINGS, SettingsError, parse_settings
from fireflydeck.sheet import COLUMNS, SHEET_KINDS

__all__ = ["Ctl", "make_ctl", "run_ctl"]

_MS_PER_S = 1000

USAGE = """\
fireflydeck ctl [--controllers=ADDRESSES] [--json] COMMAND

  state [--process=ADDRESS]                 summary of the fleet, or the state dump of a process
  explain SUBJECT NAME                      decisions on a request, vm, pool, organisation or
                                            maintenance_window
  sheet check|plan|apply FILE               check, plan or apply a sheet ('-' reads standard input)
  sheet export [FILE]                       write the configuration as a sheet
  pool|organisation|queue|maintenance-window list | show NAME | set NAME --FIELD=VALUE | remove NAME
  vm list | show | set | remove | drain NAME [--wait] | return NAME | fail NAME | move NAME POOL
  data-centre list | show | set | remove | out NAME | in NAME
  member list | show NAME
  maintenance status                        VMs with pending or running maintenance, by pool
  key grant ORGANISATION | withdraw ORGANISATION KEY_ID

'set' and 'remove' accept --if-version=N: only if the entity has that version (0: does not exist).
The operator key comes from FIREFLYDECK_OPERATOR_KEY, the addresses from --controllers or
FIREFLYDECK_CONTROLLERS.

exit codes: 0 done; 1 refused; 2 wrong usage; 3 no controller or store answered, nothing was done;
4 conflict with another change, nothing was done; 5 the outcome is unknown
"""


class SheetCommands(CommandGroup):
    """Commands that check, plan, apply and export a sheet of the configuration."""

    @SetParseFn(str)
    def check(self, file: str) -> None:
        """Report all invalid rows of a sheet without changing anything."""
        self._run(self._check, file)

    @SetParseFn(str)
    def plan(self, file: str) -> None:
        """Show what a sheet would change without changing anything."""
        self._run(self._plan, file)

    @SetParseFn(str)
    def apply(self, file: str) -> None:
        """Apply all rows of a sheet that are not in conflict, or nothing if it is refused."""
        self._run(self._apply, file)

    @SetParseFn(str)
    def export(self, file: str = "-") -> None:
        """Write the configuration as a sheet to a file or to standard output."""
        self._run(self._export, file)

    async def _check(self, file: str) -> None:
        document = await self._client.post_sheet("/sheet/check", _read_sheet(file))
        problems = document["problems"]
        if problems:
            message = f"the sheet has {len(problems)} problems"
            raise CtlError(ExitCode.REFUSED, message, document)
        self._print(document, "the sheet can be applied")

    async def _plan(self, file: str) -> None:
        document = await self._client.post_sheet("/sheet/plan", _read_sheet(file))
        self._print(document, _format_plan(document))

    async def _apply(self, file: str) -> None:
        document = await self._client.apply_sheet(_read_sheet(file))
        text = f"{_format_plan(document)}\napplied, configuration {document['version']}"
        self._print(document, text)

    async def _export(self, file: str) -> None:
        text = await self._client.read_text("/sheet")
        if file == "-":
            print(text, end="")
            return
        try:
            Path(file).write_text(text, encoding="utf-8")
        except OSError as error:
            raise CtlError(ExitCode.USAGE, f"{file}: {error.strerror}") from None


def _read_sheet(file: str) -> SheetText:
    try:
        content = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        return SheetText(text=content.decode("utf-8"))
    except OSError as error:
        raise CtlError(ExitCode.USAGE, f"{file}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise CtlError(ExitCode.USAGE, f"{file}: not UTF-8: {error}") from None


def _format_plan(document: Mapping[str, Any]) -> str:
    steps = [step for step in document["steps"] if step["step"] != "keep"]
    counts = Counter(step["step"] for step in document["steps"])
    summary = ", ".join(f"{counts[kind]} {kind}" for kind in sorted(counts)) or "no rows"
    if not steps:
        return summary
    columns = ("row", "step", "kind", "name", "fields", "entity_version")
    return f"{render_table(columns, steps)}\n{summary}"


class Ctl(CommandGroup):
    """Commands of the operators' client.

    Parameters
    ----------
    client
        Client of the controllers.
    as_json
        Whether to print JSON instead of text.
    """

    def __init__(self, client: ControllerClient, as_json: bool = False) -> None:
        super().__init__(client, as_json)
        self.sheet = SheetCommands(client, as_json)
        self.pool = EntityCommands(client, "pool", as_json)
        self.organisation = EntityCommands(client, "organisation", as_json)
        self.queue = EntityCommands(client, "queue", as_json)
        self.vm = VmCommands(client, "vm", as_json)
        self.data_centre = DataCentreCommands(client, "data_centre", as_json)
        self.maintenance_window = EntityCommands(client, "maintenance_window", as_json)
        self.member = ReadOnlyCommands(client, "member", as_json)
        self.maintenance = MaintenanceCommands(client, as_json)
        self.key = KeyCommands(client, as_json)

    @SetParseFn(str)
    def state(self, process: str = "") -> None:
        """Show a summary of the fleet, or the state dump from the admin address of a process."""
        if process:
            self._run(self._state_of_process, process)
        else:
            self._run(self._state)

    @SetParseFn(str)
    def explain(self, subject: str, name: str) -> None:
        """Show the decisions on a request, vm, pool, organisation or maintenance_window."""
        self._run(self._explain, subject, name)

    async def _state(self) -> None:
        document = await self._client.read("/configuration")
        self._print(document, _format_fleet(document))

    async def _state_of_process(self, address: str) -> None:
        try:
            async with httpx.AsyncClient(trust_env=False) as client:
                answer = await client.get(f"http://{address}/state")
                document = answer.json()
        except (httpx.TransportError, httpx.InvalidURL, ValueError) as error:
            message = f"process {address}: {error or type(error).__name__}"
            raise CtlError(ExitCode.UNREACHABLE, message) from None
        self._print(document, json.dumps(document, indent=2))

    async def _explain(self, subject: str, name: str) -> None:
        document = await self._client.read(f"/explain/{subject}/{name}")
        self._print(document, _format_decisions(document["decisions"]))


def _format_decisions(decisions: Sequence[Mapping[str, Any]]) -> str:
    if not decisions:
        return "no decisions are known"
    return "\n".join(line for decision in decisions for line in _decision_lines(decision))


def _decision_lines(decision: Mapping[str, Any]) -> list[str]:
    time = datetime.fromtimestamp(decision["wall_ms"] / _MS_PER_S, tz=UTC)
    author = f"{decision['member']} #{decision['number']}"
    return [
        f"{time:%Y-%m-%d %H:%M:%S}.{time.microsecond // _MS_PER_S:03d}  {decision['outcome']}",
        f"    rule {decision['rule']} at step {decision['step']}, decided by {author}",
        f"    configuration {decision['version']}; {decision['inputs'] or 'no inputs'}",
    ]


def _format_fleet(document: Mapping[str, Any]) -> str:
    entities = document["entities"]
    by_kind: dict[str, list[Mapping[str, Any]]] = {}
    for entity in entities:
        by_kind.setdefault(entity["kind"], []).append(entity)
    out_of_service = {
        item["name"] for item in by_kind.get("data_centre", []) if not item["in_service"]
    }
    pools = [
        _pool_row(pool, by_kind.get("vm", []), out_of_service) for pool in by_kind.get("pool", [])
    ]
    states = [state.value for state in VmState]
    columns = ("pool", "vms", *states, "unavailable", "max_unavailable", "spare")
    note = "" if document.get("fresh", True) else " (the store does not answer)"
    lines = [f"configuration {document['version']}{note}", "", render_table(columns, pools)]
    lines += ["", f"data centres out of service: {', '.join(sorted(out_of_service)) or 'none'}"]
    members = by_kind.get("member", [])
    if members:
        lines += ["", render_table(("name", "role", "data_centre", "fenced"), members)]
    return "\n".join(lines)


def _pool_row(
    pool: Mapping[str, Any], vms: Sequence[Mapping[str, Any]], out_of_service: Collection[str]
) -> dict[str, Any]:
    pool_vms = [vm for vm in vms if vm["pool"] == pool["name"]]
    states = Counter(vm["state"] for vm in pool_vms)
    available = [
        vm
        for vm in pool_vms
        if vm["state"] == VmState.IN_SERVICE and vm["data_centre"] not in out_of_service
    ]
    row = {"pool": pool["name"], "vms": len(pool_vms), "spare": pool["spare"]}
    row |= {state.value: states[state.value] for state in VmState}
    row["unavailable"] = len(pool_vms) - len(available)
    return {**row, "max_unavailable": pool["max_unavailable"]}


def make_ctl(settings: Mapping[str, Any], as_json: bool = False) -> Ctl:
    """Return the commands for the given settings of the role ``ctl``."""
    client = ControllerClient(settings["controllers"], settings["operator_key"])
    return Ctl(client, as_json)


@frozen
class _Arguments:
    flags: dict[str, str]
    as_json: bool
    command: list[str]


def run_ctl(arguments: Sequence[str], environ: Mapping[str, str] | None = None) -> None:
    """Run one command line and exit with its code.

    Parameters
    ----------
    arguments
        Arguments after ``fireflydeck ctl``.
    environ
        Environment variables; those of the process by default.

    Raises
    ------
    SystemExit
        With an `ExitCode` if the command fails.
    """
    parsed = _split_arguments(arguments)
    if not parsed.command or {"--help", "-h", "help"} & set(parsed.command):
        print(_help_text(parsed.command), end="")
        return
    try:
        settings = parse_settings(
            SETTINGS, "ctl", parsed.flags, os.environ if environ is None else environ
        )
    except SettingsError as error:
        print(f"fireflydeck ctl: {error}", file=sys.stderr)
        sys.exit(int(ExitCode.USAGE))
    ctl = make_ctl(settings, parsed.as_json)
    fire.Fire(ctl, command=parsed.command, name="fireflydeck ctl")


def _help_text(command: Sequence[str]) -> str:
    kind = SHEET_KINDS.get(command[0].replace("-", "_")) if command else None
    if kind is None:
        return USAGE
    lines = [f"fields of {command[0]}:"]
    for column in COLUMNS[kind].values():
        suffix = "; required for a new one" if column.required else ""
        lines.append(f"  --{column.name.replace('_', '-')}: {column.cell.allowed}{suffix}")
    return "\n".join([USAGE, *lines, ""])


def _split_arguments(arguments: Sequence[str]) -> _Arguments:
    flags: dict[str, str] = {}
    command: list[str] = []
    as_json = False
    rest = iter(arguments)
    for argument in rest:
        name, separator, value = argument.partition("=")
        if argument == "--json":
            as_json = True
        elif name == "--controllers":
            flags["controllers"] = value if separator else next(rest, "")
        else:
            command.append(argument)
    return _Arguments(flags, as_json, command)
