"""Conversion of value objects to plain data and back, and rejection of wrong values."""

import json

import pytest

from fireflydeck.core import (
    ConfigurationChange,
    EntityKey,
    Member,
    MemberRole,
    Organisation,
    Vm,
    VmState,
)
from fireflydeck.core.converter import ConversionError, from_plain, to_plain
from fireflydeck.testing import build_vm

ENTITIES = [
    build_vm(state=VmState.DRAINING),
    Member(name="gw-1", role=MemberRole.GATEWAY, address="127.0.0.1:1"),
    Organisation(name="museum", key_hashes=("a", "b")),
]


@pytest.mark.parametrize("entity", ENTITIES)
def test_from_plain_restores_an_entity_from_json(entity):
    assert from_plain(json.loads(json.dumps(to_plain(entity))), type(entity)) == entity


def test_from_plain_restores_entities_by_their_kind():
    change = ConfigurationChange(
        version=1, change_id="c", puts=tuple(ENTITIES), removes=(EntityKey("vm", "vm-9"),)
    )
    assert from_plain(json.loads(json.dumps(to_plain(change))), ConfigurationChange) == change


def test_to_plain_converts_enumerations_to_text():
    assert type(to_plain(build_vm())["state"]) is str


@pytest.mark.parametrize("state", ["unknown", 1, None, ["draining"]])
def test_from_plain_rejects_invalid_states(state):
    with pytest.raises(ConversionError):
        from_plain({**to_plain(build_vm()), "state": state}, Vm)
