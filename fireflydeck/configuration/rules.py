"""Rules that every change of the configuration obeys; plain functions of two snapshots."""

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
"""What the name of an entity looks like."""

_NAME_ALLOWED = "1 to 63 of a-z, 0-9, '.', '_', '-', first a letter or digit"
_ADDRESS_ALLOWED = "ip:port in numbers, port 1 to 65535"
_TEXT_ALLOWED = "up to 200 printable characters"
_MAX_TEXT = 200
_MAX_SHOWN = 80
_MAX_NUMBER = 2**53 - 1
_MAX_PORT = 65535
_OUT_BY_PLAN = (VmState.DRAINING, VmState.MAINTENANCE)
_STOPPED = (VmState.MAINTENANCE, VmState.FAILED)


def _shown(text: str) -> str:
    """Return the text as it can be printed: encodable and of bounded length."""
    return text[:_MAX_SHOWN].encode("utf-8", "backslashreplace").decode("utf-8")


@frozen
class Problem:
    """One reason why a change is refused.

    Parameters
    ----------
    entity
        The entity that the problem is about.
    field
        Name of its field, cut to 80 characters; empty for the entity as a whole.
    value
        The refused value as text, cut to 80 characters.
    allowed
        What is allowed, in words.
    """

    entity: EntityKey
    field: str = attrs_field(converter=_shown)
    value: str = attrs_field(converter=_shown)
    allowed: str

    def __str__(self) -> str:
        return f"{self.entity} {self.field}={self.value!r}: allowed is {self.allowed}"


def apply_edit(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> Configuration:
    """Return the snapshot that the edit would turn `before` into."""
    change = ConfigurationChange(
        version=before.version + 1, change_id="", puts=tuple(puts), removes=tuple(removes)
    )
    return before.apply(change)


def is_address(text: str) -> bool:
    """Tell whether the text is an IP number and a port.

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
    """Return all problems of the change as a whole; none if it may be made.

    Parameters
    ----------
    before
        The snapshot that the change applies to.
    puts
        Entities created or replaced.
    removes
        Identities of removed entities.

    Examples
    --------
    >>> from fireflydeck.core import Pool, Queue
    >>> check_change(Configuration(), [Pool(name="a"), Queue(name="q", pool="a")], [])
    ()
    >>> print(*check_change(Configuration(), [Queue(name="q", pool="b")], []))
    queue:q pool='b': allowed is the name of an existing pool
    """
    problems = [problem for entity in puts for problem in _check_fields(entity)]
    problems += _check_identities(before, puts, removes)
    if problems:
        return tuple(problems)
    after = apply_edit(before, puts, removes)
    problems += _check_references(after, puts)
    problems += _check_left_behind(after, removes)
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


def _at_least(least: int) -> tuple[Callable[[Any], bool], str]:
    def is_allowed(value: int) -> bool:
        return least <= value <= _MAX_NUMBER

    return is_allowed, f"a whole number, {least} or more"


def _is_text(value: str) -> bool:
    return len(value) <= _MAX_TEXT and value.isprintable()


def _is_hash(value: Sequence[str]) -> bool:
    return all(re.fullmatch(r"[0-9a-f]{64}", item) for item in value)


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
            "key_hashes": (_is_hash, "SHA-256 hashes in hexadecimal"),
        },
        DataCentre.kind: {"region": _TEXT},
        MaintenanceWindow.kind: {"start_ms": _at_least(0), "end_ms": _at_least(0)},
        Member.kind: {"address": _ADDRESS},
    }
)


# The change as a whole.


def _check_identities(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> Iterable[Problem]:
    times = Counter([entity.key for entity in puts] + list(removes))
    for key, count in times.items():
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


def _check_left_behind(after: Configuration, removes: Sequence[EntityKey]) -> Iterable[Problem]:
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
    times = Counter(vm.address for vm in after.all(Vm))
    for vm in changed:
        if times[vm.address] > 1:
            yield Problem(vm.key, "address", vm.address, "an address that no other vm has")


_FIXED_IN_SERVICE = ("pool", "data_centre", "address")


def _check_vm_changes(
    before: Configuration, puts: Sequence[Entity], removes: Sequence[EntityKey]
) -> Iterable[Problem]:
    for vm in puts:
        old = before.find(vm.key)
        if isinstance(vm, Vm) and isinstance(old, Vm):
            yield from _check_vm_change(old, vm)
    for key in removes:
        old = before.find(key)
        if isinstance(old, Vm) and old.state not in _STOPPED:
            yield Problem(key, "state", old.state, "removal only in maintenance or failed")


def _check_vm_change(old: Vm, new: Vm) -> Iterable[Problem]:
    if new.state is VmState.MAINTENANCE and old.state is VmState.IN_SERVICE:
        yield Problem(new.key, "state", new.state, "draining before maintenance")
    if old.state in _STOPPED:
        return
    for name in _FIXED_IN_SERVICE:
        value = getattr(new, name)
        if value != getattr(old, name):
            yield Problem(new.key, name, value, f"a change only in maintenance or failed ({name})")


# Availability budgets.


def check_budget(before: Configuration, after: Configuration) -> tuple[Problem, ...]:
    """Return a problem for each pool whose availability budget the change would break.

    A change is measured against a pool's budget if it puts a VM of the pool out of service by plan
    (draining or maintenance). Then all VMs of the pool that are out of service afterwards, by plan,
    failed, or in a data centre out of service, must fit the budget. A VM that is failed or whose
    data centre is out counts too when a planned stop of it is asked for: it would stay stopped
    when the failure or the outage is over. A budget is not lowered below the planned stops.
    Returns to service, failures and data centres taken out are never refused.

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
    stopped_before = _stopped_by_plan(before)
    stopped_after = _stopped_by_plan(after)
    out_of_service = _count_out_of_service(after)
    problems = []
    for pool in sorted(after.all(Pool), key=lambda pool: pool.name):
        stopped = stopped_after.get(pool.name, frozenset())
        grows = bool(stopped - stopped_before.get(pool.name, frozenset()))
        out = out_of_service[pool.name] if grows else len(stopped)
        if out > pool.max_unavailable:
            problems.append(_over_budget(pool, out))
    return tuple(problems)


def _over_budget(pool: Pool, out: int) -> Problem:
    limit = pool.max_unavailable
    allowed = f"at most {limit} of the pool's VMs out of service, not {out}"
    return Problem(pool.key, "max_unavailable", str(limit), allowed)


def _stopped_by_plan(configuration: Configuration) -> dict[str, frozenset[str]]:
    stopped: dict[str, set[str]] = {}
    for vm in configuration.all(Vm):
        if vm.state in _OUT_BY_PLAN:
            stopped.setdefault(vm.pool, set()).add(vm.name)
    return {pool: frozenset(names) for pool, names in stopped.items()}


def _count_out_of_service(configuration: Configuration) -> Counter[str]:
    vms = configuration.all(Vm)
    return Counter(vm.pool for vm in vms if not configuration.accepts_work(vm))
