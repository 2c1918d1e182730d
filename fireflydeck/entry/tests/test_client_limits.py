"""Limits on clients that follow from a machine or from an operator's settings."""

import pytest

from fireflydeck.entry.client_limits import (
    CONNECTION_COST_BYTES,
    ClientLimitsError,
    derive_limits,
)

_MACHINE = {"machine_memory_mb": 200, "max_descriptors": 4100, "max_body_bytes": 262_144}


@pytest.mark.parametrize("memory_mb", [64, 200, 552, 4096])
@pytest.mark.parametrize("descriptors", [4100, 8192])
def test_derived_limits_fit_the_machine(memory_mb, descriptors):
    """Guard against more connections than the descriptors or the memory of a machine allow."""
    limits = derive_limits(
        machine_memory_mb=memory_mb, max_descriptors=descriptors, max_body_bytes=262_144
    )
    assert limits.memory_bytes == int(memory_mb * 0.22 * 2**20)
    assert limits.connections * CONNECTION_COST_BYTES <= 0.75 * limits.memory_bytes
    assert limits.connections <= descriptors - 1024
    assert limits.peer_connections >= 16


def test_smallest_machine_serves_four_times_the_legal_load():
    """Guard against limits that legal clients reach: see docs/design/client-limits.md."""
    limits = derive_limits(**_MACHINE)
    assert limits.caller_connections >= 450
    assert limits.peer_connections >= 32


def test_small_machine_still_starts():
    """Guard against a process that no longer starts where it ran without limits on clients."""
    limits = derive_limits(**{**_MACHINE, "machine_memory_mb": 32, "max_descriptors": 256})
    assert limits.caller_connections >= 16


@pytest.mark.parametrize(
    "settings",
    [
        {"memory_mb": 0},
        {"memory_mb": 101},
        {"caller_connections": 15},
        {"caller_connections": 800},
        {"caller_connections": 5000},
        {"max_descriptors": 64},
    ],
    ids=str,
)
def test_contradicting_settings_are_refused(settings):
    """Guard against a process that starts with limits which it cannot keep."""
    with pytest.raises(ClientLimitsError):
        derive_limits(**{**_MACHINE, **settings})
