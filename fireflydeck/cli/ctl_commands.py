"""Command groups of the operators' client; most of them handle one kind of entity."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

import anyio
from fire.decorators import SetParseFn

from fireflydeck.cli.ctl_client import (
    ControllerClient,
    CtlError,
    EntityChange,
    ExitCode,
    entity_path,
)
from fireflydeck.cli.ctl_tables import render_table
from fireflydeck.cli.ctl_values import format_entity, is_flag_set, parse_fields, parse_version
from fireflydeck.core import DataCentre, EntityKey, Organisation, Vm, VmState

__all__ = [
    "CommandGroup",
    "DataCentreCommands",
    "EntityCommands",
    "KeyCommands",
    "MaintenanceCommands",
    "ReadOnlyCommands",
    "VmCommands",
]

_MS_PER_S = 1000
_POLL_INTERVAL_S = 0.5
_MAX_DRAIN_WAIT_S = 3600

_COLUMNS = {
    "pool": ("name", "max_unavailable", "spare", "entity_version"),
    "organisation": ("name", "share", "limit", "key_ids", "entity_version"),
    "queue": ("name", "pool", "open_to_all", "max_waiting", "entity_version"),
    "vm": ("name", "pool", "data_centre", "rack", "address", "state", "slots", "entity_version"),
    "data_centre": ("name", "region", "in_service", "entity_version"),
    "maintenance_window": ("name", "data_centre", "start", "end", "entity_version"),
    "member": ("name", "role", "address", "data_centre", "fenced", "entity_version"),
}


class CommandGroup:
    """Base class of the command groups.

    Parameters
    ----------
    client
        Client of the controllers.
    as_json
        Whether to print JSON instead of text.
    """

    def __init__(self, client: ControllerClient, as_json: bool = False) -> None:
        self._client = client
        self._as_json = as_json

    def _run(self, command: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        try:
            anyio.run(command, *arguments)
        except CtlError as error:
            self._print_error(error)
            sys.exit(int(error.code))

    def _print_error(self, error: CtlError) -> None:
        if self._as_json:
            plain = {"error": error.message, "exit_code": int(error.code), **error.document}
            print(json.dumps(plain, indent=2))
            return
        print(f"fireflydeck ctl: {error.message}", file=sys.stderr)
        problems = error.document.get("problems", [])
        if problems:
            print(render_table(_problem_columns(problems), problems), file=sys.stderr)

    def _print(self, document: Mapping[str, Any], text: str) -> None:
        print(json.dumps(document, indent=2) if self._as_json else text)

    def _print_change(self, answer: Mapping[str, Any], subject: str) -> None:
        effect = "done" if answer.get("changed", True) else "nothing to change"
        self._print(answer, f"{subject}: {effect}, configuration {answer['version']}")


def _problem_columns(problems: Sequence[Mapping[str, Any]]) -> list[str]:
    location = "row" if any(problem.get("row") for problem in problems) else "entity"
    return [location, "column", "value", "allowed"]


class ReadOnlyCommands(CommandGroup):
    """Commands that list and show entities of one kind."""

    def __init__(self, client: ControllerClient, kind: str, as_json: bool = False) -> None:
        super().__init__(client, as_json)
        self._kind = kind

    def list(self) -> None:
        """List all entities."""
        self._run(self._list)

    @SetParseFn(str)
    def show(self, name: str) -> None:
        """Show one entity with its version."""
        self._run(self._show, name)

    async def _list(self) -> None:
        document = await self._client.read(f"/configuration/{self._kind}")
        rows = [format_entity(entity) for entity in document["entities"]]
        self._print(document, render_table(_COLUMNS[self._kind], rows) + _staleness_note(document))

    async def _show(self, name: str) -> None:
        document = await self._client.read(entity_path(EntityKey(self._kind, name)))
        entity = format_entity(document["entity"])
        rows = [{"field": field, "value": value} for field, value in entity.items()]
        self._print(document, render_table(("field", "value"), rows) + _staleness_note(document))


def _staleness_note(document: Mapping[str, Any]) -> str:
    if document.get("fresh", True):
        return ""
    return f"\nThe store does not answer; this is configuration {document['version']}."


class EntityCommands(ReadOnlyCommands):
    """Commands that list, show, create, change and remove entities of one kind."""

    @SetParseFn(str)
    def set(self, name: str, if_version: str = "", **fields: str) -> None:
        """Create an entity, or change the given fields; the flags are the columns of the sheet."""
        self._run(self._set, name, if_version, fields)

    @SetParseFn(str)
    def remove(self, name: str, if_version: str = "") -> None:
        """Remove an entity."""
        self._run(self._remove, name, if_version)

    async def _set(self, name: str, if_version: str, fields: dict[str, str]) -> None:
        key = EntityKey(self._kind, name)
        values = parse_fields(self._kind, fields)
        change = EntityChange(
            method="PUT",
            path=entity_path(key),
            key=key,
            body=values,
            is_done=lambda found: found is not None and values.items() <= found.items(),
        )
        answer = await self._client.change(change, parse_version(if_version))
        self._print_change(answer, str(key))

    async def _remove(self, name: str, if_version: str) -> None:
        key = EntityKey(self._kind, name)
        change = EntityChange(
            method="DELETE", path=entity_path(key), key=key, is_done=lambda found: found is None
        )
        answer = await self._client.change(change, parse_version(if_version))
        self._print_change(answer, str(key))

    async def _post_action(
        self,
        key: EntityKey,
        path: str,
        expected: Mapping[str, Any],
        body: Mapping[str, Any] | None = None,
    ) -> None:
        change = EntityChange(
            method="POST",
            path=path,
            key=key,
            body=body,
            is_done=lambda found: found is not None and expected.items() <= found.items(),
        )
        self._print_change(await self._client.change(change), str(key))


class DataCentreCommands(EntityCommands):
    """Commands that list and change data centres and take them out of and back into service."""

    @SetParseFn(str)
    def out(self, name: str) -> None:
        """Take a data centre out of service immediately."""
        self._run(self._set_in_service, name, False)

    async def _set_in_service(self, name: str, in_service: bool) -> None:
        key = EntityKey(DataCentre.kind, name)
        path = f"/data-centres/{name}/{'in' if in_service else 'out'}"
        await self._post_action(key, path, {"in_service": in_service})


@SetParseFn(str)
def _bring_in(self: DataCentreCommands, name: str) -> None:
    """Bring a data centre back into service."""
    self._run(self._set_in_service, name, True)


# `in` and `return` are reserved words of Python, so these commands are added with `setattr`.
setattr(DataCentreCommands, "in", _bring_in)


class VmCommands(EntityCommands):
    """Commands that list and change VMs, and drain, return, fail and move them."""

    @SetParseFn(str)
    def drain(self, name: str, wait: str = "") -> None:
        """Begin to drain a VM; with --wait, return when the VM has finished its work."""
        self._run(self._drain, name, is_flag_set(wait))

    @SetParseFn(str)
    def fail(self, name: str) -> None:
        """Record the unplanned loss of a VM."""
        self._run(self._set_state, name, "fail", VmState.FAILED)

    @SetParseFn(str)
    def move(self, name: str, pool: str) -> None:
        """Drain a VM, assign it to another pool and return it to service."""
        self._run(self._move, name, pool)

    async def _set_state(self, name: str, action: str, state: VmState) -> None:
        await self._post_action(
            EntityKey(Vm.kind, name), f"/vms/{name}/{action}", {"state": state.value}
        )

    async def _drain(self, name: str, wait: bool) -> None:
        vm = await self._client.entity(EntityKey(Vm.kind, name))
        if vm is None or vm["state"] != VmState.MAINTENANCE:
            await self._set_state(name, "drain", VmState.DRAINING)
        if wait:
            await self._wait_until_drained(name)

    async def _wait_until_drained(self, name: str) -> None:
        with anyio.move_on_after(_MAX_DRAIN_WAIT_S):
            while True:
                vm = await self._client.entity(EntityKey(Vm.kind, name))
                state = vm["state"] if vm else "removed"
                if state == VmState.MAINTENANCE:
                    print(f"vm:{name}: drained", file=sys.stderr)
                    return
                if state != VmState.DRAINING:
                    raise CtlError(ExitCode.CONFLICT, f"vm:{name} is {state}, no longer draining")
                print(f"vm:{name}: draining", file=sys.stderr)
                await anyio.sleep(_POLL_INTERVAL_S)
        raise CtlError(ExitCode.UNKNOWN, f"vm:{name} is still draining after {_MAX_DRAIN_WAIT_S} s")

    async def _move(self, name: str, pool: str) -> None:
        await self._drain(name, wait=True)
        expected = {"pool": pool, "state": VmState.IN_SERVICE.value}
        key = EntityKey(Vm.kind, name)
        await self._post_action(key, f"/vms/{name}/move", expected, body={"pool": pool})


@SetParseFn(str)
def _return(self: VmCommands, name: str) -> None:
    """Return a VM to service."""
    self._run(self._set_state, name, "return", VmState.IN_SERVICE)


setattr(VmCommands, "return", _return)


class KeyCommands(CommandGroup):
    """Commands that grant and withdraw keys of organisations."""

    @SetParseFn(str)
    def grant(self, organisation: str) -> None:
        """Grant the organisation a new key, which is shown only once."""
        self._run(self._grant, organisation)

    @SetParseFn(str)
    def withdraw(self, organisation: str, key_id: str) -> None:
        """Withdraw the key with the id that `organisation show` prints."""
        self._run(self._withdraw, organisation, key_id)

    async def _grant(self, organisation: str) -> None:
        key = EntityKey(Organisation.kind, organisation)
        before = await self._client.entity(key)
        known_ids = set(before["key_ids"]) if before else set()
        change = EntityChange(
            method="POST",
            path=f"/organisations/{organisation}/keys",
            key=key,
            is_done=lambda found: bool(_key_ids(found) - known_ids),
        )
        answer = await self._client.change(change)
        if "key" not in answer:
            await self._report_lost_key(key, known_ids)
        text = f"key {answer['key']}\nkey id {answer['key_id']}, configuration {answer['version']}"
        self._print(answer, text)

    async def _report_lost_key(self, key: EntityKey, known_ids: set[str]) -> None:
        added_ids = sorted(_key_ids(await self._client.entity(key)) - known_ids)
        message = (
            f"{key}: a key was granted, but the answer that contained it was lost; "
            f"withdraw {', '.join(added_ids)} and grant another one"
        )
        raise CtlError(ExitCode.UNKNOWN, message, {"key_ids": added_ids})

    async def _withdraw(self, organisation: str, key_id: str) -> None:
        key = EntityKey(Organisation.kind, organisation)
        change = EntityChange(
            method="DELETE",
            path=f"/organisations/{organisation}/keys/{key_id}",
            key=key,
            is_done=lambda found: key_id not in _key_ids(found),
        )
        self._print_change(await self._client.change(change), f"{key} key {key_id}")


def _key_ids(organisation: Mapping[str, Any] | None) -> set[str]:
    return set(organisation["key_ids"]) if organisation else set()


class MaintenanceCommands(CommandGroup):
    """Commands that show the periodic maintenance."""

    def status(self) -> None:
        """Show by pool the VMs with pending and running maintenance, and the expected end."""
        self._run(self._status)

    async def _status(self) -> None:
        document = await self._client.read("/maintenance")
        columns = ("pool", "vms", "due", "in_maintenance", "expected_end")
        rows = [{**pool, "expected_end": _format_expected_end(pool)} for pool in document["pools"]]
        self._print(document, render_table(columns, rows))


def _format_expected_end(pool: Mapping[str, Any]) -> str:
    time = datetime.fromtimestamp(pool["expected_end_ms"] / _MS_PER_S, tz=UTC)
    return f"{time:%Y-%m-%d %H:%M}Z"
