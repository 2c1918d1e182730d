"""Validation rules for changes of the configuration, as pure functions of snapshots."""

import ipaddress
import re
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

from attrs import field as attrs_field
from attrs import frozen

from fireflydeck.core import (
    Configuration,
    ConfigurationChange,
    DataCentre,
    Entity,
    EntityKey,
    MaintenanceWindow,
    Member,
    Organisation,
    Pool,
    Queue,
    Vm,
    VmState,
)

__all__ = [
    "NAME_PATTERN",
    "Problem",
    "apply_edit",
    "check_budget",
    "check_change",
    "is_address",
]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
"""Pattern that the whole name of an entity must match."""

_NAME_ALLOWED = "1 to 63 of a-z, 0-9, '.', '_', '-', first a letter or digit"
_ADDRESS_ALLOWED = "ip:port in numbers, port 1 to 65535"
_TEXT_ALLOWED = "up to 200 printable characters"
_MAX_TEXT_LENGTH = 200
_MAX_SHOWN_LENGTH = 80
_MAX_NUMBER = 2**53 - 1
_MAX_PORT = 65535
_PLANNED_STOP_STATES = (VmState.DRAINING, VmState.MAINTENANCE)
_STOPPED_STATES = (VmState.MAINTENANCE, VmState.FAILED)


def _to_printable(text: str) -> str:
    """Return the text cut to a maximum length, with characters escaped that UTF-8 cannot encode."""
    return text[:_MAX_SHOWN_LENGTH].encode("utf-8", "backslashreplace").decode("utf-8")


@frozen
class Problem:
    """A rule violation for which a change is refused.

    Parameters
    ----------
    entity
        Key of the entity that violates the rule.
    field
        Name of the field of the entity, cut to 80 characters; empty for the entity as a whole.
    value
        The refused value as text, cut to 80 characters.
    allowed
        Description of the allowed values.
    """

    entity: EntityKey
    field: str = attrs_field(converter=_to_printable)
    value: str = attrs_field(converter=_to_printable)
    allowed: str

    def __str__(self) -> str:
        return f"{self.entity} {self.field}={self.value!r}: allowed is {self.allowed}"


def apply_edit(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> Configuration:
    """Return the snapshot that results from the edit of `before`."""
    change = ConfigurationChange(
        version=before.version + 1, change_id="", puts=tuple(puts), removes=tuple(removes)
    )
    return before.apply(change)


def is_address(text: str) -> bool:
    """Return whether the text is a numeric IP address and a port.

    Examples
    --------
    >>> is_address("127.0.0.1:80"), is_address("[::1]:80"), is_address("host:80")
    (True, True, False)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        return False
    if host.startswith("[") and host.endswith("]"):
        return _is_ip(host[1:-1], 6) and 0 < int(port) <= _MAX_PORT
    return _is_ip(host, 4) and 0 < int(port) <= _MAX_PORT


def _is_ip(text: str, version: int) -> bool:
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False


def check_change(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> tuple[Problem, ...]:
    """Return all problems of the change; empty if the change is allowed.

    Parameters
    ----------
    before
        The snapshot that the change applies to.
    puts
        Entities to create or replace.
    removes
        Keys of the entities to remove.

    Examples
    --------
    >>> from fireflydeck.core import Pool, Queue
    >>> check_change(Configuration(), [Pool(name="a"), Queue(name="q", pool="a")], [])
    ()
    >>> print(*check_change(Configuration(), [Queue(name="q", pool="b")], []))
    queue:q pool='b': allowed is the name of an existing pool
    """
    problems = [problem for entity in puts for problem in _check_fields(entity)]
    problems += _check_keys(before, puts, removes)
    if problems:
        return tuple(problems)
    after = apply_edit(before, puts, removes)
    problems += _check_references(after, puts)
    problems += _check_removed_references(after, removes)
    problems += _check_addresses(after, puts)
    problems += _check_vm_changes(before, puts, removes)
    return tuple(problems)


# Fields of one entity.


def _check_fields(entity: Entity) -> Iterable[Problem]:
    if not NAME_PATTERN.fullmatch(entity.name):
        yield Problem(entity.key, "name", entity.name, _NAME_ALLOWED)
    for name, (is_allowed, allowed) in _FIELD_RULES[entity.kind].items():
        value = getattr(entity, name)
        if not is_allowed(value):
            yield Problem(entity.key, name, str(value), allowed)
    if isinstance(entity, MaintenanceWindow) and entity.end_ms <= entity.start_ms:
        yield Problem(entity.key, "end_ms", str(entity.end_ms), f"more than {entity.start_ms}")


def _at_least(minimum: int) -> tuple[Callable[[Any], bool], str]:
    def is_allowed(value: int) -> bool:
        return minimum <= value <= _MAX_NUMBER

    return is_allowed, f"a whole number, {minimum} or more"


def _is_text(value: str) -> bool:
    return len(value) <= _MAX_TEXT_LENGTH and value.isprintable()


def _are_hashes(values: Sequence[str]) -> bool:
    return all(re.fullmatch(r"[0-9a-f]{64}", value) for value in values)


_TEXT = (_is_text, _TEXT_ALLOWED)
_ADDRESS = (is_address, _ADDRESS_ALLOWED)

_FIELD_RULES: Mapping[str, Mapping[str, tuple[Callable[[Any], bool], str]]] = MappingProxyType(
    {
        Pool.kind: {"max_unavailable": _at_least(0)},
        Vm.kind: {
            "address": _ADDRESS,
            "rack": _TEXT,
            "cores": _at_least(1),
            "memory_mb": _at_least(1),
            "slots": _at_least(1),
            "connections": _at_least(1),
            "accelerators": _at_least(0),
            "maintained_ms": _at_least(0),
        },
        Queue.kind: {"max_waiting": _at_least(1)},
        Organisation.kind: {
            "share": _at_least(1),
            "limit": _at_least(0),
            "key_hashes": (_are_hashes, "SHA-256 hashes in hexadecimal"),
        },
        DataCentre.kind: {"region": _TEXT},
        MaintenanceWindow.kind: {"start_ms": _at_least(0), "end_ms": _at_least(0)},
        Member.kind: {"address": _ADDRESS},
    }
)


# The change as a whole.


def _check_keys(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> Iterable[Problem]:
    counts = Counter([entity.key for entity in puts] + list(removes))
    for key, count in counts.items():
        if count > 1:
            yield Problem(key, "name", key.name, "each entity once in a change")
    for key in removes:
        if before.find(key) is None:
            yield Problem(key, "name", key.name, f"the name of an existing {key.kind}")


_REFERENCES: Mapping[str, Mapping[str, type[Entity]]] = MappingProxyType(
    {
        Queue.kind: {"pool": Pool},
        Vm.kind: {"pool": Pool, "data_centre": DataCentre},
        MaintenanceWindow.kind: {"data_centre": DataCentre},
    }
)


def _check_references(after: Configuration, puts: Sequence[Entity]) -> Iterable[Problem]:
    for entity in puts:
        for name, kind in _REFERENCES.get(entity.kind, {}).items():
            value = getattr(entity, name)
            if after.get(kind, value) is None:
                yield Problem(entity.key, name, value, f"the name of an existing {kind.kind}")


def _check_removed_references(
    after: Configuration, removes: Sequence[EntityKey]
) -> Iterable[Problem]:
    removed = set(removes)
    if not removed:
        return
    for entity, _ in after.entities():
        for name, kind in _REFERENCES.get(entity.kind, {}).items():
            key = EntityKey(kind.kind, getattr(entity, name))
            if key in removed:
                yield Problem(key, "name", key.name, f"removal only when {entity.key} is gone")


def _check_addresses(after: Configuration, puts: Sequence[Entity]) -> Iterable[Problem]:
    changed = [entity for entity in puts if isinstance(entity, Vm)]
    if not changed:
        return
    counts = Counter(vm.address for vm in after.all(Vm))
    for vm in changed:
        if counts[vm.address] > 1:
            yield Problem(vm.key, "address", vm.address, "an address that no other vm has")


_FIELDS_FIXED_UNLESS_STOPPED = ("pool", "data_centre", "address")


def _check_vm_changes(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> Iterable[Problem]:
    for vm in puts:
        old = before.find(vm.key)
        if isinstance(vm, Vm) and isinstance(old, Vm):
            yield from _check_vm_change(old, vm)
    for key in removes:
        old = before.find(key)
        if isinstance(old, Vm) and old.state not in _STOPPED_STATES:
            yield Problem(key, "state", old.state, "removal only in maintenance or failed")


def _check_vm_change(old: Vm, new: Vm) -> Iterable[Problem]:
    if new.state is VmState.MAINTENANCE and old.state is VmState.IN_SERVICE:
        yield Problem(new.key, "state", new.state, "draining before maintenance")
    if old.state in _STOPPED_STATES:
        return
    for name in _FIELDS_FIXED_UNLESS_STOPPED:
        value = getattr(new, name)
        if value != getattr(old, name):
            yield Problem(new.key, name, value, f"a change only in maintenance or failed ({name})")


# Availability budgets.


def check_budget(before: Configuration, after: Configuration) -> tuple[Problem, ...]:
    """Return a problem for each pool whose availability budget the change would exceed.

    If the change starts a planned stop of a VM of the pool (draining or maintenance), then all VMs
    of the pool that are out of service after the change must fit the budget: by a planned stop, by
    a failure, or because their data centre is out of service. This also holds if the VM has already
    failed or its data centre is out of service, because the VM would stay stopped after the end of
    the failure or the outage. Without a new planned stop, only the planned stops must fit the
    budget, so the budget cannot be lowered below their number. Returns to service, failures and
    data centres taken out of service are never refused.

    Examples
    --------
    >>> from fireflydeck.testing import build_configuration, build_vm
    >>> before = build_configuration(build_vm("vm-2", address="127.0.0.1:8"))
    >>> one = apply_edit(before, [build_vm(state=VmState.DRAINING)], [])
    >>> check_budget(before, one)
    ()
    >>> second = build_vm("vm-2", address="127.0.0.1:8", state=VmState.DRAINING)
    >>> print(*check_budget(one, apply_edit(one, [second], [])))
    pool:records max_unavailable='1': allowed is at most 1 of the pool's VMs out of service, not 2
    """
    stopped_before = _planned_stops(before)
    stopped_after = _planned_stops(after)
    out_of_service = _count_out_of_service(after)
    problems = []
    for pool in sorted(after.all(Pool), key=lambda pool: pool.name):
        stopped = stopped_after.get(pool.name, frozenset())
        has_new_stops = bool(stopped - stopped_before.get(pool.name, frozenset()))
        unavailable = out_of_service[pool.name] if has_new_stops else len(stopped)
        if unavailable > pool.max_unavailable:
            problems.append(_over_budget(pool, unavailable))
    return tuple(problems)


def _over_budget(pool: Pool, unavailable: int) -> Problem:
    limit = pool.max_unavailable
    allowed = f"at most {limit} of the pool's VMs out of service, not {unavailable}"
    return Problem(pool.key, "max_unavailable", str(limit), allowed)


def _planned_stops(configuration: Configuration) -> dict[str, frozenset[str]]:
    stopped: dict[str, set[str]] = {}
    for vm in configuration.all(Vm):
        if vm.state in _PLANNED_STOP_STATES:
            stopped.setdefault(vm.pool, set()).add(vm.name)
    return {pool: frozenset(names) for pool, names in stopped.items()}


def _count_out_of_service(configuration: Configuration) -> Counter[str]:
    vms = configuration.all(Vm)
    return Counter(vm.pool for vm in vms if not configuration.accepts_work(vm))
