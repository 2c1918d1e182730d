"""Builders of the operators' edits, as pure functions of a configuration snapshot."""

from collections.abc import Mapping
from typing import Any, TypeVar

from attrs import NOTHING, evolve, fields
from expression import Error, Ok, Result

from fireflydeck.configuration.rules import Problem
from fireflydeck.controller.edit import Conflict, Edit, EditBuilder, Refusal, refuse
from fireflydeck.core import (
    ENTITY_TYPES,
    Configuration,
    DataCentre,
    Entity,
    EntityKey,
    Failure,
    Member,
    Organisation,
    Reason,
    Vm,
    VmState,
)
from fireflydeck.core.converter import ConversionError, from_plain, to_plain

__all__ = [
    "KEY_ID_LENGTH",
    "add_key",
    "drain_vm",
    "fail_vm",
    "finish_drain",
    "move_vm",
    "put_entity",
    "remove_entity",
    "return_vm",
    "set_data_centre",
    "with_expected_version",
    "withdraw_key",
]

KEY_ID_LENGTH = 12
"""Number of leading hexadecimal digits of a key's hash that identify the key."""

_STEP = "controller.edit"
_FIELDS_REFUSED_IN_PUT: Mapping[type[Entity], Mapping[str, str]] = {
    Organisation: {"key_hashes": "no value; keys are granted and withdrawn"},
    Vm: {
        "state": "no value; VMs are drained, failed, returned and moved",
        "maintained_ms": "no value; it is set when a maintenance ends",
    },
    DataCentre: {"in_service": "no value; data centres are taken out and brought in"},
}

E = TypeVar("E", bound=Entity)


def with_expected_version(key: EntityKey, version: int | None, build: EditBuilder) -> EditBuilder:
    """Return a builder that refuses unless the entity has the expected version.

    Parameters
    ----------
    version
        Expected version of the entity; 0 if it must not exist, `None` for any version.
    """

    def build_checked(base: Configuration) -> Result[Edit, Refusal]:
        current = base.entity_version(key)
        if version is None or current == version:
            return build(base)
        return Error(_unexpected_version(key, current, version))

    return build_checked


def _unexpected_version(key: EntityKey, current: int, expected: int) -> Refusal:
    state = f"is at version {current}" if current else "does not exist"
    detail = f"{key} {state}, the change expects version {expected}"
    failure = Failure(Reason.CONFLICT, step="controller.check_version", detail=detail)
    conflict = Conflict(entity=key, entity_version=current, expected_version=expected)
    return Refusal(failure=failure, conflict=conflict)


# Creation, update and removal of entities.


def put_entity(
    base: Configuration, key: EntityKey, field_values: Mapping[str, Any]
) -> Result[Edit, Refusal]:
    """Create an entity, or update its given fields and keep the others.

    Parameters
    ----------
    field_values
        JSON values by field name.
    """
    kind = ENTITY_TYPES.get(key.kind)
    if kind is None or kind is Member:
        return _not_found(key)
    problems = _unknown_fields(key, kind, field_values)
    if problems:
        return _invalid(*problems)
    old = base.find(key)
    merged_values = {**(to_plain(old) if old else {}), **field_values, "name": key.name}
    try:
        new = from_plain(merged_values, kind)
    except ConversionError as error:
        return _invalid(*_wrong_fields(key, kind, merged_values, error))
    if new == old:
        return Ok(Edit())
    return Ok(Edit(puts=(new,), rule="operator-change"))


def remove_entity(base: Configuration, key: EntityKey) -> Result[Edit, Refusal]:
    """Remove an entity."""
    if base.find(key) is None or key.kind == Member.kind:
        return _not_found(key)
    return Ok(Edit(removes=(key,), rule="operator-removal"))


def _unknown_fields(
    key: EntityKey, kind: type[Entity], field_values: Mapping[str, Any]
) -> tuple[Problem, ...]:
    refused_fields = _FIELDS_REFUSED_IN_PUT.get(kind, {})
    names = [item.name for item in fields(kind) if item.name not in refused_fields]
    problems = []
    for name, value in field_values.items():
        if name == "name" and value == key.name:
            continue
        if name not in names or name == "name":
            allowed = refused_fields.get(name, "one of the fields " + ", ".join(names[1:]))
            problems.append(Problem(key, name, str(value), allowed))
    return tuple(problems)


def _wrong_fields(
    key: EntityKey,
    kind: type[Entity],
    merged_values: Mapping[str, Any],
    error: ConversionError,
) -> tuple[Problem, ...]:
    problems = []
    for item in fields(kind):
        if item.name not in merged_values:
            if item.default is NOTHING:
                problems.append(Problem(key, item.name, "", "a value; it has no default"))
        elif not _has_type(merged_values[item.name], item.type):
            allowed = f"a value of type {getattr(item.type, '__name__', item.type)}"
            problems.append(Problem(key, item.name, str(merged_values[item.name]), allowed))
    return tuple(problems) or (Problem(key, "", "", error.detail),)


def _has_type(value: Any, cls: Any) -> bool:
    try:
        from_plain(value, cls)
    except ConversionError:
        return False
    return True


# VMs and data centres.


def drain_vm(base: Configuration, name: str) -> Result[Edit, Refusal]:
    """Begin the drain of a VM for a planned stop.

    A VM that is draining or in maintenance stays as it is.
    """
    vm = base.get(Vm, name)
    if vm is None:
        return _not_found(EntityKey(Vm.kind, name))
    if vm.state in (VmState.DRAINING, VmState.MAINTENANCE):
        return Ok(Edit())
    return _set_state(vm, VmState.DRAINING, "drain")


def finish_drain(base: Configuration, name: str) -> Result[Edit, Refusal]:
    """Put a draining VM into maintenance; the caller has checked that its tasks have ended.

    A VM in another state stays as it is.
    """
    vm = base.get(Vm, name)
    if vm is None or vm.state is not VmState.DRAINING:
        return Ok(Edit())
    return _set_state(vm, VmState.MAINTENANCE, "drain-finished")


def fail_vm(base: Configuration, name: str) -> Result[Edit, Refusal]:
    """Mark a VM as failed, after an unplanned outage."""
    vm = base.get(Vm, name)
    if vm is None:
        return _not_found(EntityKey(Vm.kind, name))
    return _set_state(vm, VmState.FAILED, "failure")


def return_vm(base: Configuration, name: str) -> Result[Edit, Refusal]:
    """Return a VM to service."""
    vm = base.get(Vm, name)
    if vm is None:
        return _not_found(EntityKey(Vm.kind, name))
    return _set_state(vm, VmState.IN_SERVICE, "return")


def move_vm(base: Configuration, name: str, pool: str) -> Result[Edit, Refusal]:
    """Move a drained VM to another pool and return it to service there, in one change."""
    vm = base.get(Vm, name)
    if vm is None:
        return _not_found(EntityKey(Vm.kind, name))
    if vm.pool == pool:
        return Ok(Edit())
    if vm.state is not VmState.MAINTENANCE:
        allowed = f"maintenance: {name} must be drained before the move"
        return _invalid(Problem(vm.key, "state", vm.state, allowed))
    moved_vm = evolve(vm, pool=pool, state=VmState.IN_SERVICE)
    return Ok(Edit(puts=(moved_vm,), rule="move"))


def set_data_centre(base: Configuration, name: str, in_service: bool) -> Result[Edit, Refusal]:
    """Take a data centre out of service or bring it back into service."""
    data_centre = base.get(DataCentre, name)
    if data_centre is None:
        return _not_found(EntityKey(DataCentre.kind, name))
    rule = "data-centre-in" if in_service else "data-centre-out"
    return _put(data_centre, evolve(data_centre, in_service=in_service), rule)


def _set_state(vm: Vm, state: VmState, rule: str) -> Result[Edit, Refusal]:
    return _put(vm, evolve(vm, state=state), rule)


def _put(old: E, new: E, rule: str) -> Result[Edit, Refusal]:
    return Ok(Edit() if new == old else Edit(puts=(new,), rule=rule))


# API keys.


def add_key(base: Configuration, organisation: str, key_hash: str) -> Result[Edit, Refusal]:
    """Add the hash of a key to the organisation."""
    old = base.get(Organisation, organisation)
    if old is None:
        return _not_found(EntityKey(Organisation.kind, organisation))
    if key_hash in old.key_hashes:
        return Ok(Edit())
    return _put(old, evolve(old, key_hashes=(*old.key_hashes, key_hash)), "key-grant")


def withdraw_key(base: Configuration, organisation: str, key_id: str) -> Result[Edit, Refusal]:
    """Remove the key that the first digits of its hash identify."""
    old = base.get(Organisation, organisation)
    if old is None:
        return _not_found(EntityKey(Organisation.kind, organisation))
    remaining_hashes = tuple(item for item in old.key_hashes if item[:KEY_ID_LENGTH] != key_id)
    if remaining_hashes == old.key_hashes:
        return refuse(Reason.NOT_FOUND, f"organisation:{organisation} has no key {key_id}")
    return _put(old, evolve(old, key_hashes=remaining_hashes), "key-withdrawal")


def _not_found(key: EntityKey) -> Result[Edit, Refusal]:
    return refuse(Reason.NOT_FOUND, f"{key} does not exist")


def _invalid(*problems: Problem) -> Result[Edit, Refusal]:
    failure = Failure(Reason.INVALID_CHANGE, step=_STEP, detail=f"{len(problems)} problems")
    return Error(Refusal(failure=failure, problems=problems))
