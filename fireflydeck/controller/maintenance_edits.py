"""Builders of the edits of periodic maintenance, each conditional on the VM's version."""

from attrs import evolve
from expression import Ok, Result

from fireflydeck.controller.edit import Edit, EditBuilder, Refusal
from fireflydeck.controller.edits import with_expected_version
from fireflydeck.controller.maintenance_rows import (
    MaintenanceRow,
    Stage,
    StoredMaintenance,
    delete_first_seen,
    delete_row,
    insert_row,
)
from fireflydeck.core import Configuration, Vm, VmState
from fireflydeck.tables import Transaction

__all__ = [
    "RULE_DUE",
    "RULE_FINISHED",
    "RULE_NOT_BACK",
    "begin_maintenance",
    "end_maintenance",
    "fail_maintenance",
]

RULE_DUE = "maintenance-due"
"""Rule of the drain that begins the maintenance of a VM."""
RULE_FINISHED = "maintenance-finished"
"""Rule of the return to service after maintenance."""
RULE_NOT_BACK = "maintenance-not-back"
"""Rule that marks a VM as failed because it did not return from maintenance in time."""


def begin_maintenance(vm: Vm, entity_version: int, wall_ms: int) -> EditBuilder:
    """Return the builder of the drain that begins the maintenance of a VM.

    Parameters
    ----------
    entity_version
        Version of the VM on which the decision was based; the edit is refused for another one.
    wall_ms
        Wall time at which the maintenance begins.
    """

    def build(base: Configuration) -> Result[Edit, Refusal]:
        row = MaintenanceRow(
            vm=vm.name, stage=Stage.DRAIN, entity_version=base.version + 1, since_ms=wall_ms
        )
        draining_vm = evolve(vm, state=VmState.DRAINING)
        return Ok(Edit(puts=(draining_vm,), rule=RULE_DUE, extra=insert_row(row)))

    return with_expected_version(vm.key, entity_version, build)


def end_maintenance(vm: Vm, stored: StoredMaintenance, wall_ms: int) -> EditBuilder:
    """Return the builder of the return to service after maintenance."""
    returned_vm = evolve(vm, state=VmState.IN_SERVICE, maintained_ms=wall_ms)
    row_deletion, first_seen_deletion = delete_row(stored), delete_first_seen(vm.name)
    extra = Transaction(
        checks=row_deletion.checks, deletes=row_deletion.deletes + first_seen_deletion.deletes
    )
    edit = Edit(puts=(returned_vm,), rule=RULE_FINISHED, extra=extra)
    return with_expected_version(vm.key, stored.row.entity_version, lambda base: Ok(edit))


def fail_maintenance(vm: Vm, stored: StoredMaintenance) -> EditBuilder:
    """Return the builder of the edit that marks a VM as failed during maintenance."""
    failed_vm = evolve(vm, state=VmState.FAILED)
    edit = Edit(puts=(failed_vm,), rule=RULE_NOT_BACK, extra=delete_row(stored))
    return with_expected_version(vm.key, stored.row.entity_version, lambda base: Ok(edit))
